package bmview

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmrollout"
)

// Guards against a rollout that goes back: to an older order, or from a decision to the
// state before it, and against the same order, written again after the store came back
// from a copy, that starts a second rollout.
func TestRolloutsNeverGoBack(t *testing.T) {
	type step struct {
		era      int64
		revision int64
		version  string          // of an order, if any
		state    bmrollout.State // of a status of v2, if any
	}
	tests := map[string]struct {
		steps        []step
		wantOrder    basilmoor.Position
		wantVersion  string
		wantState    bmrollout.State
		wantLearning basilmoor.Millis // index of the step in which the order was learned
	}{
		"an order":           {steps: []step{{era: 1, revision: 5, version: "v2"}}, wantOrder: basilmoor.Position{Era: 1, Revision: 5}, wantVersion: "v2", wantState: bmrollout.StateServing},
		"a status before it": {steps: []step{{era: 1, revision: 4, state: bmrollout.StateCompleted}, {era: 1, revision: 5, version: "v2"}}, wantOrder: basilmoor.Position{Era: 1, Revision: 5}, wantVersion: "v2", wantState: bmrollout.StateServing, wantLearning: 1},
		"decided":            {steps: []step{{era: 1, revision: 5, version: "v2"}, {era: 1, revision: 9, state: bmrollout.StateRolledBack}}, wantOrder: basilmoor.Position{Era: 1, Revision: 5}, wantVersion: "v2", wantState: bmrollout.StateRolledBack},
		"ordered again":      {steps: []step{{era: 1, revision: 5, version: "v2"}, {era: 1, revision: 9, state: bmrollout.StateRolledBack}, {era: 1, revision: 12, version: "v2"}}, wantOrder: basilmoor.Position{Era: 1, Revision: 12}, wantVersion: "v2", wantState: bmrollout.StateServing, wantLearning: 2},
		"an older status":    {steps: []step{{era: 1, revision: 5, version: "v2"}, {era: 1, revision: 9, state: bmrollout.StateRolledBack}, {era: 1, revision: 6, state: bmrollout.StateServing}}, wantOrder: basilmoor.Position{Era: 1, Revision: 5}, wantVersion: "v2", wantState: bmrollout.StateRolledBack},
		"an older order":     {steps: []step{{era: 1, revision: 5, version: "v2"}, {era: 1, revision: 3, version: "v3"}}, wantOrder: basilmoor.Position{Era: 1, Revision: 5}, wantVersion: "v2", wantState: bmrollout.StateServing},
		"written again after a restoration": {
			steps:       []step{{era: 1, revision: 5, version: "v2"}, {era: 1, revision: 9, state: bmrollout.StateCompleted}, {era: 2, revision: 4, version: "v2"}},
			wantOrder:   basilmoor.Position{Era: 1, Revision: 5},
			wantVersion: "v2",
			wantState:   bmrollout.StateCompleted,
		},
		"another one after a restoration": {
			steps:        []step{{era: 1, revision: 5, version: "v2"}, {era: 2, revision: 4, version: "v3"}},
			wantOrder:    basilmoor.Position{Era: 2, Revision: 4},
			wantVersion:  "v3",
			wantState:    bmrollout.StateServing,
			wantLearning: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newState()
			for i, step := range tt.steps {
				at := basilmoor.Position{
					Revision: step.revision,
				}
				c := Changes{
					Orders:   map[string]bmrollout.Order{},
					Statuses: map[string]bmrollout.Status{},
				}
				if step.version != "" {
					c.Orders["p"] = bmrollout.Order{
						Pool:     "p",
						Version:  step.version,
						Duration: 12_000,
						At:       at,
					}
				}
				if step.state != "" {
					c.Statuses["p"] = bmrollout.Status{
						Pool:    "p",
						Version: "v2",
						State:   step.state,
						At:      at,
					}
				}
				s.applyRollouts(c, step.era, basilmoor.Millis(i))
			}
			r, ordered := s.view().Rollout("p")
			require.True(t, ordered)
			require.Equal(t, tt.wantOrder, r.Order.At)
			require.Equal(t, tt.wantVersion, r.Order.Version)
			require.Equal(t, tt.wantState, r.State())
			require.Equal(t, tt.wantLearning, r.LearnedAt)
		})
	}
}
