package main

import (
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// streamEvents and eventTime are the length and the pace of the streams.
	streamEvents = 40
	eventTime    = 20 * time.Millisecond

	// spoiledPart is the number of answers of which a faulty replica spoils one: 2 in 100,
	// as garble does.
	spoiledPart = 50

	// soundEvents is the number of events before the bytes that are no answer.
	soundEvents = 5

	// overlapLimit is how long the replica before may still work on a request that goes on
	// at another one.
	overlapLimit = 400 * time.Millisecond
)

// caseResume sends streams that may be resumed to two replicas, of which one spoils 2 in
// 100 answers: after some events come bytes that are no answer, without end, until the
// caller closes the channel. The replica stops its work when its channel closes, or when
// the run would have ended.
func caseResume(e *env) (broken bool, err error) {
	var answers atomic.Int64
	spoils := func() bool {
		return e.trouble && answers.Add(1)%spoiledPart == spoiledPart/2
	}
	faulty, err := startReplica(e.store, e.rec, "i-7f3a91c2", "press", func(r *replica, c *channel, q request) bool {
		return serveStream(r, c, q, spoils())
	})
	if err != nil {
		return false, err
	}
	sound, err := startReplica(e.store, e.rec, "i-51d0e8b4", "press", func(r *replica, c *channel, q request) bool {
		return serveStream(r, c, q, false)
	})
	if err != nil {
		return false, err
	}
	e.store.put("op/config", desiredState(7, []route{{
		name: "r-6q5rmmv", prefix: "/lohu930/", kind: "streaming", service: "press",
		timeoutMs: 12000, latencyMs: 800, attempts: 2, resume: true,
	}}, map[string]bool{"press": true}))
	hosts, stop, err := e.startHosts(1)
	if err != nil {
		return false, err
	}
	defer stop()

	const clients, streams = 6, 120
	var left atomic.Int64
	left.Store(streams)
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				attempt := newAttempt()
				a, err := send(hosts[0].callers(), "POST", "/lohu930/2f", attempt, 12*time.Second, "prompt")
				e.rec.add("client: attempt %s gets status %d, %d events, error %v", attempt, a.status, strings.Count(a.body, "\n\n"), firstOf(err, a.err))
			}
		})
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	return reportOverlaps(e.rec, append(faulty.allRuns(), sound.allRuns()...)), nil
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// serveStream runs a stream from the event after Last-Event-Id. With spoil it sends bytes
// that are no answer after some events.
func serveStream(r *replica, c *channel, q request, spoil bool) bool {
	last := 0
	for _, d := range q.header.Get("Last-Event-Id") {
		last = 10*last + int(d-'0')
	}
	if _, err := io.WriteString(c, answerHead(r, q, "text/event-stream")); err != nil {
		return false
	}
	for id := last + 1; id <= streamEvents; id++ {
		select {
		case <-c.gone:
			r.rec.add("replica %s: the channel of attempt %s is closed", r.id, q.attempt())
			return false
		case <-time.After(eventTime):
		}
		if spoil && id > soundEvents {
			if id == soundEvents+1 {
				r.rec.add("replica %s: bytes that are no answer begin in attempt %s", r.id, q.attempt())
			}
			// The caller may not read them: the run goes on meanwhile.
			_ = c.SetWriteDeadline(time.Now().Add(eventTime))
			_, _ = io.WriteString(c, strings.Repeat("\x00\xfe", 2<<10))
			continue
		}
		if _, err := io.WriteString(c, chunk(event(q.attempt(), id))); err != nil {
			return false
		}
	}
	if spoil {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// reportOverlaps records the requests that went on at another replica while the one
// before still worked on them for longer than the limit, and reports whether there were
// any.
func reportOverlaps(rec *record, runs []run) bool {
	broken := false
	for _, first := range runs {
		for _, second := range runs {
			if first.replica == second.replica || first.request.attempt() != second.request.attempt() || !first.began.Before(second.began) {
				continue
			}
			overlap := first.ended.Sub(second.began)
			rec.add("attempt %s went on at %s; %s worked on it for another %d ms", first.request.attempt(), second.replica, first.replica, overlap.Milliseconds())
			if overlap > overlapLimit {
				broken = true
			}
		}
	}
	return broken
}
