package bmrequest

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
)

// Guards against a second dispatch after the first byte was handed over, a
// false not-run, a state that leaves a final one, and an untyped error.
func TestRandomTransitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New("r")
		attempt := 0
		open := false // a write is in progress
		sent := 0     // bytes handed to connections
		stated := false
		steps := map[string]func() error{
			"wait":  r.Wait,
			"grant": func() error { return r.Grant("t") },
			"dispatch": func() error {
				n, err := r.Dispatch()
				if err == nil {
					require.Zero(t, sent, "dispatched again after bytes were handed over")
					attempt = n
				}
				return err
			},
			"begin": func() error {
				err := r.BeginWrite(rapid.IntRange(attempt-1, attempt).Draw(t, "attempt"))
				open = open || err == nil
				return err
			},
			"end": func() error {
				if open {
					n := rapid.IntRange(0, 2).Draw(t, "n")
					sent += n
					open = false
					r.EndWrite(n)
				}
				return nil
			},
			"respond":  r.Respond,
			"complete": r.Complete,
			"refuse":   func() error { return r.Refuse(basilmoor.ReasonNoTarget) },
			"target-refused": func() error {
				err := r.TargetRefused()
				stated = stated || err == nil
				return err
			},
			"break": func() error { return r.Break(basilmoor.ReasonTargetFailed) },
		}
		names := []string{"wait", "grant", "dispatch", "begin", "end", "respond", "complete", "refuse", "target-refused", "break"}
		for range rapid.IntRange(1, 40).Draw(t, "length") {
			before := r.State()
			name := rapid.SampledFrom(names).Draw(t, "step")
			err := steps[name]()
			var illegal *TransitionError
			if err != nil {
				require.True(t, errors.As(err, &illegal))
				require.Equal(t, before, r.State(), "a refused transition changed the state")
			}
			if before.Final() {
				require.Equal(t, before, r.State())
			}
			if r.Outcome() == basilmoor.OutcomeNotRun {
				require.True(t, stated || (sent == 0 && !open), "not-run after bytes were handed over")
			}
			if r.Outcome() == basilmoor.OutcomeDone {
				require.Equal(t, Done, r.State())
			}
		}
	})
}

// Guards against an outcome that claims more than is known.
func TestOutcomeInEachState(t *testing.T) {
	handed := func(r *Request) {
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
			steps:   handed,
			state:   Dispatching,
			outcome: basilmoor.OutcomeUnknown,
		},
		"streaming": {
			steps:   func(r *Request) { handed(r); _ = r.Respond() },
			state:   Streaming,
			outcome: basilmoor.OutcomeIncomplete,
		},
		"done": {
			steps:   func(r *Request) { handed(r); _ = r.Respond(); _ = r.Complete() },
			state:   Done,
			outcome: basilmoor.OutcomeDone,
		},
		"unknown": {
			steps:   func(r *Request) { handed(r); _ = r.Break("x") },
			state:   Unknown,
			outcome: basilmoor.OutcomeUnknown,
		},
		"incomplete": {
			steps:   func(r *Request) { handed(r); _ = r.Respond(); _ = r.Break("x") },
			state:   Incomplete,
			outcome: basilmoor.OutcomeIncomplete,
		},
		"refused": {
			steps:   func(r *Request) { _ = r.Wait(); _ = r.Refuse("x") },
			state:   NotRun,
			outcome: basilmoor.OutcomeNotRun,
		},
		"stated": {
			steps:   func(r *Request) { handed(r); _ = r.TargetRefused() },
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
