package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// overlap is how long two runs of one request may overlap, as the rule TWICE says.
	overlap = 400 * time.Millisecond

	streams   = 300
	streamGap = 40 * time.Millisecond

	// The dose of garble: half of the replicas spoil one in 20 of their answers, for 5 s.
	spoilShare = 0.5
	spoilEvery = 20
	spoilFrom  = 4 * time.Second
	spoilFor   = 5 * time.Second
	spoilEvent = 5 // the last event before the answer is spoiled
)

// engines returns replicas of the engine service.
func engines(rec *record, count, events int, interval time.Duration) ([]*replica, error) {
	var replicas []*replica
	for n := range count {
		r, err := newReplica(fmt.Sprintf("i-engine%02d", n), "engines", 6, rec)
		if err != nil {
			return nil, err
		}
		r.events = events
		r.interval = interval
		replicas = append(replicas, r)
	}
	return replicas, nil
}

// spoiler decides which answers of the replicas in trouble are spoiled.
type spoiler struct {
	mu      sync.Mutex
	from    time.Time
	until   time.Time
	answers int
}

// spoils counts an answer, and reports whether it is spoiled: one in the middle of each
// spoilEvery answers of that time.
func (s *spoiler) spoils() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Before(s.from) || now.After(s.until) {
		return false
	}
	s.answers++
	return s.answers%spoilEvery == spoilEvery/2
}

// playSpoiledStream sends streams that may be resumed. Some replicas spoil a few of their
// answers: from the sixth event on they send bytes that are no answer, until the caller
// closes the channel. A request must not go on at another replica while the one before
// still works on it 400 ms later.
func playSpoiledStream(rec *record, root, dir string, trouble bool) (bool, error) {
	replicas, err := engines(rec, 18, 40, 50*time.Millisecond)
	if err != nil {
		return false, err
	}
	s := &spoiler{}
	if trouble {
		for _, r := range replicas[:int(spoilShare*float64(len(replicas)))] {
			r.spoiler = s
		}
	}
	state := desiredState(10, 0, 0, route("review", engineHost, "/lohu930/", "streaming", "engines", 12000, 800, 2, true))
	d, err := newDeployment(rec, root, dir, 2, state, replicas...)
	defer d.close()
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	s.from = time.Now().Add(spoilFrom)
	s.until = s.from.Add(spoilFor)
	s.mu.Unlock()
	whole := 0
	var mu sync.Mutex
	var done sync.WaitGroup
	for n := range streams {
		done.Add(1)
		go func() {
			defer done.Done()
			attempt := fmt.Sprintf("stream%04d", n)
			e := d.entries[n%len(d.entries)]
			req := request("POST", engineHost, "/lohu930/2f", attempt, key, "1060,120", "prompt of "+attempt, 12*time.Second)
			a := send(rec, e.frontend, req, attempt, 13*time.Second)
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 && a.complete && a.body == wholeStream(attempt, replicas[0].events) {
				whole++
			}
		}()
		time.Sleep(streamGap)
	}
	done.Wait()
	time.Sleep(500 * time.Millisecond)
	rec.line("check  %d of %d streams came whole", whole, streams)
	if whole == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return overlapping(rec, replicas), nil
}

// overlapping reports whether a request went on at a replica while another one that had
// begun before still worked on it 400 ms later.
func overlapping(rec *record, replicas []*replica) bool {
	var all []run
	for _, r := range replicas {
		all = append(all, r.all()...)
	}
	broken := 0
	for _, first := range all {
		for _, next := range all {
			if first.attempt != next.attempt || first.replica == next.replica || next.began <= first.began {
				continue
			}
			end := first.ended
			if end == 0 {
				end = rec.now()
			}
			if beside := end - next.began; beside > overlap {
				broken++
				rec.line("broken %s goes on at %s at %.3f s, and %s works on it until %.3f s, %d ms later", next.attempt, next.replica, next.began.Seconds(), first.replica, end.Seconds(), beside.Milliseconds())
			}
		}
	}
	rec.line("check  %d runs, %d requests went on at another replica beside a run that lasted over 400 ms more", len(all), broken)
	return broken > 0
}
