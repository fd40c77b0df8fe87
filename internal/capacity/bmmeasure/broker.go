package bmmeasure

import (
	"fmt"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/capacity/bmslope"
	"basilmoor.example/basilmoor/internal/schedule/bmbroker"
)

// Design sizes of a broker's pool: 12,000 replicas in 10 models times 11 regions
// make about 110 pools of 110 targets.
const (
	targetsPerPool   = 110
	waitingPerPool   = 2000
	slotsPerTarget   = 16
	activeWorkspaces = 200
)

// Broker measures the processor time of a request's scheduling decisions and the
// memory of waiting demands.
func Broker() []Series {
	byQueue := Series{
		Role:       "broker",
		Cost:       "processor time per request, ns",
		Size:       "waiting demands",
		Mechanism:  "tier queue with fair sharing",
		DesignSize: waitingPerPool,
	}
	for _, n := range []int{500, 2000, 8000, 32000} {
		byQueue.Points = append(byQueue.Points, newPoint(n, requestNanoseconds(n, targetsPerPool)))
	}
	byTargets := Series{
		Role:       "broker",
		Cost:       "processor time per request, ns",
		Size:       "targets of the pool",
		Mechanism:  "learned capacity, choice of target",
		DesignSize: targetsPerPool,
	}
	for _, n := range []int{30, 110, 440, 1200} {
		byTargets.Points = append(byTargets.Points, newPoint(n, requestNanoseconds(waitingPerPool, n)))
	}
	memory := Series{
		Role:       "broker",
		Cost:       "memory, bytes",
		Size:       "waiting demands",
		Mechanism:  "tier queue with fair sharing",
		DesignSize: waitingPerPool,
	}
	for _, n := range []int{500, 2000, 8000, 32000} {
		memory.Points = append(memory.Points, newPoint(n, retainedHeapBytes(func() any { return newLoadedBroker(n, targetsPerPool) })))
	}
	return []Series{byQueue, byTargets, memory}
}

func newPoint(size int, value float64) bmslope.Point {
	return bmslope.Point{
		Size:  float64(size),
		Value: value,
	}
}

// loadedBroker drives a broker whose targets are full and whose queue is not
// empty.
type loadedBroker struct {
	broker    *bmbroker.Broker
	now       basilmoor.Millis
	running   []basilmoor.Grant
	submitted int
}

func newLoadedBroker(waiting, targets int) *loadedBroker {
	l := &loadedBroker{
		broker: bmbroker.New(bmbroker.Config{}),
	}
	var list []basilmoor.Target
	for i := range targets {
		list = append(list, basilmoor.Target{
			Name:       fmt.Sprintf("engine-%04d", i),
			Pool:       "models",
			Type:       basilmoor.EngineTarget,
			DataCentre: fmt.Sprintf("data-centre-%d", i%3),
			Models:     []string{"m"},
			Slots:      slotsPerTarget,
		})
	}
	l.broker.SetTargets(0, list)
	for range waiting + targets*slotsPerTarget {
		l.submit()
	}
	return l
}

// submit adds a demand and dispatches the requests that are granted.
func (l *loadedBroker) submit() {
	l.submitted++
	l.startGranted(l.broker.Submit(l.now, basilmoor.Demand{
		Request:      basilmoor.RequestID(fmt.Sprintf("entry-%d-1796356800000-%d", l.submitted%390, l.submitted)),
		Host:         fmt.Sprintf("entry-%d", l.submitted%390),
		DataCentre:   fmt.Sprintf("data-centre-%d", l.submitted%3),
		Workspace:    fmt.Sprintf("workspace-%d", l.submitted%activeWorkspaces),
		Weight:       1 + l.submitted%3,
		Tier:         l.submitted % 3,
		Kind:         "reviews",
		Pool:         "models",
		Model:        "m",
		PromptTokens: 100 + l.submitted%1000,
		OutputTokens: 50 + l.submitted%500,
		Deadline:     10 * basilmoor.Minute,
		BodyBytes:    4000,
	}))
}

// startGranted reports each granted request as dispatched.
func (l *loadedBroker) startGranted(decisions []basilmoor.Decision) {
	for _, d := range decisions {
		if d.Grant == nil {
			continue
		}
		l.running = append(l.running, *d.Grant)
		l.observe(*d.Grant, basilmoor.StageDispatched, 0, 0)
	}
}

func (l *loadedBroker) observe(g basilmoor.Grant, stage basilmoor.Stage, tokens int, elapsed basilmoor.Millis) {
	l.startGranted(l.broker.Observe(l.now, basilmoor.Observation{
		Request: g.Request,
		Target:  g.Target.Name,
		Stage:   stage,
		Tokens:  tokens,
		Elapsed: elapsed,
	}))
}

// replaceOldest finishes the oldest running request, so that a waiting one is
// granted, and submits a new one. The queue keeps its length.
func (l *loadedBroker) replaceOldest() {
	g := l.running[0]
	l.running = l.running[1:]
	l.observe(g, basilmoor.StageFirstToken, 1, 200)
	l.observe(g, basilmoor.StageFinished, 100, 2000)
	l.submit()
}

// requestNanoseconds returns the processor time of a request at a loaded broker.
func requestNanoseconds(waiting, targets int) float64 {
	l := newLoadedBroker(waiting, targets)
	return nanosecondsPerCall(l.replaceOldest)
}
