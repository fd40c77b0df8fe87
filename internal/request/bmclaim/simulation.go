package bmclaim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"

	"basilmoor.example/basilmoor"
)

const (
	// simulatedStoreLatency is the simulated latency of each store call.
	simulatedStoreLatency = 3 * basilmoor.Millis(1)
	// simulatedServiceTime is the simulated time from a grant to its record.
	simulatedServiceTime = 500 * basilmoor.Millis(1)
)

// Simulation simulates the owner of one slot in a single goroutine with a
// simulated clock. The slots share no state, so the fleet-wide cost is Slots
// times that of the simulated slot.
type Simulation struct {
	Rate     float64          // claims per second, fleet-wide
	Burst    int              // claims that arrive together at the slot; values below 1 mean 1
	WarmUp   basilmoor.Millis // warm-up time, which is not measured
	Measured basilmoor.Millis // measured time after WarmUp
	Seed     uint64
}

// SimulationResult holds the measurements of a Simulation. Appends, Deletes and
// Reads are store calls per second, extrapolated to all slots.
type SimulationResult struct {
	Appends, Deletes, Reads float64

	Claims int   // claims of the simulated slot
	Bytes  int64 // bytes of the segments written by the slot
	Waits  []basilmoor.Millis

	// Owner is the committer, which holds the claims that are live at the end.
	Owner *Committer
}

// WaitPercentile returns a percentile of the waiting times of claims.
func (r SimulationResult) WaitPercentile(percent int) basilmoor.Millis {
	if len(r.Waits) == 0 {
		return 0
	}
	return r.Waits[(len(r.Waits)-1)*percent/100]
}

// Run simulates Poisson arrivals and records each claim simulatedServiceTime after
// its grant.
func (t Simulation) Run() (SimulationResult, error) {
	r := newSimulationRun(t)
	if err := r.run(); err != nil {
		return SimulationResult{}, err
	}
	return r.result(), nil
}

type simulationRun struct {
	Simulation
	random *rand.Rand
	now    basilmoor.Millis
	store  *simulatedStore
	owner  *Committer
	slot   *slot

	nextArrival    float64
	arrivals       int
	records        []scheduledRecord // ordered by time
	trimAt         basilmoor.Millis
	measuredClaims int
	waits          []basilmoor.Millis
}

type scheduledRecord struct {
	at    basilmoor.Millis
	entry entry
}

func newSimulationRun(t Simulation) *simulationRun {
	r := &simulationRun{
		Simulation: t,
		random:     rand.New(rand.NewPCG(t.Seed, 1)),
		trimAt:     trimPeriod,
	}
	r.store = &simulatedStore{
		run:     r,
		entries: make(map[string]basilmoor.Entry),
	}
	r.owner = newCommitter(Config{
		Clock: (*simulatedClock)(r),
		Store: r.store,
		Live:  func(string) bool { return true },
	})
	r.slot = r.owner.slots[0]
	r.scheduleArrival()
	return r
}

// scheduleArrival draws the time of the next arrival.
func (r *simulationRun) scheduleArrival() {
	r.nextArrival += r.random.ExpFloat64() * 1000 * Slots * float64(max(r.Burst, 1)) / r.Rate
}

func (r *simulationRun) run() error {
	for r.now < r.WarmUp+r.Measured {
		next := min(basilmoor.Millis(r.nextArrival), r.trimAt)
		if len(r.records) > 0 {
			next = min(next, r.records[0].at)
		}
		if len(r.slot.queue) > 0 {
			next = min(next, r.slot.nextBatchAt())
		}
		r.now = max(r.now, next)
		if err := r.enqueueDue(); err != nil {
			return err
		}
		if len(r.slot.queue) > 0 && r.slot.nextBatchAt() <= r.now {
			if err := r.commit(); err != nil {
				return err
			}
		}
		if r.trimAt <= r.now {
			r.trimAt += trimPeriod
			r.slot.trim(context.Background())
		}
	}
	return nil
}

// enqueueDue queues the claims and records that are due, including those that
// arrived while the slot was committing.
func (r *simulationRun) enqueueDue() error {
	for basilmoor.Millis(r.nextArrival) <= r.now {
		for range max(r.Burst, 1) {
			r.arrivals++
			c := basilmoor.ClaimRequest{
				Workspace: "workspace-12345",
				Key:       fmt.Sprintf("6f1c2a9e-5b7d-4e39-8a40-%012d", r.arrivals),
				Host:      "entry-123",
				Request:   basilmoor.RequestID(fmt.Sprintf("entry-123-1796356800000-%09d", r.arrivals)),
			}
			if err := r.enqueue(newClaimEntry(c), &c, basilmoor.Millis(r.nextArrival)); err != nil {
				return err
			}
		}
		r.scheduleArrival()
	}
	for len(r.records) > 0 && r.records[0].at <= r.now {
		if err := r.enqueue(r.records[0].entry, nil, r.records[0].at); err != nil {
			return err
		}
		r.records = r.records[1:]
	}
	return nil
}

