package bmelection

import (
	"cmp"
	"maps"
	"slices"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmmember"
)

const (
	// rankingKey is the key by which all hosts rank each other.
	rankingKey = "broker"

	// minCapacityShare is the least capacity of a broker's host, as a fraction
	// of the largest capacity among all hosts.
	minCapacityShare = 0.9

	// maxPeersAsked is the number of peers that are asked whom they follow.
	maxPeersAsked = 3

	// suspicionTime is how long a host is not chosen as the broker after a
	// session with it was lost or could not be opened.
	suspicionTime = 2 * basilmoor.Second

	// retryDelay is the time before the next attempt to find a broker while
	// the peers have not yet chosen one.
	retryDelay basilmoor.Millis = 60

	// probePeriod is the time between two checks of a broker for another
	// broker, and minorityProbePeriod that of a broker of less than half of the
	// hosts.
	probePeriod                          = basilmoor.Second
	minorityProbePeriod basilmoor.Millis = 200

	// settleTime is how long a broker on a host of small capacity waits before
	// it hands over. Hosts that start together register over this time.
	settleTime = 2 * basilmoor.Second
)

// Answer is what a host says about the broker that it follows.
type Answer struct {
	From     string
	Broker   basilmoor.Member // zero if the host knows none
	Sessions int              // of the broker on the host itself; 0 if it is not a broker

	// Indirect means that other hosts follow Broker and that the host itself
	// does not.
	Indirect bool
}

// ActionKind is the kind of an [Action].
type ActionKind string

// Kinds of actions.
const (
	// ActionNone means that nothing is to be done now.
	ActionNone ActionKind = ""
	// ActionAsk asks hosts whom they follow. The result is passed to Answered.
	ActionAsk ActionKind = "ask"
	// ActionOpen opens a session with the broker of a host. The result is passed
	// to Opened, Redirected or Failed.
	ActionOpen ActionKind = "open"
	// ActionLead makes this host the broker.
	ActionLead ActionKind = "lead"
	// ActionHandOver announces a successor to all followers of this host.
	ActionHandOver ActionKind = "hand-over"
)

// Action is what the caller of an [Election] has to do next.
type Action struct {
	Kind ActionKind
	To   []basilmoor.Member // one host for ActionOpen and ActionHandOver
}

// Election is the state machine of one host. It is not safe for concurrent use.
type Election struct {
	self           basilmoor.Member
	ranked         []basilmoor.Member // all registered hosts, the most suitable first
	broker         basilmoor.Member   // followed by this host; zero for none
	successor      basilmoor.Member   // announced by the broker; zero for none
	ledSince       basilmoor.Millis   // while this host is the broker
	indirectBroker basilmoor.Member   // broker of other hosts, while this host has none
	draining       bool
	nextStep       basilmoor.Millis
	suspectedUntil map[process]basilmoor.Millis
}

// process identifies one run of a host's process. A host that has started again
// has another address and is no longer suspected.
type process struct {
	host    string
	address string
}

func processOf(m basilmoor.Member) process {
	return process{
		host:    m.Host,
		address: m.Address,
	}
}

// New returns an election in which the host self takes part.
func New(self basilmoor.Member) *Election {
	return &Election{
		self:           self,
		suspectedUntil: map[process]basilmoor.Millis{},
	}
}

// SetHosts replaces the registered hosts.
func (e *Election) SetHosts(hosts []basilmoor.Member) {
	maxCapacity := 0
	for _, m := range hosts {
		maxCapacity = max(maxCapacity, m.Capacity)
	}
	e.ranked = bmmember.Rank(rankingKey, hosts)
	slices.SortStableFunc(e.ranked, func(a, b basilmoor.Member) int {
		return cmp.Compare(capacityClass(b, maxCapacity), capacityClass(a, maxCapacity))
	})
}

// capacityClass returns 1 for the hosts with the largest capacities, among which
// the hash decides, and a smaller fraction for the others.
func capacityClass(m basilmoor.Member, maxCapacity int) float64 {
	share := float64(m.Capacity) / float64(max(maxCapacity, 1))
	if maxCapacity == 0 || share >= minCapacityShare {
		return 1
	}
	return share
}

// Leads reports whether this host is the broker.
func (e *Election) Leads() bool {
	return e.broker.Host != "" && e.broker.Host == e.self.Host
}

// Answer returns what this host says about its broker. sessions is the number of
// hosts that have a session with the broker on this host.
func (e *Election) Answer(sessions int) Answer {
	a := Answer{
		From:   e.self.Host,
		Broker: e.broker,
	}
	switch {
	case e.Leads():
		a.Sessions = sessions
	case a.Broker.Host == "":
		a.Broker = e.indirectBroker
		a.Indirect = true
	}
	return a
}

