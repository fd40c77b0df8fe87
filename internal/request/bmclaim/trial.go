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
	// trialAnswers is the time in which a trial's store answers.
	trialAnswers = 3 * basilmoor.Millis(1)
	// trialService is the time from a grant to its record.
	trialService = 500 * basilmoor.Millis(1)
)

// Trial runs the owner of one slot in a single goroutine on a clock of its own.
// The slots share nothing, so that the whole fleet costs Slots times as much.
type Trial struct {
	Rate    float64          // claims a second, fleet-wide
	Burst   int              // claims of the slot that arrive together; at least 1
	Warm    basilmoor.Millis // time before the counts start
	Measure basilmoor.Millis // time that is counted
	Seed    uint64
}

// Result holds the counts of a Trial. Calls are those of all slots a second.
type Result struct {
	Appends, Deletes, Reads float64

	Claims int   // of the slot
	Bytes  int64 // of the slot's segments
	Waits  []basilmoor.Millis

	// Owner holds the claims that are live at the end.
	Owner *Committer
}

// Wait returns a percentile of the waiting time of claims.
func (r Result) Wait(percent int) basilmoor.Millis {
	if len(r.Waits) == 0 {
		return 0
	}
	return r.Waits[(len(r.Waits)-1)*percent/100]
}

// Run makes Poisson arrivals and records each claim after trialService.
func (t Trial) Run() (Result, error) {
	r := newTrialRun(t)
	if err := r.run(); err != nil {
		return Result{}, err
	}
	return r.result(), nil
}

type trialRun struct {
	Trial
	random *rand.Rand
	now    basilmoor.Millis
	store  *trialStore
	owner  *Committer
	slot   *slot

	at      float64 // next arrival
	n       int
	records []trialRecord // in the order of their instants
	trimAt  basilmoor.Millis
	claimed int
	waits   []basilmoor.Millis
}

type trialRecord struct {
	at    basilmoor.Millis
	entry entry
}

func newTrialRun(t Trial) *trialRun {
	r := &trialRun{
		Trial:  t,
		random: rand.New(rand.NewPCG(t.Seed, 1)),
		trimAt: trimPeriod,
	}
	r.store = &trialStore{
		run:     r,
		entries: make(map[string]basilmoor.Entry),
	}
	r.owner = newCommitter(Config{
		Clock: (*trialClock)(r),
		Store: r.store,
		Live:  func(string) bool { return true },
	})
	r.slot = r.owner.slots[0]
	r.arrive()
	return r
}

// arrive draws the next arrival.
func (r *trialRun) arrive() {
	r.at += r.random.ExpFloat64() * 1000 * Slots * float64(max(r.Burst, 1)) / r.Rate
}

func (r *trialRun) run() error {
	for r.now < r.Warm+r.Measure {
		next := min(basilmoor.Millis(r.at), r.trimAt)
		if len(r.records) > 0 {
			next = min(next, r.records[0].at)
		}
		if len(r.slot.queue) > 0 {
			next = min(next, r.slot.startAt())
		}
		r.now = max(r.now, next)
		if err := r.submit(); err != nil {
			return err
		}
		if len(r.slot.queue) > 0 && r.slot.startAt() <= r.now {
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

// submit queues what has arrived, also while the slot was committing.
func (r *trialRun) submit() error {
	for basilmoor.Millis(r.at) <= r.now {
		for range max(r.Burst, 1) {
			r.n++
			c := basilmoor.ClaimRequest{
				Workspace: "workspace-12345",
				Key:       fmt.Sprintf("6f1c2a9e-5b7d-4e39-8a40-%012d", r.n),
				Host:      "entry-123",
				Request:   basilmoor.RequestID(fmt.Sprintf("entry-123-1796356800000-%09d", r.n)),
			}
			if err := r.enqueue(claimOf(c), &c, basilmoor.Millis(r.at)); err != nil {
				return err
			}
		}
		r.arrive()
	}
	for len(r.records) > 0 && r.records[0].at <= r.now {
		if err := r.enqueue(r.records[0].entry, nil, r.records[0].at); err != nil {
			return err
		}
		r.records = r.records[1:]
	}
	return nil
}

func (r *trialRun) enqueue(e entry, c *basilmoor.ClaimRequest, at basilmoor.Millis) error {
	o, err := newOperation(context.Background(), e, c)
	if err != nil {
		return err
	}
	return r.slot.enqueue(o, at)
}

func (r *trialRun) commit() error {
	batch := r.slot.take()
	r.slot.commit(context.Background(), batch)
	for _, o := range batch {
		res := <-o.done
		if res.err != nil {
			return res.err
		}
		if o.claim != nil {
			r.granted(o)
		}
	}
	return nil
}

func (r *trialRun) granted(o *operation) {
	if r.counting() {
		r.claimed++
		r.waits = append(r.waits, r.now-o.arrived)
	}
	r.records = append(r.records, trialRecord{
		at: r.now + trialService,
		entry: recordOf(basilmoor.ClaimRecord{
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

func (r *trialRun) counting() bool { return r.now >= r.Warm }

func (r *trialRun) result() Result {
	r.store.entries = nil
	sort.Slice(r.waits, func(i, j int) bool { return r.waits[i] < r.waits[j] })
	rate := func(n int) float64 { return float64(n*Slots) / r.Measure.Duration().Seconds() }
	return Result{
		Appends: rate(r.store.appends),
		Deletes: rate(r.store.deletes),
		Reads:   rate(r.store.reads),
		Claims:  r.claimed,
		Bytes:   r.store.bytes,
		Waits:   r.waits,
		Owner:   r.owner,
	}
}

// trialClock passes the time of each sleep at once.
type trialClock trialRun

func (c *trialClock) Now() basilmoor.Millis { return c.now }

func (c *trialClock) Sleep(ctx context.Context, d basilmoor.Millis) error {
	c.now += d
	return ctx.Err()
}

func (c *trialClock) NewTimer(basilmoor.Millis) basilmoor.Timer {
	panic("a trial uses no timers")
}

// trialStore counts calls and lets trialAnswers pass in each. Calls that
// committers don't make panic.
type trialStore struct {
	basilmoor.Store
	run     *trialRun
	entries map[string]basilmoor.Entry

	appends, deletes, reads int
	bytes                   int64
}

func (s *trialStore) called(n *int) {
	if s.run.counting() {
		*n++
	}
	s.run.now += trialAnswers
}

func (s *trialStore) Get(_ context.Context, key string) (basilmoor.Entry, error) {
	s.called(&s.reads)
	e, ok := s.entries[key]
	if !ok {
		return e, &basilmoor.NotFoundError{
			Key: key,
		}
	}
	return e, nil
}

func (s *trialStore) List(_ context.Context, prefix string) ([]basilmoor.Entry, error) {
	s.called(&s.reads)
	var list []basilmoor.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, nil
}

func (s *trialStore) CompareAndSwap(_ context.Context, key string, version int64, value []byte, _ string) (basilmoor.Entry, error) {
	if s.run.counting() {
		s.bytes += int64(len(value))
	}
	s.called(&s.appends)
	if have := s.entries[key]; have.Version != version {
		return basilmoor.Entry{}, &basilmoor.ConflictError{
			Key:     key,
			Want:    version,
			Current: have,
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

func (s *trialStore) Delete(_ context.Context, key string, _ int64) error {
	s.called(&s.deletes)
	if _, ok := s.entries[key]; !ok {
		return &basilmoor.NotFoundError{
			Key: key,
		}
	}
	delete(s.entries, key)
	return nil
}
