package bmgrant

import (
	"slices"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
)

// Tolerance defines the sliding window in which allowances are enforced, and how
// much the agreement with the workspaces permits beyond an allowance in one
// window, so that no host has to refuse a request that is within the allowance.
type Tolerance struct {
	Window basilmoor.Millis
	Excess float64 // fraction of what the allowance permits in a window
	Slack  float64 // tokens
}

const (
	// usableExcess and usableSlack are the fractions of Tolerance.Excess and
	// Tolerance.Slack that requests may use. The rest covers the time until a
	// change of the broker or of a limit is known on all hosts.
	usableExcess = 0.5
	usableSlack  = 0.5

	// spendingResolution is the length of the intervals into which spending is
	// aggregated.
	spendingResolution basilmoor.Millis = 100
)

// quotas tracks the tokens that workspaces spend and enforces their limits:
// in every sliding window, at most the rate times the window plus one burst. It
// is not safe for concurrent use.
type quotas struct {
	// share is the fraction of each allowance that this broker or host may
	// spend. The fractions add up to at most 1 over the fleet.
	share     float64
	tolerance Tolerance
	accounts  map[string]*account
}

// account is the spending of one workspace in the last window.
type account struct {
	limit       bmrouting.Quota
	spent       []spending // ordered by time
	ownTokens   int        // spent by the hosts of this broker, or by this host
	fleetTokens int        // spent by all hosts, as recorded by an earlier broker
}

// used returns the tokens that count against this share of the allowance: its
// own spending and its fraction of the fleet's.
func (a *quotas) used(acc *account) float64 {
	return float64(acc.ownTokens) + float64(acc.fleetTokens)*a.share
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

// set replaces the limits. The spending of workspaces that keep a limit is kept.
func (a *quotas) set(workspaces []bmrouting.Workspace) {
	known := map[string]bool{}
	for _, w := range workspaces {
		if !w.Quota.Limited() {
			continue
		}
		known[w.Name] = true
		acc, ok := a.accounts[w.Name]
		if !ok {
			acc = &account{}
			a.accounts[w.Name] = acc
		}
		acc.limit = w.Quota
	}
	for name := range a.accounts {
		if !known[name] {
			delete(a.accounts, name)
		}
	}
}

// setShare sets the fraction of the allowances that may be spent.
func (a *quotas) setShare(share float64) {
	a.share = share
}

// windowLimit returns the tokens that a workspace may spend in a window, with
// the usable part of the tolerance.
func (a *quotas) windowLimit(acc *account) float64 {
	window := float64(a.tolerance.Window) / float64(basilmoor.Second)
	limit := acc.limit.Rate*window + acc.limit.Burst
	return (limit*(1+usableExcess*a.tolerance.Excess) + usableSlack*a.tolerance.Slack) * a.share
}

// assume records that every workspace has spent its whole limit evenly over the
// last window. A host that has just started does not know what it spent before,
// and if all hosts start at once, no host knows.
func (a *quotas) assume(now basilmoor.Millis) {
	for _, acc := range a.accounts {
		tokens := a.windowLimit(acc) * float64(spendingResolution) / float64(a.tolerance.Window)
		for age := a.tolerance.Window; age > 0; age -= spendingResolution {
			a.record(acc, spending{
				at:      now - age,
				tokens:  int(tokens),
				assumed: true,
			})
		}
	}
}

// expire removes the spending before the last window.
func (a *quotas) expire(now basilmoor.Millis, acc *account) {
	n := 0
	for n < len(acc.spent) && now-acc.spent[n].at >= a.tolerance.Window+spendingResolution {
		acc.add(acc.spent[n], -acc.spent[n].tokens)
		n++
	}
	acc.spent = acc.spent[n:]
}

// tryCharge charges tokens to a workspace if its limit permits. If not, wait is
// the time until it will. A request larger than the whole limit is admitted when
// nothing else was spent in the window.
func (a *quotas) tryCharge(now basilmoor.Millis, workspace string, tokens int) (wait basilmoor.Millis, ok bool) {
	acc, bounded := a.accounts[workspace]
	if !bounded || tokens == 0 {
		return 0, true
	}
	a.expire(now, acc)
	if used := a.used(acc); used > 0 && used+float64(tokens) > a.windowLimit(acc) {
		return a.wait(now, acc, tokens), false
	}
	a.record(acc, spending{
		at:     now,
		tokens: tokens,
	})
	return 0, true
}

// charge records tokens that were spent at a time in the last window, regardless
// of the limit. A negative number is a refund.
func (a *quotas) charge(at basilmoor.Millis, workspace string, tokens int) {
	if acc, bounded := a.accounts[workspace]; bounded {
		a.record(acc, spending{
			at:     at,
			tokens: tokens,
		})
	}
}

// record adds spending to an account, merged with that of the same interval and
// kind.
func (a *quotas) record(acc *account, s spending) {
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
func (a *quotas) wait(now basilmoor.Millis, acc *account, tokens int) basilmoor.Millis {
	excess := a.used(acc) + float64(tokens) - a.windowLimit(acc)
	for _, s := range acc.spent {
		if s.fleet {
			excess -= float64(s.tokens) * a.share
		} else {
			excess -= float64(s.tokens)
		}
		if excess <= 0 {
			return s.at + a.tolerance.Window + spendingResolution - now
		}
	}
	return a.tolerance.Window
}

// chargeFleet records tokens that all hosts together spent at a time in the last
// window.
func (a *quotas) chargeFleet(at basilmoor.Millis, workspace string, tokens int) {
	if acc, bounded := a.accounts[workspace]; bounded {
		a.record(acc, spending{
			at:     at,
			tokens: tokens,
			fleet:  true,
		})
	}
}

// forEach calls f with every spending of the last window.
func (a *quotas) forEach(now basilmoor.Millis, f func(workspace string, s spending)) {
	for name, acc := range a.accounts {
		a.expire(now, acc)
		for _, s := range acc.spent {
			f(name, s)
		}
	}
}