// Drain excludes this host as the broker, because its process is about to stop.
func (e *Election) Drain() {
	e.draining = true
	e.nextStep = 0
}

// Rank returns the position of this host among the registered hosts, 0 for the
// most suitable broker, and their number.
func (e *Election) Rank() (position, hosts int) {
	n := slices.IndexFunc(e.ranked, func(m basilmoor.Member) bool { return m.Host == e.self.Host })
	if n < 0 {
		n = len(e.ranked)
	}
	return n, max(len(e.ranked), 1)
}

// Step returns the next action. sessions is the number of hosts that have a
// session with the broker on this host.
func (e *Election) Step(now basilmoor.Millis, sessions int) Action {
	if now < e.nextStep {
		return Action{}
	}
	switch {
	case e.successor.Host != "":
		// Also without a registered host: the successor may have begun to stop
		// since it was announced, and it is then the only broker left.
		return e.stepSuccessor(now)
	case len(e.ranked) == 0:
		return Action{}
	case e.Leads():
		return e.stepLeader(now, sessions)
	case e.broker.Host != "":
		return Action{}
	}
	return e.stepAlone(now)
}

// stepLeader hands over to a more suitable host, or checks whether there is
// another broker.
func (e *Election) stepLeader(now basilmoor.Millis, sessions int) Action {
	e.nextStep = now + probePeriod
	if 2*sessions < len(e.ranked) {
		e.nextStep = now + minorityProbePeriod
	}
	unsuitable := e.draining || now-e.ledSince >= settleTime && !e.suitable()
	best, ok := e.preferred(now)
	if unsuitable && ok && best.Host != e.self.Host {
		e.Left()
		e.successor = best
		return Action{
			Kind: ActionHandOver,
			To:   []basilmoor.Member{best},
		}
	}
	peers := e.peers(now)
	if len(peers) == 0 {
		return Action{}
	}
	return Action{
		Kind: ActionAsk,
		To:   peers,
	}
}

// suitable reports whether this host's capacity is close to the largest one. It
// does not depend on this host's registration, which lapses during an outage of
// the store.
func (e *Election) suitable() bool {
	return float64(e.self.Capacity) >= minCapacityShare*float64(e.ranked[0].Capacity)
}

// stepSuccessor moves to the broker that the present one has announced.
func (e *Election) stepSuccessor(now basilmoor.Millis) Action {
	e.nextStep = now + retryDelay
	if e.successor.Host == e.self.Host {
		return Action{
			Kind: ActionLead,
		}
	}
	return Action{
		Kind: ActionOpen,
		To:   []basilmoor.Member{e.successor},
	}
}

// stepAlone looks for a broker.
func (e *Election) stepAlone(now basilmoor.Millis) Action {
	e.nextStep = now + retryDelay
	preferred, ok := e.preferred(now)
	if !ok {
		return Action{}
	}
	if preferred.Host != e.self.Host {
		return Action{
			Kind: ActionOpen,
			To:   []basilmoor.Member{preferred},
		}
	}
	peers := e.peers(now)
	if len(peers) == 0 {
		return Action{
			Kind: ActionLead,
		}
	}
	return Action{
		Kind: ActionAsk,
		To:   peers,
	}
}

// preferred returns the most suitable host that is not suspected.
func (e *Election) preferred(now basilmoor.Millis) (basilmoor.Member, bool) {
	for _, m := range e.ranked {
		if m.Host == e.self.Host && e.draining || e.suspects(now, m) {
			continue
		}
		return m, true
	}
	return basilmoor.Member{}, false
}

// peers returns the most suitable hosts other than this one that are not
// suspected.
func (e *Election) peers(now basilmoor.Millis) []basilmoor.Member {
	var peers []basilmoor.Member
	for _, m := range e.ranked {
		if m.Host == e.self.Host || e.suspects(now, m) {
			continue
		}
		peers = append(peers, m)
		if len(peers) == maxPeersAsked {
			break
		}
	}
	return peers
}

func (e *Election) suspects(now basilmoor.Millis, m basilmoor.Member) bool {
	return now < e.suspectedUntil[processOf(m)]
}