func (r *simulationRun) enqueue(e entry, c *basilmoor.ClaimRequest, at basilmoor.Millis) error {
	o, err := newOperation(context.Background(), e, c)
	if err != nil {
		return err
	}
	return r.slot.enqueue(o, at)
}

func (r *simulationRun) commit() error {
	batch := r.slot.takeBatch()
	r.slot.commit(context.Background(), batch)
	for _, o := range batch {
		res := <-o.done
		if res.err != nil {
			return res.err
		}
		if o.claim != nil {
			r.onGranted(o)
		}
	}
	return nil
}

func (r *simulationRun) onGranted(o *operation) {
	if r.measuring() {
		r.measuredClaims++
		r.waits = append(r.waits, r.now-o.queuedAt)
	}
	r.records = append(r.records, scheduledRecord{
		at: r.now + simulatedServiceTime,
		entry: newRecordEntry(basilmoor.ClaimRecord{
			Workspace: o.claim.Workspace,
			Key:       o.claim.Key,
			Request:   o.claim.Request,
			State:     basilmoor.ClaimDone,
			Answer: &basilmoor.Answer{
				Status:      201,
				ContentType: "application/json",
				Body:        []byte(strings.Repeat("x", 200)),
			},
		}),
	})
}

func (r *simulationRun) measuring() bool { return r.now >= r.WarmUp }

func (r *simulationRun) result() SimulationResult {
	r.store.entries = nil
	sort.Slice(r.waits, func(i, j int) bool { return r.waits[i] < r.waits[j] })
	rate := func(n int) float64 { return float64(n*Slots) / r.Measured.Duration().Seconds() }
	return SimulationResult{
		Appends: rate(r.store.appends),
		Deletes: rate(r.store.deletes),
		Reads:   rate(r.store.reads),
		Claims:  r.measuredClaims,
		Bytes:   r.store.bytes,
		Waits:   r.waits,
		Owner:   r.owner,
	}
}

// simulatedClock advances the simulated time by the duration of each sleep.
type simulatedClock simulationRun

func (c *simulatedClock) Now() basilmoor.Millis { return c.now }

func (c *simulatedClock) Sleep(ctx context.Context, d basilmoor.Millis) error {
	c.now += d
	return ctx.Err()
}

func (c *simulatedClock) NewTimer(basilmoor.Millis) basilmoor.Timer {
	panic("simulatedClock has no timers")
}

// simulatedStore counts calls and advances the clock by simulatedStoreLatency
// in each. Store methods that committers don't call panic.
type simulatedStore struct {
	basilmoor.Store
	run     *simulationRun
	entries map[string]basilmoor.Entry

	appends, deletes, reads int
	bytes                   int64
}

func (s *simulatedStore) countCall(n *int) {
	if s.run.measuring() {
		*n++
	}
	s.run.now += simulatedStoreLatency
}

func (s *simulatedStore) Get(_ context.Context, key string) (basilmoor.Entry, error) {
	s.countCall(&s.reads)
	e, ok := s.entries[key]
	if !ok {
		return e, &basilmoor.NotFoundError{
			Key: key,
		}
	}
	return e, nil
}

func (s *simulatedStore) List(_ context.Context, prefix string) ([]basilmoor.Entry, error) {
	s.countCall(&s.reads)
	var list []basilmoor.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, nil
}

func (s *simulatedStore) CompareAndSwap(_ context.Context, key string, version int64, value []byte, _ string) (basilmoor.Entry, error) {
	if s.run.measuring() {
		s.bytes += int64(len(value))
	}
	s.countCall(&s.appends)
	if current := s.entries[key]; current.Version != version {
		return basilmoor.Entry{}, &basilmoor.ConflictError{
			Key:     key,
			Want:    version,
			Current: current,
		}
	}
	e := basilmoor.Entry{
		Key:     key,
		Value:   value,
		Version: version + 1,
	}
	s.entries[key] = e
	return e, nil
}

func (s *simulatedStore) Delete(_ context.Context, key string, _ int64) error {
	s.countCall(&s.deletes)
	if _, ok := s.entries[key]; !ok {
		return &basilmoor.NotFoundError{
			Key: key,
		}
	}
	delete(s.entries, key)
	return nil
}
