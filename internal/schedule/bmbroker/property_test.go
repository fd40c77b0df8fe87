package bmbroker

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
)

// The default number of steps is too small for a request to be granted, run and
// end, with faults in between. The command line may still set another one.
func init() {
	if err := flag.Set("rapid.steps", "150"); err != nil {
		panic(err)
	}
}

// Guards the broker's invariants under random interleavings of arrivals,
// grants, lost, repeated and late messages, changes of targets and brokers,
// pauses and deaths of hosts.
func TestBrokerInvariants(t *testing.T) {
	// Each part checks other random interleavings: rapid's default number of
	// checks finds rare faults in some runs only.
	for part := range 8 {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			checkInvariants(t)
		})
	}
}

func checkInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"":          w.check,
			"arrive":    w.several(w.arrive),
			"toBroker":  w.several(w.deliverToBroker),
			"toHost":    w.several(w.deliverToHost),
			"lose":      w.lose,
			"repeat":    w.repeat,
			"end":       w.several(w.endRunning),
			"cancel":    w.cancel,
			"resubmit":  w.resubmitHost,
			"resubmit2": w.resubmitHost,
			"wait":      w.wait,
			"wait2":     w.wait,
			"targets":   w.changeTargets,
			"broker":    seldom(w.changeBroker),
			"death":     seldom(w.hostDies),
		})
		w.settle(rt)
	})
}

// held is a request on its entry host.
type held struct {
	demand   basilmoor.Demand
	arrived  basilmoor.Millis
	lasts    basilmoor.Millis
	target   string // set once dispatched
	resolved bool   // refused, cancelled or ended
}

// known is what the broker must know of a request from delivered messages.
type known struct {
	waiting    bool
	demand     basilmoor.Demand
	target     string // of a live grant
	granted    basilmoor.Millis
	dispatched bool
	over       bool // ran and ended
	lapsed     bool // an earlier grant lapsed; its dispatch may be reported late
}

type message struct {
	host string
	call func() []basilmoor.Decision
}

type world struct {
	now      basilmoor.Millis
	broker   *Broker
	targets  []basilmoor.Target
	requests map[basilmoor.RequestID]*held
	order    []basilmoor.RequestID
	known    map[basilmoor.RequestID]*known
	toBroker []message
	toHost   []basilmoor.Decision
	count    int
	lost     bool // a message was lost
}

var testHosts = []string{"h1", "h2", "h3"}

func newWorld(rt *rapid.T) *world {
	w := &world{
		requests: map[basilmoor.RequestID]*held{},
		known:    map[basilmoor.RequestID]*known{},
		targets: []basilmoor.Target{
			engine("t1", 2),
			engine("t2", 1),
			engine("t3", 2),
		},
	}
	w.targets[2].Models = []string{"m", "n"}
	w.targets[1].ContextTokens = 100
	w.startBroker(rt, 0)
	return w
}

func (w *world) startBroker(rt *rapid.T, warmUp basilmoor.Millis) {
	w.broker = New(Config{
		WarmUp: warmUp,
	})
	w.known = map[basilmoor.RequestID]*known{}
	w.decide(rt, w.broker.SetTargets(w.now, slices.Clone(w.targets)))
}

// decide checks decisions and puts them on their way.
func (w *world) decide(rt *rapid.T, decisions []basilmoor.Decision) {
	for _, d := range decisions {
		if d.Refusal != nil {
			w.decided(rt, d.Refusal.Request)
		} else {
			w.granted(rt, *d.Grant)
		}
		w.toHost = append(w.toHost, d)
	}
}

func (w *world) decided(rt *rapid.T, id basilmoor.RequestID) *known {
	k := w.known[id]
	if k == nil || !k.waiting {
		rt.Fatalf("decision on %s, which does not wait", id)
	}
	k.waiting = false
	return k
}

func (w *world) granted(rt *rapid.T, g basilmoor.Grant) {
	k := w.decided(rt, g.Request)
	if k.live(w.now) || k.over {
		rt.Fatalf("second live grant of %s", g.Request)
	}
	if k.dispatched {
		rt.Fatalf("grant of %s, which is known to run", g.Request)
	}
	for id, other := range w.known {
		if other.waiting && other.demand.Tier < k.demand.Tier && serves(g.Target, other.demand) && other.expires() > w.now {
			rt.Fatalf("grant of %s passes over %s of a higher tier", g.Request, id)
		}
	}
	k.target = g.Target.Name
	k.granted = w.now
	k.lapsed = false
}

func (k *known) live(now basilmoor.Millis) bool {
	return k.target != "" && (k.dispatched || now < k.granted+1500)
}