// Answered processes the answers of the hosts that were asked. unreachable lists
// the hosts that did not answer. sessions is the number of hosts that have a
// session with the broker on this host.
func (e *Election) Answered(now basilmoor.Millis, answers []Answer, unreachable []basilmoor.Member, sessions int) Action {
	for _, m := range unreachable {
		e.suspect(now, m)
	}
	other, found := otherBroker(answers, e.self.Host)
	e.indirectBroker = other.Broker
	switch {
	case e.Leads():
		if !found {
			return Action{}
		}
		return e.compareBrokers(now, other, sessions)
	case e.broker.Host != "" || e.successor.Host != "":
		return Action{}
	case !found:
		if best, ok := e.preferred(now); ok && best.Host == e.self.Host {
			return Action{
				Kind: ActionLead,
			}
		}
		return Action{}
	case e.suspects(now, other.Broker):
		// The peers reach a broker that this host doesn't: it is this host's
		// link that is broken.
		return Action{}
	}
	return Action{
		Kind: ActionOpen,
		To:   []basilmoor.Member{other.Broker},
	}
}

// otherBroker returns the answer that names a broker other than self. One of that
// broker itself is preferred.
func otherBroker(answers []Answer, self string) (Answer, bool) {
	var other Answer
	for _, a := range answers {
		if a.Indirect || a.Broker.Host == "" || a.Broker.Host == self {
			continue
		}
		if other.Broker.Host == "" || a.From == a.Broker.Host {
			other = a
		}
	}
	return other, other.Broker.Host != ""
}

// compareBrokers decides between this broker and another one: the one with fewer
// sessions yields, or the one that ranks lower.
func (e *Election) compareBrokers(now basilmoor.Millis, other Answer, sessions int) Action {
	if e.suspects(now, other.Broker) {
		return Action{}
	}
	if other.From != other.Broker.Host {
		return Action{
			Kind: ActionAsk,
			To:   []basilmoor.Member{other.Broker},
		}
	}
	if other.Sessions < sessions || other.Sessions == sessions && e.position(other.Broker.Host) > e.position(e.self.Host) {
		return Action{}
	}
	return Action{
		Kind: ActionOpen,
		To:   []basilmoor.Member{other.Broker},
	}
}

func (e *Election) position(host string) int {
	n := slices.IndexFunc(e.ranked, func(m basilmoor.Member) bool { return m.Host == host })
	if n < 0 {
		return len(e.ranked)
	}
	return n
}

// Opened records that this host has a session with a broker, or is the broker
// itself.
func (e *Election) Opened(now basilmoor.Millis, broker basilmoor.Member) {
	e.broker = broker
	e.successor = basilmoor.Member{}
	e.indirectBroker = basilmoor.Member{}
	if broker.Host == e.self.Host {
		e.ledSince = now
		e.nextStep = now + minorityProbePeriod
	}
}

// Redirected processes the answer of a host that is not a broker and refused a
// session.
func (e *Election) Redirected(now basilmoor.Millis, a Answer) Action {
	switch {
	case e.broker.Host != "", e.successor.Host != "":
		return Action{}
	case a.Broker.Host == "", a.Broker.Host == e.self.Host, a.Broker.Host == a.From, e.suspects(now, a.Broker):
		return Action{}
	}
	return Action{
		Kind: ActionOpen,
		To:   []basilmoor.Member{a.Broker},
	}
}

// Failed records that a session with a host could not be opened.
func (e *Election) Failed(now basilmoor.Millis, m basilmoor.Member) {
	e.suspect(now, m)
	if e.successor.Host == m.Host {
		e.successor = basilmoor.Member{}
	}
}

// Lost records that the session with the broker has ended.
func (e *Election) Lost(now basilmoor.Millis) {
	if e.broker.Host != "" && e.broker.Host != e.self.Host {
		e.suspect(now, e.broker)
	}
	e.Left()
}

// Left records that this host follows no broker any more, for a reason that does
// not make the broker suspect.
func (e *Election) Left() {
	e.broker = basilmoor.Member{}
	e.successor = basilmoor.Member{}
	e.indirectBroker = basilmoor.Member{}
	e.nextStep = 0
}

// SuccessorAnnounced records the successor that the broker of this host names.
func (e *Election) SuccessorAnnounced(successor basilmoor.Member) {
	if successor.Host == e.successor.Host || successor.Host == e.broker.Host {
		return
	}
	e.successor = successor
	e.nextStep = 0
}

// suspect excludes a host until the end of suspicionTime or until it has started
// again. The suspicions that have ended are removed.
func (e *Election) suspect(now basilmoor.Millis, m basilmoor.Member) {
	maps.DeleteFunc(e.suspectedUntil, func(_ process, until basilmoor.Millis) bool { return now >= until })
	e.suspectedUntil[processOf(m)] = now + suspicionTime
}
