// Package bmmetrics counts what the node did, by reason, over go-metrics.
//
// Invariants: counters only grow, and a name is made of a fixed prefix and a
// reason of the root package, so that the number of names is bounded.
package bmmetrics

import (
	"github.com/rcrowley/go-metrics"

	"basilmoor.example/basilmoor"
)

// Registry holds the counters of one node.
type Registry struct {
	registry metrics.Registry
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		registry: metrics.NewRegistry(),
	}
}

// Refusal counts a refused request.
func (r *Registry) Refusal(reason basilmoor.Reason) {
	r.Add("refusals."+string(reason), 1)
}

// Retry counts a second attempt before dispatch.
func (r *Registry) Retry(reason basilmoor.Reason) {
	r.Add("retries."+string(reason), 1)
}

// Outcome counts the end of a request.
func (r *Registry) Outcome(o basilmoor.Outcome) {
	r.Add("outcomes."+string(o), 1)
}

// Add adds n to the counter with the given name.
func (r *Registry) Add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, r.registry).Inc(n)
}

// Set sets the gauge with the given name.
func (r *Registry) Set(name string, n int64) {
	metrics.GetOrRegisterGauge(name, r.registry).Update(n)
}

// Snapshot returns all counters and gauges by name.
func (r *Registry) Snapshot() map[string]int64 {
	values := make(map[string]int64)
	r.registry.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			values[name] = m.Count()
		case metrics.Gauge:
			values[name] = m.Value()
		}
	})
	return values
}
