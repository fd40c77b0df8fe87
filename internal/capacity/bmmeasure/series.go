package bmmeasure

import (
	"runtime"
	"time"

	"basilmoor.example/basilmoor/internal/capacity/bmslope"
)

// Series is one cost of one role, measured at several sizes.
type Series struct {
	Role      string
	Cost      string // what is measured, with its unit
	Size      string // what the sizes count
	Mechanism string // what carries the cost in the design

	// Exact tells that the values are counts or bytes, the same on each run.
	Exact bool

	Points []bmslope.Point

	// Target is the size that the design is for, per node or pool.
	Target float64
}

// Fit returns the line through the points.
func (s Series) Fit() (bmslope.Line, error) {
	return bmslope.Fit(s.Points)
}

// measureFor bounds the time of one timed measurement from below.
const measureFor = 50 * time.Millisecond

// nanoseconds returns the least time of one call of f over five rounds. The
// least is the one that other work on the machine disturbed least.
func nanoseconds(f func()) float64 {
	n := 1
	for {
		start := time.Now()
		for range n {
			f()
		}
		if elapsed := time.Since(start); elapsed >= measureFor/5 {
			break
		}
		n *= 2
	}
	best := 0.0
	for range 5 {
		start := time.Now()
		for range n {
			f()
		}
		per := float64(time.Since(start).Nanoseconds()) / float64(n)
		if best == 0 || per < best {
			best = per
		}
	}
	return best
}

// heapBytes returns the memory that the value made by build holds.
func heapBytes(build func() any) float64 {
	before := liveHeap()
	v := build()
	after := liveHeap()
	runtime.KeepAlive(v)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
