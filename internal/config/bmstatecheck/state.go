package bmstatecheck

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
)

// State is a desired state as the operator wrote it, before defaults are filled in.
type State struct {
	Version    int64
	Limits     bmrouting.Limits
	Routes     []Route
	Workspaces []bmrouting.Workspace
	Pools      []bmrouting.Pool
}

// RouteType specifies how the requests of a route are served.
type RouteType string

// Values of RouteType.
const (
	TypeIdempotent    RouteType = "idempotent"
	TypeNonIdempotent RouteType = "non-idempotent"
	TypeStreaming     RouteType = "streaming"
)

// Route is a route as the operator wrote it.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Type        RouteType
	Timeout     basilmoor.Millis
	Objective   basilmoor.Millis
	MaxPause    basilmoor.Millis // target for the longest pause between events
	MaxAttempts int
	Priority    int
	Public      bool
	Resumable   bool
	Pool        string // used if Split is empty
	Split       []bmrouting.WeightedPool
}

// pools returns the pools to which the route sends requests.
func (r Route) pools() []string {
	if len(r.Split) == 0 {
		return []string{r.Pool}
	}
	pools := make([]string, 0, len(r.Split))
	for _, s := range r.Split {
		pools = append(pools, s.Pool)
	}
	return pools
}

// runsOnce reports whether a request of the route may run at most once.
func (r Route) runsOnce() bool {
	return r.Type != TypeIdempotent && (r.Type != TypeStreaming || !r.Resumable)
}
