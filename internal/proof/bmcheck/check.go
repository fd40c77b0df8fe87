// Package bmcheck compares the outcomes that callers received with the
// executions that targets recorded.
//
// It checks that each request and each idempotency key runs at most once, that
// no request reported as not run was executed, and that each request reported
// as done ran to completion and returned its whole response.
package bmcheck

import (
	"fmt"

	"basilmoor.example/basilmoor"
)

// Call holds the outcome of one request as its caller received it.
type Call struct {
	Request basilmoor.RequestID
	Key     string // idempotency key; empty for none
	Tier    string
	Outcome basilmoor.Outcome // empty if the caller received no response
	Reason  basilmoor.Reason  // set if the request was refused

	// Replayed reports whether the response was recorded by an earlier request
	// with the same key.
	Replayed bool

	// Whole reports whether the response was complete and belongs to this
	// request.
	Whole bool

	// FirstByte is the time from sending the request to the first byte of the
	// response.
	FirstByte basilmoor.Millis
}

// Execution is one run of a request on a target, as the target recorded it.
type Execution struct {
	Request  basilmoor.RequestID
	Key      string
	Complete bool
}

// Rule names an invariant that Check verifies.
type Rule string

// Rules verified by Check.
const (
	RuleDispatchedOnce Rule = "dispatched-at-most-once"
	RuleKeyRunsOnce    Rule = "non-idempotent-runs-at-most-once"
	RuleNotRunIsTrue   Rule = "not-run-is-true"
	RuleDoneIsWhole    Rule = "done-is-whole"
)

// Rules returns all rules in the order in which reports list them.
func Rules() []Rule {
	return []Rule{
		RuleDispatchedOnce,
		RuleKeyRunsOnce,
		RuleNotRunIsTrue,
		RuleDoneIsWhole,
	}
}

// Violation describes one broken invariant.
type Violation struct {
	Rule   Rule   `json:"rule"`
	Detail string `json:"detail"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s", v.Rule, v.Detail)
}

// index counts executions by request and by key, and holds the requests that
// ran to completion.
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

// Check returns all violations. The executions must include those of every
// target, or runs are missed.
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
