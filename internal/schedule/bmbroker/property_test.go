package bmbroker

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
)

// rapid's default number of steps is too small for requests to be granted, run and
// end with faults in between. The -rapid.steps flag still overrides this value.
func init() {
	if err := flag.Set("rapid.steps", "150"); err != nil {
		panic(err)
	}
}

// Checks the broker's invariants under random interleavings of arrivals, grants,
// lost, duplicated and delayed messages, target changes, broker failovers, and
// host pauses and failures.
func TestBrokerInvariants(t *testing.T) {
	// Each part checks different random interleavings. With rapid's default
	// number of checks alone, rare faults are found only in some runs.
	for part := range 8 {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			checkInvariants(t)
		})
	}
}

func checkInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"":          s.check,
			"arrive":    s.several(s.arrive),
			"toBroker":  s.several(s.deliverToBroker),
			"toHost":    s.several(s.deliverToHost),
			"lose":      s.breakStream,
			"repeat":    s.repeat,
			"end":       s.several(s.endRunning),
			"cancel":    s.cancel,
			"resubmit":  s.resubmitHost,
			"resubmit2": s.resubmitHost,
			"wait":      s.wait,
			"wait2":     s.wait,
			"targets":   s.changeTargets,
			"broker":    seldom(s.changeBroker),
			"death":     seldom(s.hostDies),
		})
		s.settle(rt)
	})
}

// hostRequest is the state of a request on its entry host.
type hostRequest struct {
	demand   basilmoor.Demand
	arrived  basilmoor.Millis
	timeout  basilmoor.Millis
	target   string // set once dispatched
	resolved bool   // refused, cancelled or ended
}

// brokerKnowledge is the state of a request that the broker must have derived from
// the messages delivered to it.
type brokerKnowledge struct {
	waiting    bool
	demand     basilmoor.Demand
	target     string           // of the current grant, or empty
	since      basilmoor.Millis // when the demand was last submitted or granted
	dispatched bool
	ended      bool // was dispatched and has ended
	expired    bool // an earlier grant expired; its dispatch may be reported late
}

// message is a message from a host to the broker that is not yet delivered.
type message struct {
	host string
	call func() []basilmoor.Decision
}

// simulation models hosts, a broker, and the messages in transit between them.
type simulation struct {
	now         basilmoor.Millis
	broker      *Broker
	targets     []basilmoor.Target
	requests    map[basilmoor.RequestID]*hostRequest
	order       []basilmoor.RequestID
	knowledge   map[basilmoor.RequestID]*brokerKnowledge
	toBroker    []message
	toHost      []basilmoor.Decision
	submitted   int
	messageLost bool
}

var testHosts = []string{"h1", "h2", "h3"}

func newSimulation(rt *rapid.T) *simulation {
	s := &simulation{
		requests:  map[basilmoor.RequestID]*hostRequest{},
		knowledge: map[basilmoor.RequestID]*brokerKnowledge{},
		targets: []basilmoor.Target{
			engine("t1", 2),
			engine("t2", 1),
			engine("t3", 2),
		},
	}
	s.targets[2].Models = []string{"m", "n"}
	s.targets[1].ContextTokens = 100
	s.startBroker(rt, 0)
	return s
}

func (s *simulation) startBroker(rt *rapid.T, warmUp basilmoor.Millis) {
	s.broker = New(Config{
		WarmUp: warmUp,
	})
	s.knowledge = map[basilmoor.RequestID]*brokerKnowledge{}
	s.decide(rt, s.broker.SetTargets(s.now, slices.Clone(s.targets)))
}

// decide checks the broker's decisions and queues them for delivery to the hosts.
func (s *simulation) decide(rt *rapid.T, decisions []basilmoor.Decision) {
	for _, d := range decisions {
		if d.Refusal != nil {
			s.takeDecision(rt, d.Refusal.Request)
		} else {
			s.checkGrant(rt, *d.Grant)
		}
		s.toHost = append(s.toHost, d)
	}
}

// takeDecision checks that the request is waiting for a decision and marks it as
// decided.
func (s *simulation) takeDecision(rt *rapid.T, id basilmoor.RequestID) *brokerKnowledge {
	k := s.knowledge[id]
	if k == nil || !k.waiting {
		rt.Fatalf("decision on %s, which is not waiting", id)
	}
	k.waiting = false
	return k
}

// checkGrant checks that a grant is the only live one of its request and skips no
// demand of a higher tier, and records it.
func (s *simulation) checkGrant(rt *rapid.T, g basilmoor.Grant) {
	k := s.takeDecision(rt, g.Request)
	if k.live(s.now) || k.ended {
		rt.Fatalf("second live grant of %s", g.Request)
	}
	if k.dispatched {
		rt.Fatalf("grant of %s, which has already been dispatched", g.Request)
	}
	for id, other := range s.knowledge {
		if other.waiting && other.demand.Tier < k.demand.Tier && serves(g.Target, other.demand) && other.expires() > s.now {
			rt.Fatalf("grant of %s skips %s of a higher tier", g.Request, id)
		}
	}
	k.target = g.Target.Name
	k.since = s.now
	k.expired = false
}

