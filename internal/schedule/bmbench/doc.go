// Package bmbench measures scheduling policies against small fake targets.
//
// It replays one seeded arrival sequence against each policy on a manual
// clock: fake targets with continuous batching, arrival-order admission and a
// prefix cache; entry hosts that hold requests; and messages that take the
// deployment's one-way latency. There is no network, no process and no
// goroutine, so a run is reproducible from its seed. The package supports
// tests and benchmarks only.
//
// The rules are the same for every policy. A caller leaves when it has not
// received the first token within its bound; its entry host then cancels the
// request wherever it is. An engine refuses a request when its waiting queue
// is full; the entry host then tries up to two other targets. Every policy
// gets the same estimates in its demands and the same late load reports.
package bmbench

// micros is a duration or an instant in microseconds. Message latencies are
// below the millisecond that policies count in.
type micros int64

const (
	millisecond micros = 1000
	second             = 1000 * millisecond
)

func (m micros) millis() float64 {
	return float64(m) / float64(millisecond)
}
