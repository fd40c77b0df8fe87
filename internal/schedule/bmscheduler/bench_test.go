package bmscheduler

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

// Framing overhead in bytes on an open stream: an HTTP/2 DATA frame header and
// the gRPC prefix for each message, and the IP and TCP headers for each segment,
// which messages sent together share. Acknowledgements are assumed to be
// piggybacked on segments of the opposite direction.
const (
	messageOverheadBytes = 9 + 5
	segmentOverheadBytes = 52
)

// fifoPolicy grants in order of arrival in constant time, so that the benchmark
// measures the control path and not the policy.
type fifoPolicy struct {
	target  basilmoor.Target
	free    int
	waiting []basilmoor.RequestID
}

func (p *fifoPolicy) SetTargets(_ basilmoor.Millis, targets []basilmoor.Target) []basilmoor.Decision {
	p.target = targets[0]
	p.free = p.target.Slots
	return nil
}

func (p *fifoPolicy) Submit(_ basilmoor.Millis, d basilmoor.Demand) []basilmoor.Decision {
	p.waiting = append(p.waiting, d.Request)
	return p.grant()
}

func (p *fifoPolicy) Observe(_ basilmoor.Millis, o basilmoor.Observation) []basilmoor.Decision {
	if o.Stage.Terminal() {
		p.free++
	}
	return p.grant()
}

func (p *fifoPolicy) grant() []basilmoor.Decision {
	if p.free == 0 || len(p.waiting) == 0 {
		return nil
	}
	p.free--
	id := p.waiting[0]
	p.waiting = p.waiting[1:]
	return []basilmoor.Decision{{
		Grant: &basilmoor.Grant{
			Request: id,
			Target:  p.target,
			TTL:     fakeGrantTTL,
		},
	}}
}

func (p *fifoPolicy) Cancel(basilmoor.Millis, basilmoor.RequestID) []basilmoor.Decision { return nil }

func (p *fifoPolicy) Report(basilmoor.Millis, basilmoor.LoadReport) []basilmoor.Decision { return nil }

func (p *fifoPolicy) Tick(basilmoor.Millis) []basilmoor.Decision { return nil }

// encodedLink passes messages in wire format between a tracker and a broker.
type encodedLink struct {
	b        *testing.B
	broker   *broker
	tracker  *requestTracker
	host     string
	epoch    int
	sess     *streamSession
	up       *streamUplink
	bytes    int
	messages int
}

func newEncodedLink(b *testing.B, br *broker, host string) *encodedLink {
	l := &encodedLink{
		b:       b,
		broker:  br,
		tracker: newRequestTracker("models", newCodec(host, 1), oneTarget(1), bmmetrics.NewRegistry()),
		host:    host,
		sess: &streamSession{
			host:   host,
			codec:  newCodec(host, 1),
			outbox: newMailbox[*bmpeerpb.ScheduleResponse](),
		},
		up: &streamUplink{
			codec:  newCodec(host, 1),
			outbox: newMailbox[*bmpeerpb.ScheduleRequest](),
		},
	}
	br.attach(0, host, "bole", l.sess)
	l.epoch = l.tracker.detach()
	l.tracker.attach(0, l.epoch, l.up, grantsRemote)
	l.transfer()
	return l
}

// transfer passes the queued messages in both directions.
func (l *encodedLink) transfer() {
	for _, m := range takeSegment(l, l.up.outbox) {
		in := &bmpeerpb.ScheduleRequest{}
		l.roundTrip(m, in)
		l.sess.action(in)(l.broker, 0)
	}
	for _, m := range takeSegment(l, l.sess.outbox) {
		in := &bmpeerpb.ScheduleResponse{}
		l.roundTrip(m, in)
		if d, ok := l.tracker.codec.decodeDecision(in); ok {
			l.tracker.handleDecision(0, l.epoch, d)
		}
	}
}

