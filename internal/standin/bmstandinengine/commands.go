package bmstandinengine

import (
	"net/http"
	"slices"
	"sort"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// CommandKind is a kind of command.
type CommandKind string

// Kinds of commands.
const (
	LoadModel     CommandKind = "load-model"
	UnloadModel   CommandKind = "unload-model"
	LoadAdapter   CommandKind = "load-adapter"
	UnloadAdapter CommandKind = "unload-adapter"
	LoadVersion   CommandKind = "load-version"

	// SetRole changes the role. Sequences in progress are lost, so a target
	// must be drained before.
	SetRole CommandKind = "set-role"
)

// Command is the body of POST /v1/commands.
type Command struct {
	Fencing int64       `json:"fencing"`
	Kind    CommandKind `json:"command"`
	Name    string      `json:"name"`
}

// CommandResult is the response to a command: 202 if it was accepted, 409 if
// its fencing number was rejected.
type CommandResult struct {
	State   string `json:"state"`   // "accepted" or "stale-fencing"
	Fencing int64  `json:"fencing"` // highest number seen
}

// Models is the response to GET /v1/models.
type Models struct {
	Object   string       `json:"object"` // "list"
	Data     []ModelState `json:"data"`
	Adapters []ModelState `json:"adapters"`
	Version  ModelState   `json:"version"`
	Role     string       `json:"role"`
	Fencing  int64        `json:"fencing"` // highest number seen
}

// ModelState is a model, an adapter or a version.
type ModelState struct {
	ID    string `json:"id"`
	State string `json:"state"` // "loading" or "loaded"
}

// loaded is what the engine has loaded. The values of the maps are the
// instants at which loading is complete. The engine's mu guards it.
type loaded struct {
	any      bool // serves every model
	models   map[string]basilmoor.Millis
	adapters map[string]basilmoor.Millis
	version  string
	next     string // version being loaded, empty for none
	nextAt   basilmoor.Millis
	role     string
	fencing  int64
}

func newLoaded(s Settings) loaded {
	l := loaded{
		any:      len(s.Models) == 0,
		models:   make(map[string]basilmoor.Millis),
		adapters: make(map[string]basilmoor.Millis),
		version:  s.Version,
		role:     s.Role,
	}
	for _, m := range s.Models {
		l.models[m] = 0
	}
	for _, a := range s.Adapters {
		l.adapters[a] = 0
	}
	return l
}

// serves reports whether the model and the adapter, if any, are loaded.
func (l *loaded) serves(now basilmoor.Millis, model, adapter string) bool {
	if adapter != "" && !isLoaded(l.adapters, now, adapter) {
		return false
	}
	return l.any || isLoaded(l.models, now, model)
}

func isLoaded(m map[string]basilmoor.Millis, now basilmoor.Millis, name string) bool {
	at, ok := m[name]
	return ok && at <= now
}

// settle makes a loaded version the current one.
func (l *loaded) settle(now basilmoor.Millis) {
	if l.next != "" && l.nextAt <= now {
		l.version = l.next
		l.next = ""
	}
}

func (l *loaded) apply(c Command, now, ready basilmoor.Millis) {
	switch c.Kind {
	case LoadModel:
		load(l.models, c.Name, ready)
	case UnloadModel:
		delete(l.models, c.Name)
	case LoadAdapter:
		load(l.adapters, c.Name, ready)
	case UnloadAdapter:
		delete(l.adapters, c.Name)
	case LoadVersion:
		l.settle(now)
		l.next = c.Name
		l.nextAt = ready
	case SetRole:
		l.role = c.Name
	}
}

// load begins to load a name that is neither loaded nor being loaded.
func load(m map[string]basilmoor.Millis, name string, ready basilmoor.Millis) {
	if _, ok := m[name]; !ok {
		m[name] = ready
	}
}

var commandKinds = []CommandKind{
	LoadModel,
	UnloadModel,
	LoadAdapter,
	UnloadAdapter,
	LoadVersion,
	SetRole,
}

func (e *Engine) command(w http.ResponseWriter, r *http.Request) {
	var c Command
	if !bmstandin.ReadJSON(w, r, &c) {
		return
	}
	if !slices.Contains(commandKinds, c.Kind) || c.Name == "" {
		writeError(w, http.StatusBadRequest, "malformed", "want a known command and a name")
		return
	}
	status, result := e.execute(c)
	bmstandin.WriteJSON(w, status, result)
}

func (e *Engine) execute(c Command) (int, CommandResult) {
	ready := e.clock.Now() + e.scaled(e.settings.LoadMillis)
	e.mu.Lock()
	defer e.mu.Unlock()
	result := CommandResult{
		State: "accepted",
	}
	status := http.StatusAccepted
	if e.settings.CheckFencing && c.Fencing < e.loaded.fencing {
		result.State = "stale-fencing"
		status = http.StatusConflict
	} else {
		if c.Kind == SetRole && c.Name != e.loaded.role {
			e.loseAll()
		}
		e.loaded.apply(c, e.clock.Now(), ready)
		e.applied = append(e.applied, c)
		e.loaded.fencing = max(e.loaded.fencing, c.Fencing)
	}
	result.Fencing = e.loaded.fencing
	return status, result
}

func (e *Engine) models(w http.ResponseWriter, _ *http.Request) {
	bmstandin.WriteJSON(w, http.StatusOK, e.Models())
}

// Models returns what is loaded and the role.
func (e *Engine) Models() Models {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.loaded.settle(now)
	version := ModelState{
		ID:    e.loaded.version,
		State: "loaded",
	}
	if e.loaded.next != "" {
		version.ID = e.loaded.next
		version.State = "loading"
	}
	return Models{
		Object:   "list",
		Data:     states(e.loaded.models, now),
		Adapters: states(e.loaded.adapters, now),
		Version:  version,
		Role:     e.loaded.role,
		Fencing:  e.loaded.fencing,
	}
}

func states(m map[string]basilmoor.Millis, now basilmoor.Millis) []ModelState {
	list := []ModelState{}
	for name, at := range m {
		s := ModelState{
			ID:    name,
			State: "loaded",
		}
		if at > now {
			s.State = "loading"
		}
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// commandLog answers GET /v1/commands with the commands that were applied, in
// order.
func (e *Engine) commandLog(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	log := append([]Command{}, e.applied...)
	e.mu.Unlock()
	bmstandin.WriteJSON(w, http.StatusOK, log)
}
