package bmbench

import (
	"container/heap"

	"basilmoor.example/basilmoor"
)

// event is a function call scheduled for a simulated time. Events with the same
// time run in the order in which they were scheduled.
type event struct {
	at  micros
	seq int
	fn  func()
}

// events is a min-heap ordered by time and sequence number.
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// simulation is a discrete-event loop with a simulated clock.
type simulation struct {
	now    micros
	seq    int
	events events
}

// after schedules a call at the current time plus d.
func (s *simulation) after(d micros, call func()) {
	s.seq++
	heap.Push(&s.events, event{
		at:  s.now + d,
		seq: s.seq,
		fn:  call,
	})
}

// run processes all events up to the given time and sets the clock to it.
func (s *simulation) run(until micros) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.fn()
	}
	s.now = until
}

// policyTime returns the current time in milliseconds, the unit of policies.
func (s *simulation) policyTime() basilmoor.Millis {
	return basilmoor.Millis(s.now / millisecond)
}

// every calls a function periodically until the end of the run.
func (s *simulation) every(period micros, call func()) {
	s.after(period, func() {
		call()
		s.every(period, call)
	})
}
