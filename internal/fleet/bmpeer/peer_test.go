package bmpeer

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmmember"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

type fakeHeartbeatHandler struct {
	mu       sync.Mutex
	received []bmmember.Heartbeat
}

func (b *fakeHeartbeatHandler) Handle(in bmmember.Heartbeat) bmmember.Heartbeat {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received = append(b.received, in)
	return in
}

// fakeClaimer returns a fixed claim, and keeps the last request and record that it
// received.
type fakeClaimer struct {
	request basilmoor.ClaimRequest
	record  basilmoor.ClaimRecord
	segment basilmoor.ClaimSegment
	end     string
	err     error
}

func (c *fakeClaimer) Claim(_ context.Context, r basilmoor.ClaimRequest) (basilmoor.Claim, error) {
	c.request = r
	return basilmoor.Claim{
		State:   basilmoor.ClaimDone,
		Holder:  "host-b",
		Request: "r0",
		Answer: &basilmoor.Answer{
			Status:      201,
			ContentType: "text/plain",
			Body:        []byte("paid"),
		},
	}, c.err
}

func (c *fakeClaimer) Record(_ context.Context, r basilmoor.ClaimRecord) error {
	c.record = r
	return c.err
}

func (c *fakeClaimer) RememberClaims(_ context.Context, s basilmoor.ClaimSegment) error {
	c.segment = s
	return c.err
}

func (c *fakeClaimer) VerifyClaims(_ context.Context, slot int, end string) (basilmoor.ClaimVerification, error) {
	c.end = end
	return basilmoor.ClaimVerification{
		Complete: slot == 7,
		Last:     1<<40 + int64(slot),
	}, c.err
}

type fakeConfigPeer struct{}

func (fakeConfigPeer) Fetch(_ context.Context, held []string) ([]byte, []basilmoor.ConfigPart, error) {
	return []byte("head"), []basilmoor.ConfigPart{{
		Digest: held[0],
		Value:  make([]byte, 3<<20),
	}}, nil
}

func startServer(t *testing.T, cfg ServerConfig) string {
	t.Helper()
	cfg.Address = "127.0.0.1:0"
	cfg.Secret = "right"
	cfg.Clock = bmclock.NewManual(0)
	cfg.Metrics = bmmetrics.NewRegistry()
	cfg.Log = zerolog.Nop()
	s, cleanup, err := NewServer(cfg)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		cleanup()
		<-done
	})
	return s.Address()
}

func newPool(t *testing.T, secret string) *Pool {
	t.Helper()
	p, cleanup, err := NewPool(PoolConfig{
		Secret: secret,
	})
	require.NoError(t, err)
	t.Cleanup(cleanup)
	return p
}

// Guards against serving a unary call without the fleet secret.
func TestSecret(t *testing.T) {
	tests := map[string]struct {
		secret string
		code   codes.Code
	}{
		"right": {
			secret: "right",
			code:   codes.OK,
		},
		"wrong": {
			secret: "wrong",
			code:   codes.Unauthenticated,
		},
		"prefix": {
			secret: "righ",
			code:   codes.Unauthenticated,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			handler := &fakeHeartbeatHandler{}
			address := startServer(t, ServerConfig{
				Membership: handler,
			})
			_, err := newPool(t, tt.secret).Exchange(context.Background(), basilmoor.Member{
				Address: address,
			}, heartbeatWithAllFields())
			require.Equal(t, tt.code, status.Code(err))
			require.Len(t, handler.received, map[bool]int{true: 1}[tt.code == codes.OK])
		})
	}
}

// Guards against serving a stream without the fleet secret.
func TestSecretOnStreams(t *testing.T) {
	address := startServer(t, ServerConfig{
		Broker: bmpeerpb.UnimplementedBrokerServer{},
	})
	client, err := newPool(t, "wrong").Broker(address)
	require.NoError(t, err)
	stream, err := client.Schedule(context.Background())
	require.NoError(t, err)
	_, err = stream.Recv()
	require.Equal(t, codes.Unauthenticated, status.Code(err))
}

func heartbeatWithAllFields() bmmember.Heartbeat {
	m := basilmoor.Member{
		Host:          "host-a",
		Address:       "127.0.0.1:7",
		DataCentre:    "bole",
		Region:        "addis",
		Incarnation:   5,
		ConfigVersion: 6,
		ConfigNote:    "note",
		Load:          7,
		Leaving:       true,
	}
	return bmmember.Heartbeat{
		Self:           m,
		Sequence:       8,
		Tick:           9,
		Introduce:      true,
		Large:          true,
		DataCentreTick: 18,
		MeshDigest:     10,
		MeshTicks:      []byte{1, 2},
		Known: []bmmember.MemberReport{{
			Member: m,
			Tick:   3,
			Age:    4,
		}},
		RosterDigest: 11,
		RosterTicks:  []byte{3},
		Summaries: []bmmember.Summary{{
			DataCentre: "merkato",
			Digest:     12,
			Tick:       13,
		}},
		Want: []string{"piassa"},
		Rosters: []bmmember.Roster{{
			DataCentre: "bole",
			Region:     "addis",
			Tick:       14,
			Age:        15,
			Members:    []basilmoor.Member{m},
		}},
		Crashes: []basilmoor.Crash{{
			Digest:  16,
			Targets: []string{"engine-1"},
			Age:     17,
			Lifted:  true,
		}},
	}
}