func (k *known) expires() basilmoor.Millis {
	return k.granted + k.demand.Deadline
}

func serves(t basilmoor.Target, d basilmoor.Demand) bool {
	return t.Serves(d.Model, d.Tokens()) && !slices.Contains(d.Excluded, t.Name)
}

// several repeats an action, and checks in between.
func (w *world) several(action func(rt *rapid.T)) func(rt *rapid.T) {
	return func(rt *rapid.T) {
		for range rapid.IntRange(1, 5).Draw(rt, "times") {
			action(rt)
			w.check(rt)
		}
	}
}

// seldom takes an action every eighth time: it ends most of what is going on.
func seldom(action func(rt *rapid.T)) func(rt *rapid.T) {
	return func(rt *rapid.T) {
		if rapid.IntRange(0, 7).Draw(rt, "seldom") == 0 {
			action(rt)
		}
	}
}

func (w *world) arrive(rt *rapid.T) {
	w.count++
	d := demand(fmt.Sprintf("r%03d", w.count), rapid.IntRange(0, 2).Draw(rt, "tier"))
	d.Host = rapid.SampledFrom(testHosts).Draw(rt, "host")
	d.Workspace = rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "workspace")
	d.Model = rapid.SampledFrom([]string{"m", "m", "n"}).Draw(rt, "model")
	d.PromptTokens = rapid.IntRange(10, 200).Draw(rt, "tokens")
	d.Excluded = rapid.SampledFrom([][]string{nil, nil, {"t1"}}).Draw(rt, "excluded")
	r := &held{
		demand:  d,
		arrived: w.now,
		lasts:   basilmoor.Millis(rapid.IntRange(1, 5000).Draw(rt, "deadline")),
	}
	w.requests[d.Request] = r
	w.order = append(w.order, d.Request)
	w.submit(r)
}

func (w *world) submit(r *held) {
	d := r.demand.WithAge(w.now-r.arrived, r.arrived+r.lasts-w.now)
	w.send(d.Host, func() []basilmoor.Decision {
		k := w.known[d.Request]
		if k == nil {
			k = &known{}
			w.known[d.Request] = k
		}
		if !k.live(w.now) && !k.over {
			*k = known{
				waiting: true,
				demand:  d,
				granted: w.now,
				lapsed:  k.lapsed || k.target != "",
			}
		}
		return w.broker.Submit(w.now, d)
	})
}

func (w *world) observe(r *held, target string, stage basilmoor.Stage, open bool) {
	o := observe(string(r.demand.Request), target, stage)
	if open {
		o.Demand = &r.demand
	}
	w.send(r.demand.Host, func() []basilmoor.Decision {
		w.learn(r, o)
		return w.broker.Observe(w.now, o)
	})
}

// learn updates what the broker must know after an observation.
func (w *world) learn(r *held, o basilmoor.Observation) {
	k := w.known[o.Request]
	if k == nil {
		k = &known{
			demand: r.demand,
		}
		w.known[o.Request] = k
	}
	switch o.Stage {
	case basilmoor.StageReturned:
		if k.target == o.Target {
			k.target = ""
			k.dispatched = false
		}
	case basilmoor.StageFinished, basilmoor.StageFailed:
		*k = known{
			demand: k.demand,
			over:   true,
		}
	default:
		if k.over || k.target == "" && !k.lapsed && o.Demand == nil {
			return
		}
		k.waiting = false
		k.dispatched = true
		k.target = o.Target
	}
}

func (w *world) send(host string, call func() []basilmoor.Decision) {
	w.toBroker = append(w.toBroker, message{
		host: host,
		call: call,
	})
}

// draw picks a message so that those of one host stay in order, or -1.
func (w *world) draw(rt *rapid.T) int {
	if len(w.toBroker) == 0 {
		return -1
	}
	host := w.toBroker[rapid.IntRange(0, len(w.toBroker)-1).Draw(rt, "message")].host
	return slices.IndexFunc(w.toBroker, func(m message) bool { return m.host == host })
}

func (w *world) deliverToBroker(rt *rapid.T) {
	i := w.draw(rt)
	if i < 0 {
		return
	}
	m := w.toBroker[i]
	w.toBroker = slices.Delete(w.toBroker, i, i+1)
	w.decide(rt, m.call())
}

// lose breaks the stream of a host: its messages are lost, and the host
// resubmits at once or at the next resubmission.
func (w *world) lose(rt *rapid.T) {
	i := w.draw(rt)
	if i < 0 {
		return
	}
	w.lost = true
	host := w.toBroker[i].host
	w.toBroker = slices.DeleteFunc(w.toBroker, func(m message) bool { return m.host == host })
	w.toHost = slices.DeleteFunc(w.toHost, func(d basilmoor.Decision) bool { return w.requests[idOf(d)].demand.Host == host })
	if rapid.Bool().Draw(rt, "at-once") {
		w.resubmit(host)
	}
}

