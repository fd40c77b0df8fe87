package bmdispatch

import (
	"context"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
)

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nEngine-Stream-Id: s/1\r\nConnection: close\r\n\r\n"

var offsetOf = regexp.MustCompile(`^GET /v1/streams/s%2F1\?offset=(\d+) `)

// streamFrom answers a dispatch or a resumption with the events from the
// asked offset on, cut after the given number of bytes.
func streamFrom(events []string, head string, cut int) step {
	offset := 0
	if m := offsetOf.FindStringSubmatch(head); m != nil {
		offset, _ = strconv.Atoi(m[1])
	}
	body := strings.Join(events[min(offset, len(events)):], "") + "data: [DONE]\n\n"
	return step{
		send: streamHead + body[:min(max(cut, 0), len(body))],
	}
}

func chatRequest() Request {
	return Request{
		Method: "POST",
		URI:    "/v1/chat/completions",
		Body:   []byte("body"),
	}
}

// Guards against events that are lost or doubled by a resumption, a stream
// that is dispatched again, and a false done.
func TestResumedStreamIsExact(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var events []string
		for i := range rapid.IntRange(0, 12).Draw(rt, "events") {
			end := rapid.SampledFrom([]string{"\n\n", "\r\n\r\n", "\nid: 1\n\n"}).Draw(rt, "end")
			events = append(events, fmt.Sprintf("data: {\"t\":%d}%s", i, end))
		}
		size := len(strings.Join(events, "")) + len("data: [DONE]\n\n")
		cuts := rapid.SliceOfN(rapid.IntRange(0, size), 1, 5).Draw(rt, "cuts")
		heads := make(chan string, 10)
		target := newRawTarget(t, func(_ *rawTarget, head string) step {
			if head == "" {
				return step{}
			}
			n := len(heads)
			heads <- head
			if n >= len(cuts) {
				return streamFrom(events, head, size)
			}
			return streamFrom(events, head, cuts[n])
		})
		s := DefaultSettings()
		s.ResumeDelay = 0
		d, closeDispatcher := New(newManual(), s)
		defer closeDispatcher()
		sink := &memorySink{}
		a := granted(t, "r")
		result := d.Do(context.Background(), a, target.target(basilmoor.EngineTarget), chatRequest(), sink, noProgress)

		require.Equal(t, 1, target.count("POST "), "dispatched again")
		require.LessOrEqual(t, target.count("GET "), s.ResumeAttempts)
		whole := strings.Join(events, "") + "data: [DONE]\n\n"
		if result.Outcome == basilmoor.OutcomeDone {
			require.Equal(t, whole, sink.body.String())
			require.Equal(t, len(events), result.Tokens)
			return
		}
		require.Equal(t, basilmoor.OutcomeIncomplete, result.Outcome)
		require.True(t, result.Lost)
		require.True(t, strings.HasPrefix(whole, sink.body.String()))
		require.NotContains(t, sink.body.String(), "[DONE]")
		require.Greater(t, len(cuts), s.ResumeAttempts, "the resumptions were not used up")
	})
}

// Guards against a resumption where there is nothing to resume, and against an
// end without [DONE] that is taken for complete.
func TestStreamNotResumed(t *testing.T) {
	tests := map[string]struct {
		kind   basilmoor.TargetType
		head   string
		resume string
		gets   int
	}{
		"stream is gone": {
			kind:   basilmoor.EngineTarget,
			head:   streamHead,
			resume: "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n",
			gets:   1,
		},
		"resume fails": {
			kind:   basilmoor.EngineTarget,
			head:   streamHead,
			resume: "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
			gets:   3,
		},
		"no stream id": {
			kind:   basilmoor.EngineTarget,
			head:   strings.Replace(streamHead, "Engine-Stream-Id: s/1\r\n", "", 1),
			resume: "",
			gets:   0,
		},
		"service has none": {
			kind:   basilmoor.ServiceTarget,
			head:   streamHead,
			resume: "",
			gets:   0,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, func(_ *rawTarget, head string) step {
				if strings.HasPrefix(head, "POST") {
					return step{
						send: tt.head + "data: 1\n\n",
					}
				}
				return step{
					send: tt.resume,
				}
			})
			s := DefaultSettings()
			s.ResumeDelay = 0
			d, closeDispatcher := New(newManual(), s)
			sink := &memorySink{}
			result := d.Do(context.Background(), granted(t, "r"), target.target(tt.kind), chatRequest(), sink, noProgress)
			closeDispatcher()
			require.Equal(t, basilmoor.OutcomeIncomplete, result.Outcome)
			require.Equal(t, "data: 1\n\n", sink.body.String())
			require.Equal(t, tt.gets, target.count("GET "))
		})
	}
}