// Guards against heartbeat fields that are lost in the conversion to or from
// protobuf.
func TestHeartbeatRoundTrip(t *testing.T) {
	handler := &fakeHeartbeatHandler{}
	address := startServer(t, ServerConfig{
		Membership: handler,
	})
	reply, err := newPool(t, "right").Exchange(context.Background(), basilmoor.Member{
		Address: address,
	}, heartbeatWithAllFields())
	require.NoError(t, err)
	require.Equal(t, heartbeatWithAllFields(), reply)
	require.Equal(t, []bmmember.Heartbeat{heartbeatWithAllFields()}, handler.received)
}

// Guards against claim fields or error types that are lost between nodes.
func TestClaimsRoundTrip(t *testing.T) {
	claimer := &fakeClaimer{}
	address := startServer(t, ServerConfig{
		Claims: claimer,
	})
	remote := newPool(t, "right").Claimer(address)
	request := basilmoor.ClaimRequest{
		Workspace:  "w",
		Key:        "k",
		BodyDigest: [32]byte{1, 2},
		Host:       "host-a",
		Request:    "r1",
	}
	claim, err := remote.Claim(context.Background(), request)
	require.NoError(t, err)
	require.Equal(t, request, claimer.request)
	require.Equal(t, []byte("paid"), claim.Answer.Body)
	require.Equal(t, basilmoor.ClaimDone, claim.State)
	record := basilmoor.ClaimRecord{
		Workspace: "w",
		Key:       "k",
		Request:   "r1",
		State:     basilmoor.ClaimReleased,
	}
	require.NoError(t, remote.Record(context.Background(), record))
	require.Equal(t, record, claimer.record)
	peer := newPool(t, "right").ClaimPeer(address)
	segment := basilmoor.ClaimSegment{
		Slot:     3,
		Sequence: 1 << 40,
		Value:    []byte("segment"),
	}
	require.NoError(t, peer.RememberClaims(context.Background(), segment))
	require.Equal(t, segment, claimer.segment)
	for slot, complete := range map[int]bool{7: true, 8: false} {
		v, err := peer.VerifyClaims(context.Background(), slot, "batch")
		require.NoError(t, err)
		require.Equal(t, complete, v.Complete)
		require.Equal(t, 1<<40+int64(slot), v.Last)
		require.Equal(t, "batch", claimer.end)
	}
	claimer.err = &basilmoor.UnavailableError{}
	_, err = remote.Claim(context.Background(), request)
	var unavailable *basilmoor.UnavailableError
	require.ErrorAs(t, err, &unavailable)
}

// Guards against a message size limit that is too small for a configuration of
// several megabytes.
func TestFetchRoundTrip(t *testing.T) {
	peer := newPool(t, "right").ConfigPeer(startServer(t, ServerConfig{
		Configuration: fakeConfigPeer{},
	}))
	head, parts, err := peer.Fetch(context.Background(), []string{"d1"})
	require.NoError(t, err)
	require.Equal(t, []byte("head"), head)
	require.Len(t, parts[0].Value, 3<<20)
}

// Guards against sending the fleet secret over the network in plain text.
func TestPlainTextOnLoopbackOnly(t *testing.T) {
	var plain *PlainTextError
	_, _, err := NewServer(ServerConfig{
		Address: "0.0.0.0:0",
		Secret:  "right",
	})
	require.ErrorAs(t, err, &plain)
	_, err = newPool(t, "right").Broker("192.0.2.1:70")
	require.ErrorAs(t, err, &plain)
}

// proxy forwards TCP connections to a server. After freeze, it keeps the existing
// connections open without forwarding their data, and forwards new ones as
// before.
type proxy struct {
	listener      net.Listener
	address       string
	mu            sync.Mutex
	freezeSignals []chan struct{}
	accepted      int
}

func newProxy(t *testing.T, address string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{
		listener: l,
		address:  address,
	}
	t.Cleanup(func() { _ = l.Close() })
	go p.run()
	return p
}

func (p *proxy) run() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.address)
		if err != nil {
			return
		}
		p.mu.Lock()
		frozen := make(chan struct{})
		p.freezeSignals = append(p.freezeSignals, frozen)
		p.accepted++
		p.mu.Unlock()
		go p.loop(in, out, frozen)
		go p.loop(out, in, frozen)
	}
}

func (p *proxy) loop(to, from net.Conn, frozen <-chan struct{}) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-frozen:
			continue
		default:
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.freezeSignals {
		close(f)
	}
	p.freezeSignals = nil
}

// Guards against treating a peer as failed because an open connection to it has
// stopped responding, although new connections work.
func TestUnresponsiveConnectionIsRedialled(t *testing.T) {
	p := newProxy(t, startServer(t, ServerConfig{
		Membership: &fakeHeartbeatHandler{},
	}))
	pool := newPool(t, "right")
	peer := basilmoor.Member{
		Address: p.listener.Addr().String(),
	}
	_, err := pool.Exchange(context.Background(), peer, heartbeatWithAllFields())
	require.NoError(t, err)
	p.freeze()
	_, err = pool.Exchange(context.Background(), peer, heartbeatWithAllFields())
	require.NoError(t, err)
	require.Equal(t, 2, p.accepted)
}
