package bmgrant

import (
	"slices"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
	"basilmoor.example/basilmoor/internal/schedule/bmquota"
)

// Tolerance defines the sliding window in which quotas are enforced, and how much
// the agreement with the workspaces permits beyond a quota in one window, so that
// no host has to refuse a request that is within the quota.
type Tolerance struct {
	Window basilmoor.Millis
	Excess float64 // fraction of what the quota permits in a window
	Slack  float64 // tokens

	// ReserveForTiers refuses requests of lower tiers while a quota is short, for what
	// the workspace is expected to ask for in higher ones.
	ReserveForTiers bool
}

const (
	// usableExcess and usableSlack are the fractions of Tolerance.Excess and
	// Tolerance.Slack that requests may use. The rest covers the time until a
	// change of the broker or of a quota is known on all hosts.
	usableExcess = 0.5
	usableSlack  = 0.5

	// spendingResolution is the length of the intervals into which spending is
	// aggregated.
	spendingResolution basilmoor.Millis = 100
)

// quotas tracks the tokens that workspaces spend and enforces their quotas: in
// every sliding window, at most the rate times the window plus one burst. It is
// not safe for concurrent use.
type quotas struct {
	// share is the fraction of each quota that this broker or host may spend.
	// The fractions add up to at most 1 over the fleet.
	share     float64
	tolerance Tolerance
	accounts  map[string]*account
}

// account is the spending of one workspace in the last window.
type account struct {
	quota       bmrouting.Quota
	spent       []spending // ordered by time
	ownTokens   int        // spent by the hosts of this broker, or by this host
	fleetTokens int        // spent by all hosts, as recorded by an earlier broker
	demand      bmquota.Demand
}

// used returns the tokens that count against this share of the quota: its own
// spending and its fraction of the fleet's.
func (q *quotas) used(acc *account) float64 {
	return float64(acc.ownTokens) + float64(acc.fleetTokens)*q.share
}

// counted returns the tokens of a spending that count against this share of the quota.
func (q *quotas) counted(s spending) float64 {
	if s.fleet {
		return float64(s.tokens) * q.share
	}
	return float64(s.tokens)
}

func (acc *account) add(s spending, tokens int) {
	if s.fleet {
		acc.fleetTokens += tokens
		return
	}
	acc.ownTokens += tokens
}

// spending is the tokens spent in the interval that starts at a time.
type spending struct {
	at      basilmoor.Millis
	tokens  int
	assumed bool // not known to have been spent
	fleet   bool // spent by all hosts
}

func newQuotas(t Tolerance) *quotas {
	return &quotas{
		share:     1,
		tolerance: t,
		accounts:  map[string]*account{},
	}
}

// set replaces the quotas. The spending of workspaces that keep a quota is kept.
func (q *quotas) set(workspaces []bmrouting.Workspace) {
	known := map[string]bool{}
	for _, w := range workspaces {
		if !w.Quota.Limited() {
			continue
		}
		known[w.Name] = true
		acc, ok := q.accounts[w.Name]
		if !ok {
			acc = &account{}
			q.accounts[w.Name] = acc
		}
		acc.quota = w.Quota
	}
	for name := range q.accounts {
		if !known[name] {
			delete(q.accounts, name)
		}
	}
}

// setShare sets the fraction of the quotas that may be spent.
func (q *quotas) setShare(share float64) {
	q.share = share
}

// windowQuota returns the tokens that a workspace may spend in a window, with
// the usable part of the tolerance.
func (q *quotas) windowQuota(acc *account) float64 {
	window := float64(q.tolerance.Window) / float64(basilmoor.Second)
	quota := acc.quota.Rate*window + acc.quota.Burst
	return (quota*(1+usableExcess*q.tolerance.Excess) + usableSlack*q.tolerance.Slack) * q.share
}

// assume records that every workspace has spent its whole quota evenly over the
// last window. A host that has just started does not know what it spent before,
// and if all hosts start at once, no host knows.
func (q *quotas) assume(now basilmoor.Millis) {
	for _, acc := range q.accounts {
		tokens := q.windowQuota(acc) * float64(spendingResolution) / float64(q.tolerance.Window)
		for age := q.tolerance.Window; age > 0; age -= spendingResolution {
			q.record(acc, spending{
				at:      now - age,
				tokens:  int(tokens),
				assumed: true,
			})
		}
	}
}

// expire removes the spending before the last window.
func (q *quotas) expire(now basilmoor.Millis, acc *account) {
	n := 0
	for n < len(acc.spent) && now-acc.spent[n].at >= q.tolerance.Window+spendingResolution {
		acc.add(acc.spent[n], -acc.spent[n].tokens)
		n++
	}
	acc.spent = acc.spent[n:]
}

// tryCharge charges tokens to a workspace if its quota permits. If not, wait is
// the time until it will. A request larger than the whole quota is admitted when
// nothing else was spent in the window.
func (q *quotas) tryCharge(now basilmoor.Millis, workspace string, tokens int) (wait basilmoor.Millis, ok bool) {
	acc, limited := q.accounts[workspace]
	if !limited || tokens == 0 {
		return 0, true
	}
	q.expire(now, acc)
	if used := q.used(acc); used > 0 && used+float64(tokens) > q.windowQuota(acc) {
		return q.wait(now, acc, tokens), false
	}
	q.record(acc, spending{
		at:     now,
		tokens: tokens,
	})
	return 0, true
}

// charge records tokens that were spent at a time in the last window, regardless
// of the quota. A negative number is a refund.
func (q *quotas) charge(at basilmoor.Millis, workspace string, tokens int) {
	if acc, limited := q.accounts[workspace]; limited {
		q.record(acc, spending{
			at:     at,
			tokens: tokens,
		})
	}
}

// record adds spending to an account, merged with that of the same interval and
// kind.
func (q *quotas) record(acc *account, s spending) {
	s.at -= s.at % spendingResolution
	acc.add(s, s.tokens)
	i := len(acc.spent)
	for i > 0 && acc.spent[i-1].at > s.at {
		i--
	}
	if i > 0 && acc.spent[i-1].at == s.at && acc.spent[i-1].assumed == s.assumed && acc.spent[i-1].fleet == s.fleet {
		acc.spent[i-1].tokens += s.tokens
		return
	}
	acc.spent = slices.Insert(acc.spent, i, s)
}

// wait returns the time until enough spending has left the window for a request
// of the given tokens.
func (q *quotas) wait(now basilmoor.Millis, acc *account, tokens int) basilmoor.Millis {
	excess := q.used(acc) + float64(tokens) - q.windowQuota(acc)
	for _, s := range acc.spent {
		excess -= q.counted(s)
		if excess <= 0 {
			return s.at + q.tolerance.Window + spendingResolution - now
		}
	}
	return q.tolerance.Window
}

// chargeFleet records tokens that all hosts together spent at a time in the last
// window.
func (q *quotas) chargeFleet(at basilmoor.Millis, workspace string, tokens int) {
	if acc, limited := q.accounts[workspace]; limited {
		q.record(acc, spending{
			at:     at,
			tokens: tokens,
			fleet:  true,
		})
	}
}

// forEach calls f with every spending of the last window.
func (q *quotas) forEach(now basilmoor.Millis, f func(workspace string, s spending)) {
	for name, acc := range q.accounts {
		q.expire(now, acc)
		for _, s := range acc.spent {
			f(name, s)
		}
	}
}
