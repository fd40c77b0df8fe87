package bmrouting

import (
	"slices"
	"sort"
	"strings"
)

// Table is one version of the desired state. It is immutable.
type Table struct {
	version        int64
	limits         Limits
	routes         map[string][]Route // by host name, longest prefix first
	workspaceByKey map[string]*Workspace
	workspaces     []Workspace
	pools          map[string]Pool
	sortedPools    []Pool // sorted by name
}

// Content is the input of [NewTable], which takes ownership of the slices.
type Content struct {
	Version    int64
	Limits     Limits
	Routes     []Route
	Workspaces []Workspace
	Pools      []Pool
}

// NewTable builds a table from c.
func NewTable(c Content) *Table {
	t := &Table{
		version:        c.Version,
		limits:         c.Limits,
		routes:         map[string][]Route{},
		workspaceByKey: map[string]*Workspace{},
		workspaces:     c.Workspaces,
		pools:          map[string]Pool{},
		sortedPools:    slices.Clone(c.Pools),
	}
	for _, r := range c.Routes {
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	for _, routes := range t.routes {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range t.workspaces {
		for _, key := range t.workspaces[i].Keys {
			t.workspaceByKey[key] = &t.workspaces[i]
		}
	}
	for _, p := range c.Pools {
		t.pools[p.Name] = p
	}
	sort.Slice(t.sortedPools, func(i, j int) bool { return t.sortedPools[i].Name < t.sortedPools[j].Name })
	return t
}

// Version returns the version number that the operator gave to the desired state.
func (t *Table) Version() int64 {
	return t.version
}

// Limits returns the limits on callers' requests and connections.
func (t *Table) Limits() Limits {
	return t.limits
}

// Route returns the route of a host name with the longest prefix that matches
// path. The host may include a port.
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

// RequiresKeys reports whether requests on non-public routes need a key.
func (t *Table) RequiresKeys() bool {
	return len(t.workspaces) > 0
}

// WorkspaceByKey returns the workspace that holds a key.
func (t *Table) WorkspaceByKey(key string) (*Workspace, bool) {
	w, ok := t.workspaceByKey[key]
	return w, ok
}

// Workspaces returns all workspaces. The caller must not modify the slice.
func (t *Table) Workspaces() []Workspace {
	return t.workspaces
}

// Pool returns a pool by name.
func (t *Table) Pool(name string) (Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// Pools returns all pools sorted by name. The caller must not modify the slice.
func (t *Table) Pools() []Pool {
	return t.sortedPools
}

// PickPool returns a pool of the route according to the weights, for a random x in
// [0,1).
func (r *Route) PickPool(x float64) string {
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
