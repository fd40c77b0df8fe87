package bmcheck

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// Guards against a checker that accepts everything: at least one case violates
// each rule.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		call       Call
		executions []Execution
		want       []Rule
	}{
		"done": {
			call: Call{
				Request: "r",
				Outcome: basilmoor.OutcomeDone,
				Whole:   true,
			},
			executions: runs("r", "", true),
		},
		"not run": {
			call: Call{
				Request: "r",
				Outcome: basilmoor.OutcomeNotRun,
			},
		},
		"unknown may have run": {
			call: Call{
				Request: "r",
				Outcome: basilmoor.OutcomeUnknown,
			},
			executions: runs("r", "", false),
		},
		"replayed": {
			call: Call{
				Request:  "second",
				Key:      "k",
				Outcome:  basilmoor.OutcomeDone,
				Replayed: true,
				Whole:    true,
			},
			executions: runs("r", "k", true),
		},
		"replayed without a run": {
			call: Call{
				Request:  "second",
				Key:      "k",
				Outcome:  basilmoor.OutcomeDone,
				Replayed: true,
				Whole:    true,
			},
			want: []Rule{RuleDoneIsWhole},
		},
		"dispatched twice": {
			call: Call{
				Request: "r",
				Outcome: basilmoor.OutcomeDone,
				Whole:   true,
			},
			executions: append(runs("r", "", true), runs("r", "", true)...),
			want:       []Rule{RuleDispatchedOnce},
		},
		"key ran twice": {
			call: Call{
				Request: "r",
				Key:     "k",
				Outcome: basilmoor.OutcomeDone,
				Whole:   true,
			},
			executions: append(runs("r", "k", true), runs("s", "k", true)...),
			want:       []Rule{RuleKeyRunsOnce},
		},
		"not run but ran": {
			call: Call{
				Request: "r",
				Outcome: basilmoor.OutcomeNotRun,
			},
			executions: runs("r", "", false),
			want:       []Rule{RuleNotRunIsTrue},
		},
		"done but truncated": {
			call: Call{
				Request: "r",
				Outcome: basilmoor.OutcomeDone,
			},
			executions: runs("r", "", true),
			want:       []Rule{RuleDoneIsWhole},
		},
		"done but interrupted on the target": {
			call: Call{
				Request: "r",
				Outcome: basilmoor.OutcomeDone,
				Whole:   true,
			},
			executions: runs("r", "", false),
			want:       []Rule{RuleDoneIsWhole},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []Rule
			for _, v := range Check([]Call{tt.call}, tt.executions) {
				got = append(got, v.Rule)
			}
			require.Equal(t, tt.want, got)
		})
	}
}

func runs(request basilmoor.RequestID, key string, complete bool) []Execution {
	return []Execution{
		{
			Request:  request,
			Key:      key,
			Complete: complete,
		},
	}
}
