package bmgrant

import (
	"slices"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
)

// Tolerance says over which window an allowance binds, and what the agreement
// with the workspaces allows over it, so that no host has to refuse a request
// that is within it: Excess is a share of what the window allows, Slack a
// number of tokens.
type Tolerance struct {
	Window basilmoor.Millis
	Excess float64
	Slack  float64
}

const (
	// excessUsed and slackUsed are the parts of the tolerance that are spent.
	// The rest covers the time until a change of the broker or of a limit is
	// known everywhere.
	excessUsed = 0.5
	slackUsed  = 0.5

	// spendingStep is the resolution of the record of what was spent.
	spendingStep basilmoor.Millis = 100
)

// allowances record what workspaces spend, and bound it in every sliding
// window: rate times window, and the burst once. They are not safe for
// concurrent use.
type allowances struct {
	// share is the part of each allowance that this holder may spend; the
	// parts of all holders add up to at most 1.
	share     float64
	tolerance Tolerance
	accounts  map[string]*account
}

// account is the spending of one workspace in the last window.
type account struct {
	limit bmrouting.Allowance
	spent []spending // by time
	sum   int        // of what this holder's hosts spent
	fleet int        // of what all hosts spent, whoever holds them now
}

// used is what counts against this holder's part of the allowance.
func (a *allowances) used(acc *account) float64 {
	return float64(acc.sum) + float64(acc.fleet)*a.share
}

func (acc *account) add(s spending, tokens int) {
	if s.fleet {
		acc.fleet += tokens
		return
	}
	acc.sum += tokens
}

// spending is what was spent in the step that began at an instant.
type spending struct {
	at      basilmoor.Millis
	tokens  int
	assumed bool // nobody knows whether it was spent
	fleet   bool // by all hosts
}

func newAllowances(t Tolerance) *allowances {
	return &allowances{
		share:     1,
		tolerance: t,
		accounts:  map[string]*account{},
	}
}

// set replaces the limits.
func (a *allowances) set(workspaces []bmrouting.Workspace) {
	known := map[string]bool{}
	for _, w := range workspaces {
		if !w.Allowance.Bounded() {
			continue
		}
		known[w.Name] = true
		acc, ok := a.accounts[w.Name]
		if !ok {
			acc = &account{}
			a.accounts[w.Name] = acc
		}
		acc.limit = w.Allowance
	}
	for name := range a.accounts {
		if !known[name] {
			delete(a.accounts, name)
		}
	}
}

// setShare changes the part of the allowances that may be spent.
func (a *allowances) setShare(share float64) {
	a.share = share
}

// bound is what a workspace may spend in a window.
func (a *allowances) bound(acc *account) float64 {
	window := float64(a.tolerance.Window) / float64(basilmoor.Second)
	limit := acc.limit.TokensPerSecond*window + acc.limit.Burst
	return (limit*(1+excessUsed*a.tolerance.Excess) + slackUsed*a.tolerance.Slack) * a.share
}

// assume records that every workspace has spent, evenly over the last window,
// all that it may. A host that has just started does not know what it spent
// before; if all hosts start at once, nobody does.
func (a *allowances) assume(now basilmoor.Millis) {
	for _, acc := range a.accounts {
		tokens := a.bound(acc) * float64(spendingStep) / float64(a.tolerance.Window)
		for age := a.tolerance.Window; age > 0; age -= spendingStep {
			a.record(acc, spending{
				at:      now - age,
				tokens:  int(tokens),
				assumed: true,
			})
		}
	}
}

// expire forgets what was spent before the last window.
func (a *allowances) expire(now basilmoor.Millis, acc *account) {
	n := 0
	for n < len(acc.spent) && now-acc.spent[n].at >= a.tolerance.Window+spendingStep {
		acc.add(acc.spent[n], -acc.spent[n].tokens)
		n++
	}
	acc.spent = acc.spent[n:]
}

// take spends tokens if the workspace has as many left. If it has not, wait is
// the time until it will have. A request larger than the bound is served when
// nothing else was spent.
func (a *allowances) take(now basilmoor.Millis, workspace string, tokens int) (wait basilmoor.Millis, ok bool) {
	acc, bounded := a.accounts[workspace]
	if !bounded || tokens == 0 {
		return 0, true
	}
	a.expire(now, acc)
	if used := a.used(acc); used > 0 && used+float64(tokens) > a.bound(acc) {
		return a.wait(now, acc, tokens), false
	}
	a.record(acc, spending{
		at:     now,
		tokens: tokens,
	})
	return 0, true
}

// spend records tokens that were spent at an instant of the last window,
// whatever is left; a negative number gives them back.
func (a *allowances) spend(at basilmoor.Millis, workspace string, tokens int) {
	if acc, bounded := a.accounts[workspace]; bounded {
		a.record(acc, spending{
			at:     at,
			tokens: tokens,
		})
	}
}

func (a *allowances) record(acc *account, s spending) {
	s.at -= s.at % spendingStep
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

// wait is the time until so much was forgotten that tokens are left.
func (a *allowances) wait(now basilmoor.Millis, acc *account, tokens int) basilmoor.Millis {
	excess := a.used(acc) + float64(tokens) - a.bound(acc)
	for _, s := range acc.spent {
		if s.fleet {
			excess -= float64(s.tokens) * a.share
		} else {
			excess -= float64(s.tokens)
		}
		if excess <= 0 {
			return s.at + a.tolerance.Window + spendingStep - now
		}
	}
	return a.tolerance.Window
}

// load records what all hosts had spent at an instant of the last window.
func (a *allowances) load(at basilmoor.Millis, workspace string, tokens int) {
	if acc, bounded := a.accounts[workspace]; bounded {
		a.record(acc, spending{
			at:     at,
			tokens: tokens,
			fleet:  true,
		})
	}
}

// each calls f with every record of the last window.
func (a *allowances) each(now basilmoor.Millis, f func(workspace string, s spending)) {
	for name, acc := range a.accounts {
		a.expire(now, acc)
		for _, s := range acc.spent {
			f(name, s)
		}
	}
}
