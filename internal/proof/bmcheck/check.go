// Package bmcheck compares what callers were told with what targets ran.
//
// Invariants checked: a request and an idempotency key run at most once;
// nothing that was reported as not run has run; everything that was reported
// as done ran in full and its response was whole.
package bmcheck

import (
	"fmt"

	"basilmoor.example/basilmoor"
)

// Call is one request as its caller saw it.
type Call struct {
	Request basilmoor.RequestID
	Key     string // idempotency key; empty for none
	Tier    string
	Outcome basilmoor.Outcome // empty if the caller received no response
	Reason  basilmoor.Reason  // of a refusal

	// Replayed tells that the response was recorded by an earlier request
	// with the same key.
	Replayed bool

	// Whole tells that the response was complete and the caller's own.
	Whole bool

	// FirstByte is the time from sending to the first byte of a response.
	FirstByte basilmoor.Millis
}

// Execution is one run of a request on a target.
type Execution struct {
	Request  basilmoor.RequestID
	Key      string
	Complete bool
}

// Rule is an invariant of requests.
type Rule string

// Rules that Check applies.
const (
	RuleDispatchedOnce Rule = "dispatched-at-most-once"
	RuleKeyRunsOnce    Rule = "non-idempotent-runs-at-most-once"
	RuleNotRunIsTrue   Rule = "not-run-is-true"
	RuleDoneIsWhole    Rule = "done-is-whole"
)

// Rules returns all rules in the order of reports.
func Rules() []Rule {
	return []Rule{
		RuleDispatchedOnce,
		RuleKeyRunsOnce,
		RuleNotRunIsTrue,
		RuleDoneIsWhole,
	}
}

// Violation is one broken invariant.
type Violation struct {
	Rule   Rule   `json:"rule"`
	Detail string `json:"detail"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s", v.Rule, v.Detail)
}

// index counts executions.
type index struct {
	byRequest map[basilmoor.RequestID]int
	byKey     map[string]int
	complete  map[basilmoor.RequestID]bool
}

func newIndex(executions []Execution) index {
	x := index{
		byRequest: make(map[basilmoor.RequestID]int),
		byKey:     make(map[string]int),
		complete:  make(map[basilmoor.RequestID]bool),
	}
	for _, e := range executions {
		x.byRequest[e.Request]++
		if e.Key != "" {
			x.byKey[e.Key]++
		}
		if e.Complete {
			x.complete[e.Request] = true
		}
	}
	return x
}

// Check returns every violation. Executions are those of all targets.
func Check(calls []Call, executions []Execution) []Violation {
	x := newIndex(executions)
	var list []Violation
	add := func(r Rule, format string, args ...any) {
		list = append(list, Violation{
			Rule:   r,
			Detail: fmt.Sprintf(format, args...),
		})
	}
	for id, n := range x.byRequest {
		if n > 1 {
			add(RuleDispatchedOnce, "request %s ran %d times", id, n)
		}
	}
	for key, n := range x.byKey {
		if n > 1 {
			add(RuleKeyRunsOnce, "key %s ran %d times", key, n)
		}
	}
	for _, c := range calls {
		x.checkCall(c, add)
	}
	return list
}

func (x index) checkCall(c Call, add func(Rule, string, ...any)) {
	switch c.Outcome {
	case basilmoor.OutcomeNotRun:
		if x.byRequest[c.Request] > 0 {
			add(RuleNotRunIsTrue, "request %s was reported as not run (%s) and ran", c.Request, c.Reason)
		}
	case basilmoor.OutcomeDone:
		if !c.Whole {
			add(RuleDoneIsWhole, "request %s was reported as done without its whole response", c.Request)
		}
		if c.Replayed {
			if x.byKey[c.Key] == 0 {
				add(RuleDoneIsWhole, "key %s was reported as done and did not run", c.Key)
			}
			return
		}
		if !x.complete[c.Request] {
			add(RuleDoneIsWhole, "request %s was reported as done and did not run in full", c.Request)
		}
	}
}
