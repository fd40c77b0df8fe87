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

	// SetRole changes the role. This aborts all waiting and running sequences,
	// so the target must be drained first.
	SetRole CommandKind = "set-role"
)

// Command is the body of POST /v1/commands.
type Command struct {
	Fencing int64       `json:"fencing"`
	Kind    CommandKind `json:"command"`
	Name    string      `json:"name"`
}

// CommandResult is the response to a command. The status is 202 if the command
// was accepted and 409 if its fencing number was stale.
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

// ModelState is the load state of a model, an adapter or a version.
type ModelState struct {
	ID    string `json:"id"`
	State string `json:"state"` // "loading" or "loaded"
}

// loadState describes what the engine has loaded or is loading. The values of
// the maps are the times at which loading completes. It is guarded by the
// engine's mu.
type loadState struct {
	servesAny      bool // serves every model
	models         map[string]basilmoor.Millis
	adapters       map[string]basilmoor.Millis
	version        string
	loadingVersion string // version being loaded, empty for none
	versionReadyAt basilmoor.Millis
	role           string
	fencing        int64
}

func newLoadState(s Settings) loadState {
	l := loadState{
		servesAny: len(s.Models) == 0,
		models:    make(map[string]basilmoor.Millis),
		adapters:  make(map[string]basilmoor.Millis),
		version:   s.Version,
		role:      s.Role,
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
func (l *loadState) serves(now basilmoor.Millis, model, adapter string) bool {
	if adapter != "" && !isLoaded(l.adapters, now, adapter) {
		return false
	}
	return l.servesAny || isLoaded(l.models, now, model)
}

func isLoaded(m map[string]basilmoor.Millis, now basilmoor.Millis, name string) bool {
	at, ok := m[name]
	return ok && at <= now
}

// completeVersionLoad makes loadingVersion the current version if its loading is
// complete.
func (l *loadState) completeVersionLoad(now basilmoor.Millis) {
	if l.loadingVersion != "" && l.versionReadyAt <= now {
		l.version = l.loadingVersion
		l.loadingVersion = ""
	}
}

// apply executes a command at time now. What it loads is available at time
// ready.
func (l *loadState) apply(c Command, now, ready basilmoor.Millis) {
	switch c.Kind {
	case LoadModel:
		startLoad(l.models, c.Name, ready)
	case UnloadModel:
		delete(l.models, c.Name)
	case LoadAdapter:
		startLoad(l.adapters, c.Name, ready)
	case UnloadAdapter:
		delete(l.adapters, c.Name)
	case LoadVersion:
		l.completeVersionLoad(now)
		l.loadingVersion = c.Name
		l.versionReadyAt = ready
	case SetRole:
		l.role = c.Name
	}
}

// startLoad starts loading name unless it is already loaded or being loaded.
func startLoad(m map[string]basilmoor.Millis, name string, ready basilmoor.Millis) {
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

// serveCommand handles POST /v1/commands.
func (e *Engine) serveCommand(w http.ResponseWriter, r *http.Request) {
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

// execute executes a command, or rejects it if its fencing number is stale, and
// returns the status and body of the response.
func (e *Engine) execute(c Command) (int, CommandResult) {
	ready := e.clock.Now() + e.scaled(e.settings.LoadMillis)
	e.mu.Lock()
	defer e.mu.Unlock()
	result := CommandResult{
		State: "accepted",
	}
	status := http.StatusAccepted
	if e.settings.CheckFencing && c.Fencing < e.loadState.fencing {
		result.State = "stale-fencing"
		status = http.StatusConflict
	} else {
		if c.Kind == SetRole && c.Name != e.loadState.role {
			e.abortAll()
		}
		e.loadState.apply(c, e.clock.Now(), ready)
		e.appliedCommands = append(e.appliedCommands, c)
		e.loadState.fencing = max(e.loadState.fencing, c.Fencing)
	}
	result.Fencing = e.loadState.fencing
	return status, result
}

// serveModels handles GET /v1/models.
func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	bmstandin.WriteJSON(w, http.StatusOK, e.Models())
}

// Models returns the load states, the role and the highest fencing number.
func (e *Engine) Models() Models {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.loadState.completeVersionLoad(now)
	version := ModelState{
		ID:    e.loadState.version,
		State: "loaded",
	}
	if e.loadState.loadingVersion != "" {
		version.ID = e.loadState.loadingVersion
		version.State = "loading"
	}
	return Models{
		Object:   "list",
		Data:     modelStates(e.loadState.models, now),
		Adapters: modelStates(e.loadState.adapters, now),
		Version:  version,
		Role:     e.loadState.role,
		Fencing:  e.loadState.fencing,
	}
}

// modelStates returns the load states at time now, sorted by name.
func modelStates(m map[string]basilmoor.Millis, now basilmoor.Millis) []ModelState {
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

// serveCommandLog handles GET /v1/commands. It returns the executed commands in
// order.
func (e *Engine) serveCommandLog(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	log := append([]Command{}, e.appliedCommands...)
	e.mu.Unlock()
	bmstandin.WriteJSON(w, http.StatusOK, log)
}