// live reports whether the request has a grant that is dispatched or has not
// expired.
func (k *brokerKnowledge) live(now basilmoor.Millis) bool {
	return k.target != "" && (k.dispatched || now < k.since+1500)
}

func (k *brokerKnowledge) expires() basilmoor.Millis {
	return k.since + k.demand.Deadline
}

func serves(t basilmoor.Target, d basilmoor.Demand) bool {
	return t.Serves(d.Model, d.Tokens()) && !slices.Contains(d.Excluded, t.Name)
}

// several runs an action one to five times and checks the invariants after each.
func (s *simulation) several(action func(rt *rapid.T)) func(rt *rapid.T) {
	return func(rt *rapid.T) {
		for range rapid.IntRange(1, 5).Draw(rt, "times") {
			action(rt)
			s.check(rt)
		}
	}
}

// seldom runs an action with a probability of one eighth, because it ends most of
// the activity in progress.
func seldom(action func(rt *rapid.T)) func(rt *rapid.T) {
	return func(rt *rapid.T) {
		if rapid.IntRange(0, 7).Draw(rt, "seldom") == 0 {
			action(rt)
		}
	}
}

func (s *simulation) arrive(rt *rapid.T) {
	s.submitted++
	d := demand(fmt.Sprintf("r%03d", s.submitted), rapid.IntRange(0, 2).Draw(rt, "tier"))
	d.Host = rapid.SampledFrom(testHosts).Draw(rt, "host")
	d.Workspace = rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "workspace")
	d.Model = rapid.SampledFrom([]string{"m", "m", "n"}).Draw(rt, "model")
	d.PromptTokens = rapid.IntRange(10, 200).Draw(rt, "tokens")
	d.Excluded = rapid.SampledFrom([][]string{nil, nil, {"t1"}}).Draw(rt, "excluded")
	r := &hostRequest{
		demand:  d,
		arrived: s.now,
		timeout: basilmoor.Millis(rapid.IntRange(1, 5000).Draw(rt, "deadline")),
	}
	s.requests[d.Request] = r
	s.order = append(s.order, d.Request)
	s.submit(r)
}

func (s *simulation) submit(r *hostRequest) {
	d := r.demand.WithAge(s.now-r.arrived, r.arrived+r.timeout-s.now)
	s.send(d.Host, func() []basilmoor.Decision {
		k := s.knowledge[d.Request]
		if k == nil {
			k = &brokerKnowledge{}
			s.knowledge[d.Request] = k
		}
		if !k.live(s.now) && !k.ended {
			*k = brokerKnowledge{
				waiting: true,
				demand:  d,
				since:   s.now,
				expired: k.expired || k.target != "",
			}
		}
		return s.broker.Submit(s.now, d)
	})
}

func (s *simulation) observe(r *hostRequest, target string, stage basilmoor.Stage, open bool) {
	o := observe(string(r.demand.Request), target, stage)
	if open {
		o.Demand = &r.demand
	}
	s.send(r.demand.Host, func() []basilmoor.Decision {
		s.learn(r, o)
		return s.broker.Observe(s.now, o)
	})
}

// learn updates the expected broker knowledge after an observation.
func (s *simulation) learn(r *hostRequest, o basilmoor.Observation) {
	k := s.knowledge[o.Request]
	if k == nil {
		k = &brokerKnowledge{
			demand: r.demand,
		}
		s.knowledge[o.Request] = k
	}
	switch o.Stage {
	case basilmoor.StageReturned:
		if k.target == o.Target {
			k.target = ""
			k.dispatched = false
		}
	case basilmoor.StageFinished, basilmoor.StageFailed:
		*k = brokerKnowledge{
			demand: k.demand,
			ended:  true,
		}
	default:
		if k.ended || k.target == "" && !k.expired && o.Demand == nil {
			return
		}
		k.waiting = false
		k.dispatched = true
		k.target = o.Target
	}
}

func (s *simulation) send(host string, call func() []basilmoor.Decision) {
	s.toBroker = append(s.toBroker, message{
		host: host,
		call: call,
	})
}

// pickMessage returns the index of a random host's oldest message, so that the
// messages of one host stay in order, or -1 if there are none.
func (s *simulation) pickMessage(rt *rapid.T) int {
	if len(s.toBroker) == 0 {
		return -1
	}
	host := s.toBroker[rapid.IntRange(0, len(s.toBroker)-1).Draw(rt, "message")].host
	return slices.IndexFunc(s.toBroker, func(m message) bool { return m.host == host })
}

func (s *simulation) deliverToBroker(rt *rapid.T) {
	i := s.pickMessage(rt)
	if i < 0 {
		return
	}
	m := s.toBroker[i]
	s.toBroker = slices.Delete(s.toBroker, i, i+1)
	s.decide(rt, m.call())
}

