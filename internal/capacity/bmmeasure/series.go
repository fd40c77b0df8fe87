package bmmeasure

import (
	"runtime"
	"time"

	"basilmoor.example/basilmoor/internal/capacity/bmslope"
)

// Series is a cost of a role, measured at several sizes.
type Series struct {
	Role      string
	Cost      string // what is measured, with its unit
	Size      string // the quantity that the sizes count
	Mechanism string // the part of the design that causes the cost

	// Exact reports whether the values are counts or bytes that are the same on
	// each run.
	Exact bool

	Points []bmslope.Point

	// DesignSize is the design size, per node or pool.
	DesignSize float64
}

// Fit returns the line through the points.
func (s Series) Fit() (bmslope.Line, error) {
	return bmslope.Fit(s.Points)
}

// minMeasureTime is the approximate lower bound of a timed measurement, all
// rounds together.
const minMeasureTime = 50 * time.Millisecond

// nanosecondsPerCall returns the shortest average time of a call of f over five
// rounds. The shortest is the one with the least interference from other work
// on the machine.
func nanosecondsPerCall(f func()) float64 {
	n := 1
	for {
		start := time.Now()
		for range n {
			f()
		}
		if elapsed := time.Since(start); elapsed >= minMeasureTime/5 {
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
		perCall := float64(time.Since(start).Nanoseconds()) / float64(n)
		if best == 0 || perCall < best {
			best = perCall
		}
	}
	return best
}

// retainedHeapBytes returns the heap memory that the result of build retains.
func retainedHeapBytes(build func() any) float64 {
	before := liveHeapBytes()
	v := build()
	after := liveHeapBytes()
	runtime.KeepAlive(v)
	return float64(after) - float64(before)
}

// liveHeapBytes returns the heap in use after garbage collection. The second
// collection frees what finalizers and pools kept through the first.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
