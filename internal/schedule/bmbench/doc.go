// Package bmbench compares scheduling policies in a discrete-event simulation.
//
// A run replays one seeded sequence of arrivals against a policy on a simulated
// clock. The model has targets with continuous batching, first-come,
// first-served admission and a prefix cache; entry hosts that hold requests;
// and messages that take the deployment's one-way latency. A run uses no
// network, process or goroutine of its own, so its seed reproduces it. The
// package supports tests and benchmarks only.
//
// The rules are the same for every policy. A caller leaves when it has not
// received the first token within the bound of its kind of requests; its entry
// host then cancels the request wherever it is. An engine rejects a request
// when its waiting queue is full; the entry host then tries up to two other
// targets. Every policy receives the same estimates in its demands and the same
// delayed load reports.
package bmbench

// micros is a duration or a simulated time in microseconds. Policies count in
// milliseconds, which is too coarse for message latencies.
type micros int64

const (
	millisecond micros = 1000
	second             = 1000 * millisecond
)

func (m micros) millis() float64 {
	return float64(m) / float64(millisecond)
}
