package bmrequest

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
)

// Checks random sequences of transitions: no dispatch after the first byte was
// written, no outcome not-run if a byte may have been written and the target did
// not refuse the request, no transition out of a final state, and a
// TransitionError for each rejected transition.
func TestRandomTransitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New("r")
		attempt := 0
		writeOpen := false // a write has begun and not ended
		sent := 0          // bytes written to connections
		refusedByTarget := false
		steps := map[string]func() error{
			"wait":  r.Wait,
			"grant": func() error { return r.Grant("t") },
			"dispatch": func() error {
				n, err := r.Dispatch()
				if err == nil {
					require.Zero(t, sent, "dispatched again after bytes were written")
					attempt = n
				}
				return err
			},
			"begin": func() error {
				err := r.BeginWrite(rapid.IntRange(attempt-1, attempt).Draw(t, "attempt"))
				writeOpen = writeOpen || err == nil
				return err
			},
			"end": func() error {
				if writeOpen {
					n := rapid.IntRange(0, 2).Draw(t, "n")
					sent += n
					writeOpen = false
					r.EndWrite(n)
				}
				return nil
			},
			"respond":  r.Respond,
			"complete": r.Complete,
			"refuse":   func() error { return r.Refuse(basilmoor.ReasonNoTarget) },
			"target-refused": func() error {
				err := r.TargetRefused()
				refusedByTarget = refusedByTarget || err == nil
				return err
			},
			"break": func() error { return r.Fail(basilmoor.ReasonTargetFailed) },
		}
		names := []string{"wait", "grant", "dispatch", "begin", "end", "respond", "complete", "refuse", "target-refused", "break"}
		for range rapid.IntRange(1, 40).Draw(t, "length") {
			before := r.State()
			name := rapid.SampledFrom(names).Draw(t, "step")
			err := steps[name]()
			var illegal *TransitionError
			if err != nil {
				require.True(t, errors.As(err, &illegal))
				require.Equal(t, before, r.State(), "a rejected transition changed the state")
			}
			if before.Final() {
				require.Equal(t, before, r.State())
			}
			if r.Outcome() == basilmoor.OutcomeNotRun {
				require.True(t, refusedByTarget || (sent == 0 && !writeOpen), "outcome not-run although bytes may have been written")
			}
			if r.Outcome() == basilmoor.OutcomeDone {
				require.Equal(t, Done, r.State())
			}
		}
	})
}

// Checks the outcome of each state: a request whose first byte was sent is
// reported as not run only if the target refused it.
func TestOutcomeInEachState(t *testing.T) {
	sendFirstByte := func(r *Request) {
		_ = r.Wait()
		_ = r.Grant("t")
		n, _ := r.Dispatch()
		_ = r.BeginWrite(n)
		r.EndWrite(1)
	}
	tests := map[string]struct {
		steps   func(r *Request)
		state   State
		outcome basilmoor.Outcome
	}{
		"received": {
			steps:   func(*Request) {},
			state:   Received,
			outcome: basilmoor.OutcomeNotRun,
		},
		"waiting": {
			steps:   func(r *Request) { _ = r.Wait() },
			state:   Waiting,
			outcome: basilmoor.OutcomeNotRun,
		},
		"granted": {
			steps:   func(r *Request) { _ = r.Wait(); _ = r.Grant("t") },
			state:   Granted,
			outcome: basilmoor.OutcomeNotRun,
		},
		"connecting": {
			steps:   func(r *Request) { _ = r.Wait(); _ = r.Grant("t"); _, _ = r.Dispatch() },
			state:   Dispatching,
			outcome: basilmoor.OutcomeNotRun,
		},
		"sent": {
			steps:   sendFirstByte,
			state:   Dispatching,
			outcome: basilmoor.OutcomeUnknown,
		},
		"streaming": {
			steps:   func(r *Request) { sendFirstByte(r); _ = r.Respond() },
			state:   Streaming,
			outcome: basilmoor.OutcomeIncomplete,
		},
		"done": {
			steps:   func(r *Request) { sendFirstByte(r); _ = r.Respond(); _ = r.Complete() },
			state:   Done,
			outcome: basilmoor.OutcomeDone,
		},
		"unknown": {
			steps:   func(r *Request) { sendFirstByte(r); _ = r.Fail("x") },
			state:   Unknown,
			outcome: basilmoor.OutcomeUnknown,
		},
		"incomplete": {
			steps:   func(r *Request) { sendFirstByte(r); _ = r.Respond(); _ = r.Fail("x") },
			state:   Incomplete,
			outcome: basilmoor.OutcomeIncomplete,
		},
		"refused": {
			steps:   func(r *Request) { _ = r.Wait(); _ = r.Refuse("x") },
			state:   NotRun,
			outcome: basilmoor.OutcomeNotRun,
		},
		"refused by target": {
			steps:   func(r *Request) { sendFirstByte(r); _ = r.TargetRefused() },
			state:   NotRun,
			outcome: basilmoor.OutcomeNotRun,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := New("r")
			tt.steps(r)
			require.Equal(t, tt.state, r.State())
			require.Equal(t, tt.outcome, r.Outcome())
		})
	}
}