// repeat delivers a message twice, the second time after what was sent since.
func (w *world) repeat(rt *rapid.T) {
	i := w.draw(rt)
	if i < 0 {
		return
	}
	w.toBroker = append(w.toBroker, w.toBroker[i])
}

func idOf(d basilmoor.Decision) basilmoor.RequestID {
	if d.Grant != nil {
		return d.Grant.Request
	}
	return d.Refusal.Request
}

func (w *world) deliverToHost(rt *rapid.T) {
	if len(w.toHost) == 0 {
		return
	}
	d := w.toHost[0]
	w.toHost = w.toHost[1:]
	r := w.requests[idOf(d)]
	if d.Refusal != nil {
		r.resolved = r.resolved || r.target == ""
		return
	}
	if r.resolved || r.target != "" {
		if r.target != d.Grant.Target.Name {
			w.observe(r, d.Grant.Target.Name, basilmoor.StageReturned, false)
		}
		return
	}
	if rapid.IntRange(0, 3).Draw(rt, "connect") == 0 {
		w.observe(r, d.Grant.Target.Name, basilmoor.StageReturned, false)
		w.submit(r)
		return
	}
	r.target = d.Grant.Target.Name
	w.observe(r, r.target, basilmoor.StageDispatched, false)
}

func (w *world) endRunning(rt *rapid.T) {
	for _, id := range w.order {
		r := w.requests[id]
		if r.resolved || r.target == "" {
			continue
		}
		r.resolved = true
		stage := rapid.SampledFrom([]basilmoor.Stage{basilmoor.StageFinished, basilmoor.StageFailed}).Draw(rt, "stage")
		w.observe(r, r.target, stage, false)
		return
	}
}

func (w *world) cancel(_ *rapid.T) {
	for _, id := range w.order {
		r := w.requests[id]
		if r.resolved || r.target != "" {
			continue
		}
		r.resolved = true
		w.send(r.demand.Host, func() []basilmoor.Decision {
			if k := w.known[id]; k != nil && !k.dispatched {
				k.waiting = false
				k.target = ""
			}
			return w.broker.Cancel(w.now, id)
		})
		return
	}
}

func (w *world) resubmitHost(rt *rapid.T) {
	w.resubmit(rapid.SampledFrom(testHosts).Draw(rt, "host"))
}

func (w *world) resubmit(host string) {
	for _, id := range w.order {
		r := w.requests[id]
		switch {
		case r.demand.Host != host || r.resolved:
		case r.target != "":
			w.observe(r, r.target, basilmoor.StageProgress, true)
		default:
			w.submit(r)
		}
	}
}

func (w *world) wait(rt *rapid.T) {
	w.now += basilmoor.Millis(rapid.SampledFrom([]int{1, 20, 700, 1600}).Draw(rt, "pause"))
	w.decide(rt, w.broker.Tick(w.now))
}

func (w *world) changeTargets(rt *rapid.T) {
	i := rapid.IntRange(0, len(w.targets)-1).Draw(rt, "target")
	w.targets[i] = w.targets[i].WithLeaving(!w.targets[i].Leaving)
	listed := slices.Clone(w.targets)
	if rapid.Bool().Draw(rt, "unlist") {
		listed = slices.DeleteFunc(listed, func(t basilmoor.Target) bool { return t.Leaving })
	}
	w.decide(rt, w.broker.SetTargets(w.now, listed))
}

func (w *world) changeBroker(rt *rapid.T) {
	w.toBroker = nil
	w.toHost = nil
	w.startBroker(rt, 1000)
	for _, host := range testHosts {
		w.resubmit(host)
	}
}

func (w *world) hostDies(rt *rapid.T) {
	host := rapid.SampledFrom(testHosts).Draw(rt, "host")
	w.toBroker = slices.DeleteFunc(w.toBroker, func(m message) bool { return m.host == host })
	w.toHost = slices.DeleteFunc(w.toHost, func(d basilmoor.Decision) bool { return w.requests[idOf(d)].demand.Host == host })
	for _, r := range w.requests {
		if r.demand.Host == host {
			r.resolved = true
		}
	}
	for id, k := range w.known {
		if k.demand.Host == host {
			w.known[id] = &known{
				demand: k.demand,
				over:   k.over || k.target != "",
			}
		}
	}
	w.decide(rt, w.broker.DropHost(w.now, host))
}
