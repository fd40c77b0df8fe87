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

var offsetPattern = regexp.MustCompile(`^GET /v1/streams/s%2F1\?offset=(\d+) `)

// streamFromOffset answers a request or a resume request with the events from
// the requested offset on, truncated to cut bytes.
func streamFromOffset(events []string, head string, cut int) targetAction {
	offset := 0
	if m := offsetPattern.FindStringSubmatch(head); m != nil {
		offset, _ = strconv.Atoi(m[1])
	}
	body := strings.Join(events[min(offset, len(events)):], "") + "data: [DONE]\n\n"
	return targetAction{
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

// Guards against events that are lost or duplicated when a stream is resumed,
// against sending the request again, and against the outcome done for an
// incomplete stream.
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
		target := newRawTarget(t, func(_ *rawTarget, head string) targetAction {
			if head == "" {
				return targetAction{}
			}
			n := len(heads)
			heads <- head
			if n >= len(cuts) {
				return streamFromOffset(events, head, size)
			}
			return streamFromOffset(events, head, cuts[n])
		})
		s := DefaultSettings()
		s.ResumeDelay = 0
		d, closeDispatcher := New(newManualClock(), s)
		defer closeDispatcher()
		sink := &recordingSink{}
		state := newGrantedRequest(t, "r")
		result := d.Do(context.Background(), state, target.target(basilmoor.EngineTarget), chatRequest(), sink, ignoreProgress)

		require.Equal(t, 1, target.count("POST "), "the request was sent again")
		require.LessOrEqual(t, target.count("GET "), s.ResumeAttempts)
		whole := strings.Join(events, "") + "data: [DONE]\n\n"
		if result.Outcome == basilmoor.OutcomeDone {
			require.Equal(t, whole, sink.body.String())
			require.Equal(t, len(events), result.Tokens)
			return
		}
		require.Equal(t, basilmoor.OutcomeIncomplete, result.Outcome)
		require.True(t, result.ConnectionFailed)
		require.True(t, strings.HasPrefix(whole, sink.body.String()))
		require.NotContains(t, sink.body.String(), "[DONE]")
		require.Greater(t, len(cuts), s.ResumeAttempts, "incomplete with resume attempts left")
	})
}

// Guards against resuming a stream that cannot be resumed, and against the
// outcome done for a stream that ends without [DONE].
func TestStreamNotResumed(t *testing.T) {
	tests := map[string]struct {
		kind   basilmoor.TargetType
		head   string
		resume string
		gets   int
	}{
		"stream is unknown to the target": {
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
		"target is a service": {
			kind:   basilmoor.ServiceTarget,
			head:   streamHead,
			resume: "",
			gets:   0,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, func(_ *rawTarget, head string) targetAction {
				if strings.HasPrefix(head, "POST") {
					return targetAction{
						send: tt.head + "data: 1\n\n",
					}
				}
				return targetAction{
					send: tt.resume,
				}
			})
			s := DefaultSettings()
			s.ResumeDelay = 0
			d, closeDispatcher := New(newManualClock(), s)
			sink := &recordingSink{}
			result := d.Do(context.Background(), newGrantedRequest(t, "r"), target.target(tt.kind), chatRequest(), sink, ignoreProgress)
			closeDispatcher()
			require.Equal(t, basilmoor.OutcomeIncomplete, result.Outcome)
			require.Equal(t, "data: 1\n\n", sink.body.String())
			require.Equal(t, tt.gets, target.count("GET "))
		})
	}
}

// Guards against waiting forever on a connection that stopped responding. The
// stream must be resumed on a new connection.
func TestSilentStreamIsResumed(t *testing.T) {
	events := []string{"data: 1\n\n", "data: 2\n\n"}
	target := newRawTarget(t, func(_ *rawTarget, head string) targetAction {
		if strings.HasPrefix(head, "POST") {
			return targetAction{
				send: streamHead + events[0] + "data:",
				hang: true,
			}
		}
		return streamFromOffset(events, head, 1000)
	})
	d, clock := newTestDispatcher(t)
	advanceClockOnHang(t, target, clock)
	sink := &recordingSink{}
	result := d.Do(context.Background(), newGrantedRequest(t, "r"), target.target(basilmoor.EngineTarget), chatRequest(), sink, ignoreProgress)
	require.Equal(t, basilmoor.OutcomeDone, result.Outcome)
	require.Equal(t, "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n", sink.body.String())
}

// Guards against closing a slow stream that still sends keepalives, and a stream
// whose caller reads slowly.
func TestSlowStreamIsKept(t *testing.T) {
	next := make(chan string)
	target := newRawTarget(t, func(_ *rawTarget, head string) targetAction {
		if head == "" {
			return targetAction{}
		}
		return targetAction{
			send: streamHead,
			feed: next,
		}
	})
	d, clock := newTestDispatcher(t)
	sink := &recordingSink{
		writeStarted: make(chan struct{}),
		unblockWrite: make(chan struct{}),
	}
	results := make(chan Result)
	go func() {
		results <- d.Do(context.Background(), newGrantedRequest(t, "r"), target.target(basilmoor.EngineTarget), chatRequest(), sink, ignoreProgress)
	}()
	limit := DefaultSettings().ReadIdleTimeout
	for range 10 {
		next <- ": keepalive\n\n"
		<-sink.writeStarted
		// The sink blocks for longer than the limit, like a slow caller.
		clock.WaitTimers(1)
		clock.Advance(10 * limit)
		clock.WaitTimers(1)
		sink.unblockWrite <- struct{}{}
		clock.WaitTimers(1)
		clock.Advance(limit - 1)
	}
	next <- "data: [DONE]\n\n"
	<-sink.writeStarted
	sink.unblockWrite <- struct{}{}
	require.Equal(t, basilmoor.OutcomeDone, (<-results).Outcome)
	require.Zero(t, target.count("GET "))
}

// Guards against an engine that keeps generating after the caller disconnected.
func TestCallerCancelsAtTarget(t *testing.T) {
	deleted := make(chan string, 1)
	target := newRawTarget(t, func(_ *rawTarget, head string) targetAction {
		if strings.HasPrefix(head, "DELETE") {
			deleted <- head
			return targetAction{
				send: "HTTP/1.1 204 No Content\r\n\r\n",
			}
		}
		return targetAction{
			send: streamHead + "data: 1\n\n",
			hang: head != "",
		}
	})
	d, _ := newTestDispatcher(t)
	ctx, cancel := context.WithCancel(context.Background())
	sink := &recordingSink{
		writeStarted: make(chan struct{}, 1),
	}
	go func() {
		<-sink.writeStarted
		cancel()
	}()
	result := d.Do(ctx, newGrantedRequest(t, "r"), target.target(basilmoor.EngineTarget), chatRequest(), sink, ignoreProgress)
	require.Equal(t, basilmoor.ReasonCallerLeft, result.Reason)
	require.Equal(t, basilmoor.OutcomeIncomplete, result.Outcome)
	require.False(t, result.ConnectionFailed)
	require.True(t, strings.HasPrefix(<-deleted, "DELETE /v1/streams/s%2F1 "))
}

// Guards against a scanner that loses bytes, or whose events depend on how the
// stream is split into reads.
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
					if e.hasData {
						data++
					}
					if e.isDone {
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
