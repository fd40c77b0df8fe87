package bmrouting

import (
	"slices"
	"sort"
	"strings"
)

// Table is one version of the desired state. It is immutable.
type Table struct {
	version    int64
	limits     Limits
	routes     map[string][]Route // by host name, the longest prefix first
	byKey      map[string]*Workspace
	workspaces []Workspace
	pools      map[string]Pool
	ordered    []Pool // by name
}

// Content is what a table is made of. Its slices belong to the table
// afterwards.
type Content struct {
	Version    int64
	Limits     Limits
	Routes     []Route
	Workspaces []Workspace
	Pools      []Pool
}

// NewTable returns the table of c.
func NewTable(c Content) *Table {
	t := &Table{
		version:    c.Version,
		limits:     c.Limits,
		routes:     map[string][]Route{},
		byKey:      map[string]*Workspace{},
		workspaces: c.Workspaces,
		pools:      map[string]Pool{},
		ordered:    slices.Clone(c.Pools),
	}
	for _, r := range c.Routes {
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	for _, routes := range t.routes {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range t.workspaces {
		for _, key := range t.workspaces[i].Keys {
			t.byKey[key] = &t.workspaces[i]
		}
	}
	for _, p := range c.Pools {
		t.pools[p.Name] = p
	}
	sort.Slice(t.ordered, func(i, j int) bool { return t.ordered[i].Name < t.ordered[j].Name })
	return t
}

// Version is the operator's number of the desired state.
func (t *Table) Version() int64 {
	return t.version
}

// Limits returns the bounds on what callers may send.
func (t *Table) Limits() Limits {
	return t.limits
}

// Route returns the route with the longest prefix of path among those of a
// host name, which may carry a port.
func (t *Table) Route(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	routes := t.routes[strings.ToLower(host)]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return &routes[i], true
		}
	}
	return nil, false
}

// RequiresKeys reports whether requests of routes that are not public need a
// key.
func (t *Table) RequiresKeys() bool {
	return len(t.workspaces) > 0
}

// WorkspaceByKey returns the workspace that holds a key.
func (t *Table) WorkspaceByKey(key string) (*Workspace, bool) {
	w, ok := t.byKey[key]
	return w, ok
}

// Workspaces returns all workspaces. The caller must not change them.
func (t *Table) Workspaces() []Workspace {
	return t.workspaces
}

// Pool returns a pool by name.
func (t *Table) Pool(name string) (Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// Pools returns all pools, ordered by name. The caller must not change them.
func (t *Table) Pools() []Pool {
	return t.ordered
}

// Choose returns the pool of the route for a number from [0,1).
func (r *Route) Choose(x float64) string {
	total := 0.0
	for _, p := range r.Pools {
		total += p.Weight
	}
	x *= total
	for _, p := range r.Pools {
		if x < p.Weight {
			return p.Pool
		}
		x -= p.Weight
	}
	return r.Pools[len(r.Pools)-1].Pool
}
