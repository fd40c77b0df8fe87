package bmscheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// plainPolicy hides the optional DropHost method of a policy.
type plainPolicy struct {
	basilmoor.Policy
}

// fakeSession records what a broker sends.
type fakeSession struct {
	grants   []basilmoor.RequestID
	refusals []basilmoor.RequestID
	ended    bool
}

func (s *fakeSession) deliver(d basilmoor.Decision) bool {
	if d.Grant != nil {
		s.grants = append(s.grants, d.Grant.Request)
	} else {
		s.refusals = append(s.refusals, d.Refusal.Request)
	}
	return true
}

func (s *fakeSession) sendKeepalive() {}

func (s *fakeSession) close() { s.ended = true }

// Guards against a dead host whose slots are never freed, and against slots that
// are freed on a disconnect shorter than silenceTimeout. Covers policies with
// and without DropHost.
func TestDeadHostFreesItsSlots(t *testing.T) {
	tests := map[string]func(p *fakePolicy) basilmoor.Policy{
		"policy drops hosts": func(p *fakePolicy) basilmoor.Policy { return p },
		"plain policy": func(p *fakePolicy) basilmoor.Policy {
			return plainPolicy{
				Policy: p,
			}
		},
	}
	for name, wrap := range tests {
		t.Run(name, func(t *testing.T) {
			policy := newFakePolicy()
			b := newBroker("models", wrap(policy), false, nil)
			b.setTargets(0, oneTarget(1).targets)
			s := &fakeSession{}
			b.attach(0, "host-a", "bole", s)
			b.submit(0, "host-a", s, demand("r1"))
			b.submit(0, "host-a", s, demand("r2"))
			b.observe(0, "host-a", s, basilmoor.Observation{
				Request: "r1",
				Stage:   basilmoor.StageDispatched,
			})
			b.detach(100, "host-a", s)
			b.tick(silenceTimeout - 1)
			waiting, running := policy.counts()
			require.Equal(t, []int{0, 1}, []int{waiting, running})
			b.tick(silenceTimeout)
			_, running = policy.counts()
			require.Zero(t, running)
			require.True(t, b.idle())
		})
	}
}

// Guards against a new broker that makes grants before all hosts have
// resubmitted their open dispatches, that defers demands for longer than
// recoveryTimeout (one second), or that grants an earlier demand of a lower tier
// first when recovery ends.
func TestNewBrokerDefersDemands(t *testing.T) {
	live := func() []string { return []string{"host-a", "host-b"} }
	low := demand("low")
	low.Tier = 2
	tests := map[string]struct {
		resubmitted bool
		now         basilmoor.Millis
		granted     bool
	}{
		"waits for the other host": {
			now: recoveryTimeout - 1,
		},
		"all have resubmitted": {
			resubmitted: true,
			now:         1,
			granted:     true,
		},
		"bound": {
			now:     recoveryTimeout,
			granted: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBroker("models", newFakePolicy(), true, live)
			b.setTargets(0, oneTarget(1).targets)
			a, c := &fakeSession{}, &fakeSession{}
			b.attach(0, "host-a", "bole", a)
			b.submit(0, "host-a", a, low)
			b.submit(0, "host-a", a, demand("high"))
			b.endResubmission(0, "host-a", a)
			if tt.resubmitted {
				b.attach(tt.now, "host-b", "bole", c)
				b.endResubmission(tt.now, "host-b", c)
			}
			b.tick(tt.now)
			if tt.granted {
				require.Equal(t, []basilmoor.RequestID{"high"}, a.grants)
			} else {
				require.Empty(t, a.grants)
			}
		})
	}
}

// Guards against hosts whose shares of a target exceed its slots because shares
// are rounded up, and against a host that gets no slots at all.
func TestLimitTargets(t *testing.T) {
	live := []basilmoor.Member{
		{
			Host:       "host-a",
			DataCentre: "bole",
			Region:     "addis",
		},
		{
			Host:       "host-b",
			DataCentre: "merkato",
			Region:     "addis",
		},
		{
			Host:       "host-c",
			DataCentre: "kinston",
			Region:     "carolina-east",
		},
	}
	target := func(name, dataCentre string, slots int) basilmoor.Target {
		return basilmoor.Target{
			Name:       name,
			DataCentre: dataCentre,
			Slots:      slots,
		}
	}
	tests := map[string]struct {
		self    basilmoor.Member
		targets []basilmoor.Target
		want    map[string]int
	}{
		"share rounds down": {
			self:    live[0],
			targets: []basilmoor.Target{target("t1", "merkato", 8)},
			want:    map[string]int{"t1": 2},
		},
		"one slot in the own data centre": {
			self:    live[0],
			targets: []basilmoor.Target{target("t1", "bole", 2), target("t2", "merkato", 2)},
			want:    map[string]int{"t1": 1},
		},
		"one slot in the own region": {
			self:    live[0],
			targets: []basilmoor.Target{target("t1", "kinston", 2), target("t2", "merkato", 2)},
			want:    map[string]int{"t2": 1},
		},
		"one slot anywhere": {
			self:    live[2],
			targets: []basilmoor.Target{target("t1", "bole", 2), target("t2", "merkato", 2)},
			want:    map[string]int{"t1": 1, "t2": 1},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := make(map[string]int)
			for _, l := range limitTargets(tt.targets, tt.self, live) {
				got[l.Name] = l.Slots
			}
			require.Equal(t, tt.want, got)
		})
	}
}