// Guards against a connection that stopped responding and is waited for
// forever; the stream goes on over a new one.
func TestSilentStreamIsResumed(t *testing.T) {
	events := []string{"data: 1\n\n", "data: 2\n\n"}
	target := newRawTarget(t, func(_ *rawTarget, head string) step {
		if strings.HasPrefix(head, "POST") {
			return step{
				send:   streamHead + events[0] + "data:",
				silent: true,
			}
		}
		return streamFrom(events, head, 1000)
	})
	d, clock := newTestDispatcher(t)
	tickWhenSilent(t, target, clock)
	sink := &memorySink{}
	result := d.Do(context.Background(), granted(t, "r"), target.target(basilmoor.EngineTarget), chatRequest(), sink, noProgress)
	require.Equal(t, basilmoor.OutcomeDone, result.Outcome)
	require.Equal(t, "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n", sink.body.String())
}

// Guards against cutting a slow but living stream, and a stream whose caller
// is slow to read.
func TestLivingStreamIsKept(t *testing.T) {
	next := make(chan string)
	target := newRawTarget(t, func(_ *rawTarget, head string) step {
		if head == "" {
			return step{}
		}
		return step{
			send: streamHead,
			feed: next,
		}
	})
	d, clock := newTestDispatcher(t)
	sink := &memorySink{
		wrote:  make(chan struct{}),
		resume: make(chan struct{}),
	}
	results := make(chan Result)
	go func() {
		results <- d.Do(context.Background(), granted(t, "r"), target.target(basilmoor.EngineTarget), chatRequest(), sink, noProgress)
	}()
	bound := DefaultSettings().BetweenBytes
	for range 10 {
		next <- ": keepalive\n\n"
		<-sink.wrote
		// The sink blocks as a slow caller does, for longer than the bound.
		clock.WaitTimers(1)
		clock.Advance(10 * bound)
		clock.WaitTimers(1)
		sink.resume <- struct{}{}
		clock.WaitTimers(1)
		clock.Advance(bound - 1)
	}
	next <- "data: [DONE]\n\n"
	<-sink.wrote
	sink.resume <- struct{}{}
	require.Equal(t, basilmoor.OutcomeDone, (<-results).Outcome)
	require.Zero(t, target.count("GET "))
}

// Guards against an engine that generates for a caller that left.
func TestCallerCancelsAtTarget(t *testing.T) {
	deleted := make(chan string, 1)
	target := newRawTarget(t, func(_ *rawTarget, head string) step {
		if strings.HasPrefix(head, "DELETE") {
			deleted <- head
			return step{
				send: "HTTP/1.1 204 No Content\r\n\r\n",
			}
		}
		return step{
			send:   streamHead + "data: 1\n\n",
			silent: head != "",
		}
	})
	d, _ := newTestDispatcher(t)
	ctx, cancel := context.WithCancel(context.Background())
	sink := &memorySink{
		wrote: make(chan struct{}, 1),
	}
	go func() {
		<-sink.wrote
		cancel()
	}()
	result := d.Do(ctx, granted(t, "r"), target.target(basilmoor.EngineTarget), chatRequest(), sink, noProgress)
	require.Equal(t, basilmoor.ReasonCallerLeft, result.Reason)
	require.Equal(t, basilmoor.OutcomeIncomplete, result.Outcome)
	require.False(t, result.Lost)
	require.True(t, strings.HasPrefix(<-deleted, "DELETE /v1/streams/s%2F1 "))
}

// Guards against a scanner whose events depend on how the stream was cut, or
// that loses bytes.
func FuzzEventScanner(f *testing.F) {
	f.Add([]byte("data: 1\n\ndata: [DONE]\n\n"), 3)
	f.Add([]byte(": c\r\n\r\nid: 1\ndata:x\n\ndata"), 1)
	f.Add([]byte("\n\n\r\n"), 2)
	f.Fuzz(func(t *testing.T, p []byte, cut int) {
		cut = min(max(cut, 0), len(p))
		scan := func(parts ...[]byte) (string, int, int) {
			var s eventScanner
			var raw strings.Builder
			data, done := 0, 0
			for _, part := range parts {
				events, err := s.push(part)
				if err != nil {
					return "", 0, 0
				}
				for _, e := range events {
					raw.Write(e.raw)
					if e.data {
						data++
					}
					if e.done {
						done++
					}
				}
			}
			require.Equal(t, string(p), raw.String()+string(s.pending))
			return raw.String(), data, done
		}
		raw, data, done := scan(p)
		raw2, data2, done2 := scan(p[:cut], p[cut:])
		require.Equal(t, raw, raw2)
		require.Equal(t, data, data2)
		require.Equal(t, done, done2)
	})
}