// takeSegment returns the messages of the next segment, or none if the receiver
// has not been woken.
func takeSegment[T any](l *encodedLink, m *mailbox[T]) []T {
	select {
	case <-m.ready:
		l.bytes += segmentOverheadBytes
		return m.drain()
	default:
		return nil
	}
}

func (l *encodedLink) roundTrip(out, in proto.Message) {
	wire, err := proto.Marshal(out)
	if err != nil {
		l.b.Fatal(err)
	}
	if err := proto.Unmarshal(wire, in); err != nil {
		l.b.Fatal(err)
	}
	l.bytes += len(wire) + messageOverheadBytes
	l.messages++
}

// benchmarkDemand returns a demand of kind label-review with 2,000 tokens and
// prefix digests for the first 1,024.
func benchmarkDemand(n int) basilmoor.Demand {
	d := demand(fmt.Sprintf("10.1.0.16-1764820000-%d", n))
	d.Workspace = "piedmont-seedleaf"
	d.Kind = "label-review"
	d.Model = "seedpaper-8b"
	d.PromptTokens = 1500
	d.OutputTokens = 500
	d.BodyBytes = 6000
	d.PrefixDigests = make([]uint64, 1024/basilmoor.PrefixBlockTokens)
	return d
}

// BenchmarkControl reports the control-path cost of one demand from submission
// to completion, including encoding: bytes on the wire with framing, messages,
// and the allocations and time of both sides, by the number of hosts and of
// waiting demands. Each demand reports dispatch, first token, progress three
// times, and completion.
func BenchmarkControl(b *testing.B) {
	sizes := []struct{ hosts, waiting int }{
		{
			hosts:   6,
			waiting: 10,
		},
		{
			hosts:   9,
			waiting: 100,
		},
		{
			hosts:   96,
			waiting: 1000,
		},
		{
			hosts:   390,
			waiting: 10000,
		},
	}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("hosts=%d/waiting=%d", size.hosts, size.waiting), func(b *testing.B) {
			br := newBroker("models", &fifoPolicy{}, false, nil)
			br.setTargets(0, oneTarget(1).targets)
			links := make([]*encodedLink, size.hosts)
			for i := range links {
				links[i] = newEncodedLink(b, br, fmt.Sprintf("host-%d", i))
			}
			var queue []*entry
			submit := func(n int) {
				l := links[n%size.hosts]
				queue = append(queue, l.tracker.add(0, benchmarkDemand(n)))
				l.transfer()
			}
			for n := range size.waiting {
				submit(n)
			}
			for _, l := range links {
				l.bytes, l.messages = 0, 0
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				submit(size.waiting + n)
				completeRequest(b, links, links[n%size.hosts], queue[n])
			}
			bytes, sent := 0, 0
			for _, l := range links {
				bytes += l.bytes
				sent += l.messages
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/demand")
			b.ReportMetric(float64(sent)/float64(b.N), "messages/demand")
		})
	}
}

// tokenInterval is the design target for the time between tokens.
const tokenInterval basilmoor.Millis = 31

// completeRequest simulates a granted request from dispatch to completion. Its
// completion grants the next waiting demand, which may belong to any host.
func completeRequest(b *testing.B, links []*encodedLink, l *encodedLink, e *entry) {
	if len(e.decision) != 1 {
		b.Fatalf("%s is not granted", e.id)
	}
	now := basilmoor.Millis(0)
	report := func(stage basilmoor.Stage) {
		l.tracker.observe(now, e, basilmoor.Observation{
			Stage:   stage,
			Tokens:  int(now / tokenInterval),
			Elapsed: now,
		})
		l.transfer()
	}
	report(basilmoor.StageDispatched)
	report(basilmoor.StageFirstToken)
	// 15 s of tokens at a constant rate.
	for range 15 * basilmoor.Second / tokenInterval {
		now += tokenInterval
		report(basilmoor.StageProgress)
		l.tracker.tick(now)
	}
	report(basilmoor.StageFinished)
	for _, other := range links {
		if len(other.sess.outbox.ready) > 0 {
			other.transfer()
		}
	}
}