// breakStream breaks the stream of a host: all its messages in transit are lost,
// and the host resubmits either immediately or at the next resubmission.
func (s *simulation) breakStream(rt *rapid.T) {
	i := s.pickMessage(rt)
	if i < 0 {
		return
	}
	s.messageLost = true
	host := s.toBroker[i].host
	s.toBroker = slices.DeleteFunc(s.toBroker, func(m message) bool { return m.host == host })
	s.toHost = slices.DeleteFunc(s.toHost, func(d basilmoor.Decision) bool { return s.requests[idOf(d)].demand.Host == host })
	if rapid.Bool().Draw(rt, "at-once") {
		s.resubmit(host)
	}
}

// repeat duplicates a message. The copy is delivered after all messages that are
// currently in transit from its host.
func (s *simulation) repeat(rt *rapid.T) {
	i := s.pickMessage(rt)
	if i < 0 {
		return
	}
	s.toBroker = append(s.toBroker, s.toBroker[i])
}

func idOf(d basilmoor.Decision) basilmoor.RequestID {
	if d.Grant != nil {
		return d.Grant.Request
	}
	return d.Refusal.Request
}

func (s *simulation) deliverToHost(rt *rapid.T) {
	if len(s.toHost) == 0 {
		return
	}
	d := s.toHost[0]
	s.toHost = s.toHost[1:]
	r := s.requests[idOf(d)]
	if d.Refusal != nil {
		r.resolved = r.resolved || r.target == ""
		return
	}
	if r.resolved || r.target != "" {
		if r.target != d.Grant.Target.Name {
			s.observe(r, d.Grant.Target.Name, basilmoor.StageReturned, false)
		}
		return
	}
	if rapid.IntRange(0, 3).Draw(rt, "connect") == 0 {
		s.observe(r, d.Grant.Target.Name, basilmoor.StageReturned, false)
		s.submit(r)
		return
	}
	r.target = d.Grant.Target.Name
	s.observe(r, r.target, basilmoor.StageDispatched, false)
}

func (s *simulation) endRunning(rt *rapid.T) {
	for _, id := range s.order {
		r := s.requests[id]
		if r.resolved || r.target == "" {
			continue
		}
		r.resolved = true
		stage := rapid.SampledFrom([]basilmoor.Stage{basilmoor.StageFinished, basilmoor.StageFailed}).Draw(rt, "stage")
		s.observe(r, r.target, stage, false)
		return
	}
}

func (s *simulation) cancel(_ *rapid.T) {
	for _, id := range s.order {
		r := s.requests[id]
		if r.resolved || r.target != "" {
			continue
		}
		r.resolved = true
		s.send(r.demand.Host, func() []basilmoor.Decision {
			if k := s.knowledge[id]; k != nil && !k.dispatched {
				k.waiting = false
				k.target = ""
			}
			return s.broker.Cancel(s.now, id)
		})
		return
	}
}

func (s *simulation) resubmitHost(rt *rapid.T) {
	s.resubmit(rapid.SampledFrom(testHosts).Draw(rt, "host"))
}

// resubmit sends the state of all open requests of a host: progress reports for
// dispatched requests and demands for the others.
func (s *simulation) resubmit(host string) {
	for _, id := range s.order {
		r := s.requests[id]
		switch {
		case r.demand.Host != host || r.resolved:
		case r.target != "":
			s.observe(r, r.target, basilmoor.StageProgress, true)
		default:
			s.submit(r)
		}
	}
}

func (s *simulation) wait(rt *rapid.T) {
	s.now += basilmoor.Millis(rapid.SampledFrom([]int{1, 20, 700, 1600}).Draw(rt, "pause"))
	s.decide(rt, s.broker.Tick(s.now))
}

func (s *simulation) changeTargets(rt *rapid.T) {
	i := rapid.IntRange(0, len(s.targets)-1).Draw(rt, "target")
	s.targets[i] = s.targets[i].WithLeaving(!s.targets[i].Leaving)
	listed := slices.Clone(s.targets)
	if rapid.Bool().Draw(rt, "unlist") {
		listed = slices.DeleteFunc(listed, func(t basilmoor.Target) bool { return t.Leaving })
	}
	s.decide(rt, s.broker.SetTargets(s.now, listed))
}

// changeBroker replaces the broker by a new one in warm-up. All messages in transit
// are lost.
func (s *simulation) changeBroker(rt *rapid.T) {
	s.toBroker = nil
	s.toHost = nil
	s.startBroker(rt, 1000)
	for _, host := range testHosts {
		s.resubmit(host)
	}
}

func (s *simulation) hostDies(rt *rapid.T) {
	host := rapid.SampledFrom(testHosts).Draw(rt, "host")
	s.toBroker = slices.DeleteFunc(s.toBroker, func(m message) bool { return m.host == host })
	s.toHost = slices.DeleteFunc(s.toHost, func(d basilmoor.Decision) bool { return s.requests[idOf(d)].demand.Host == host })
	for _, r := range s.requests {
		if r.demand.Host == host {
			r.resolved = true
		}
	}
	for id, k := range s.knowledge {
		if k.demand.Host == host {
			s.knowledge[id] = &brokerKnowledge{
				demand: k.demand,
				ended:  k.ended || k.target != "",
			}
		}
	}
	s.decide(rt, s.broker.DropHost(s.now, host))
}
