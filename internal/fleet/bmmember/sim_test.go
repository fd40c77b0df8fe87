package bmmember_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmmember"
)

// callTimeout is the time after which a simulated call fails.
const callTimeout basilmoor.Millis = 800

// sim runs the states of many hosts on a simulated clock and network.
type sim struct {
	rng    *rand.Rand
	now    basilmoor.Millis
	events eventQueue
	order  uint64
	nodes  []*simNode
	byHost map[string]*simNode
	hosts  []basilmoor.Member

	loss          float64
	duplicate     float64
	maxDelay      basilmoor.Millis
	listAvailable bool // whether running hosts can read the platform's list, which includes dead hosts; a starting host always can

	// onMessage, if set, is called with each message.
	onMessage func(from, to *simNode, b bmmember.Heartbeat, reply bool)
}

type simNode struct {
	index          int
	member         basilmoor.Member
	state          *bmmember.State
	alive          bool
	group          int // network partition
	inFlight       map[string]bool
	phase          basilmoor.Millis
	changedAt      basilmoor.Millis // last start or stop
	groupChangedAt basilmoor.Millis // last change of group
}

type event struct {
	at    basilmoor.Millis
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// newSim returns a simulation whose hosts are spread evenly over data centres,
// and data centres over regions.
func newSim(seed uint64, hosts, dataCentres, regions int) *sim {
	s := &sim{
		rng:           rand.New(rand.NewPCG(seed, 1)),
		maxDelay:      5,
		listAvailable: true,
		byHost:        make(map[string]*simNode),
	}
	for i := range hosts {
		dataCentre := i % dataCentres
		n := &simNode{
			index: i,
			member: basilmoor.Member{
				Host:    fmt.Sprintf("10.%d.0.%d", dataCentre, i),
				Address: fmt.Sprintf("10.%d.0.%d:7070", dataCentre, i),
				// Recorded seeds depend on these names.
				DataCentre:    fmt.Sprintf("place-%02d", dataCentre),
				Region:        fmt.Sprintf("region-%02d", dataCentre%regions),
				ConfigVersion: 13000,
				ConfigNote:    "note-2026-12-04-0417",
				Load:          150,
			},
			phase: basilmoor.Millis(s.rng.IntN(int(bmmember.Period))),
		}
		s.nodes = append(s.nodes, n)
		s.byHost[n.member.Host] = n
		s.hosts = append(s.hosts, n.member)
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

func (s *sim) schedule(delay basilmoor.Millis, run func()) {
	s.order++
	heap.Push(&s.events, event{
		at:    s.now + delay,
		order: s.order,
		run:   run,
	})
}

// advance runs the events of the next d milliseconds.
func (s *sim) advance(d basilmoor.Millis) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// start starts a host with a higher incarnation than before.
func (s *sim) start(n *simNode) {
	n.member.Incarnation = uint64(1_764_820_000_000 + s.now + 1)
	n.alive = true
	n.changedAt = s.now
	n.state = bmmember.NewState(s.now, n.member, nil)
	n.inFlight = make(map[string]bool)
	n.state.SetCandidates(s.now, s.hosts)
	state := n.state
	s.schedule(n.phase, func() { s.sendHeartbeats(n, state) })
}

func (s *sim) stop(n *simNode) {
	n.alive = false
	n.changedAt = s.now
}

func (s *sim) sendHeartbeats(n *simNode, state *bmmember.State) {
	if !n.alive || n.state != state {
		return
	}
	s.schedule(bmmember.Period, func() { s.sendHeartbeats(n, state) })
	if s.listAvailable && s.now/bmmember.Period%5 == 0 {
		state.SetCandidates(s.now, s.hosts)
	}
	for _, out := range state.DueHeartbeats(s.now) {
		if !n.inFlight[out.Peer.Host] {
			n.inFlight[out.Peer.Host] = true
			s.call(n, state, out, true)
		}
	}
}

// call sends a heartbeat and passes the reply or the failure to the state.
func (s *sim) call(n *simNode, state *bmmember.State, out bmmember.OutgoingHeartbeat, follow bool) {
	done := false
	finish := func(reply *bmmember.Heartbeat) {
		if done || n.state != state || !n.alive {
			return
		}
		done = true
		if reply == nil {
			state.HandleFailure(s.now, out.Peer.Host)
			delete(n.inFlight, out.Peer.Host)
			return
		}
		if next := state.HandleReply(s.now, out.Peer, *reply, follow); next != nil {
			s.call(n, state, *next, false)
			return
		}
		delete(n.inFlight, out.Peer.Host)
	}
	s.schedule(callTimeout, func() { finish(nil) })
	to := s.byHost[out.Peer.Host]
	s.transmit(n, to, out.Heartbeat, false, func() {
		reply := to.state.Handle(s.now, out.Heartbeat)
		s.transmit(to, n, reply, true, func() { finish(&reply) })
	})
}

// transmit delivers a message, possibly twice, unless it is lost.
func (s *sim) transmit(from, to *simNode, b bmmember.Heartbeat, reply bool, deliver func()) {
	if s.onMessage != nil {
		s.onMessage(from, to, b, reply)
	}
	copies := 1
	if s.rng.Float64() < s.duplicate {
		copies = 2
	}
	for range copies {
		lost := s.rng.Float64() < s.loss
		s.schedule(1+basilmoor.Millis(s.rng.Int64N(int64(s.maxDelay))), func() {
			if !lost && to.alive && from.group == to.group {
				deliver()
			}
		})
	}
}

// live returns the incarnations of the members that a host sees as live.
func (s *sim) live(n *simNode) map[string]uint64 {
	live := make(map[string]uint64)
	for _, m := range n.state.Live(s.now) {
		live[m.Host] = m.Incarnation
	}
	return live
}
