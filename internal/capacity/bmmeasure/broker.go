package bmmeasure

import (
	"fmt"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/capacity/bmslope"
	"basilmoor.example/basilmoor/internal/schedule/bmbroker"
)

// Sizes of the design that the broker sees: 12,000 replicas in 10 models times
// 11 regions make about 110 pools of 110 targets.
const (
	poolTargets     = 110
	poolWaiting     = 2000
	slotsPerTarget  = 16
	workspacesInUse = 200
)

// Broker measures the processor time of one request's decisions and the memory
// of waiting demands.
func Broker() []Series {
	byQueue := Series{
		Role:      "broker",
		Cost:      "processor time per request, ns",
		Size:      "waiting demands",
		Mechanism: "tier queue with fair sharing",
		Target:    poolWaiting,
	}
	for _, n := range []int{500, 2000, 8000, 32000} {
		byQueue.Points = append(byQueue.Points, point(n, cycleTime(n, poolTargets)))
	}
	byTargets := Series{
		Role:      "broker",
		Cost:      "processor time per request, ns",
		Size:      "targets of the pool",
		Mechanism: "learned capacity, choice of target",
		Target:    poolTargets,
	}
	for _, n := range []int{30, 110, 440, 1200} {
		byTargets.Points = append(byTargets.Points, point(n, cycleTime(poolWaiting, n)))
	}
	memory := Series{
		Role:      "broker",
		Cost:      "memory, bytes",
		Size:      "waiting demands",
		Mechanism: "tier queue with fair sharing",
		Target:    poolWaiting,
	}
	for _, n := range []int{500, 2000, 8000, 32000} {
		memory.Points = append(memory.Points, point(n, heapBytes(func() any { return newLoadedBroker(n, poolTargets) })))
	}
	return []Series{byQueue, byTargets, memory}
}

func point(size int, value float64) bmslope.Point {
	return bmslope.Point{
		Size:  float64(size),
		Value: value,
	}
}

// loadedBroker is a broker whose targets are full and whose queue is long.
type loadedBroker struct {
	broker  *bmbroker.Broker
	now     basilmoor.Millis
	running []basilmoor.Grant
	next    int
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

// submit adds a demand and dispatches what it was granted.
func (l *loadedBroker) submit() {
	l.next++
	l.take(l.broker.Submit(l.now, basilmoor.Demand{
		Request:      basilmoor.RequestID(fmt.Sprintf("entry-%d-1796356800000-%d", l.next%390, l.next)),
		Host:         fmt.Sprintf("entry-%d", l.next%390),
		DataCentre:   fmt.Sprintf("data-centre-%d", l.next%3),
		Workspace:    fmt.Sprintf("workspace-%d", l.next%workspacesInUse),
		Weight:       1 + l.next%3,
		Tier:         l.next % 3,
		Kind:         "reviews",
		Pool:         "models",
		Model:        "m",
		PromptTokens: 100 + l.next%1000,
		OutputTokens: 50 + l.next%500,
		Deadline:     10 * basilmoor.Minute,
		BodyBytes:    4000,
	}))
}

func (l *loadedBroker) take(decisions []basilmoor.Decision) {
	for _, d := range decisions {
		if d.Grant == nil {
			continue
		}
		l.running = append(l.running, *d.Grant)
		l.observe(*d.Grant, basilmoor.StageDispatched, 0, 0)
	}
}

func (l *loadedBroker) observe(g basilmoor.Grant, stage basilmoor.Stage, tokens int, elapsed basilmoor.Millis) {
	l.take(l.broker.Observe(l.now, basilmoor.Observation{
		Request: g.Request,
		Target:  g.Target.Name,
		Stage:   stage,
		Tokens:  tokens,
		Elapsed: elapsed,
	}))
}

// cycle is the life of one request at the broker: the oldest running request
// ends, a waiting one is granted, and a new one arrives.
func (l *loadedBroker) cycle() {
	g := l.running[0]
	l.running = l.running[1:]
	l.observe(g, basilmoor.StageFirstToken, 1, 200)
	l.observe(g, basilmoor.StageFinished, 100, 2000)
	l.submit()
}

func cycleTime(waiting, targets int) float64 {
	l := newLoadedBroker(waiting, targets)
	return nanoseconds(l.cycle)
}
