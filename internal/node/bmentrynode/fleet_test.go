package bmentrynode_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/node/bmentrynode"
	"basilmoor.example/basilmoor/internal/schedule/bmgrant"
	"basilmoor.example/basilmoor/internal/schedule/bmrollout"
	"basilmoor.example/basilmoor/internal/standin/bmstandinplatform"
	bmplatform "basilmoor.example/basilmoor/platform"
)

// eventTimeout limits the wait for an event whose duration is not under test. It
// is long enough for a heavily loaded machine.
const eventTimeout = 20 * time.Second

const (
	// hostname is the value of the Host header of all requests.
	hostname = "fleet.example"

	// Ports of a node.
	callersPort   = 8001
	readyPort     = 8002
	firstPeerPort = 8003
	lastPeerPort  = 8004
)

const stateFormat = `{"version":%d,
 "routes":[
  {"name":"stream","hostname":"` + hostname + `","prefix":"/stream/","route_type":"streaming","timeout_ms":9000,"target_latency_ms":5000,"backend":"engines","max_attempts":2,"stream_resume":true,"target_itl_ms":300},
  {"name":"lookup","hostname":"` + hostname + `","prefix":"/lookup/","route_type":"idempotent","timeout_ms":9000,"target_latency_ms":5000,"backend":"plain","max_attempts":2}],
 "backends":[{"name":"engines","engine":{"slots":4,"kv_capacity":1000,"stride":1}},{"name":"plain"}],
 "limits":{"max_body_bytes":1000,"header_timeout_ms":3000},
 "tenants":[{"name":"w","api_keys":[%s],"unit":"tokens","uncached_tokens":1,"rate_per_s":1000000,"burst":1000000}]}`

// fleet is a set of nodes that share a simulated platform.
type fleet struct {
	t           *testing.T
	store       *bmstandinplatform.Store
	replicas    map[string]*bmstandinplatform.Replica
	nodes       []*node
	version     int
	stopGrace   basilmoor.Millis
	revocation  basilmoor.Millis
	rollouts    bmrollout.Bounds
	lastAttempt atomic.Int64
}

const (
	// defaultStopGrace is longer than any test takes.
	defaultStopGrace = basilmoor.Minute

	defaultRevocation = 5 * basilmoor.Second
)

// shiftedClock is the system's clock plus a shift that a test can increase.
type shiftedClock struct {
	*bmclock.System
	shift atomic.Int64
}

// Now implements basilmoor.Clock.
func (c *shiftedClock) Now() basilmoor.Millis {
	return c.System.Now() + basilmoor.Millis(c.shift.Load())
}

func (c *shiftedClock) advance(d basilmoor.Millis) {
	c.shift.Add(int64(d))
}

// logRecorder records a node's log, and when each message was last logged on the
// node's clock.
type logRecorder struct {
	clock basilmoor.Clock

	mu    sync.Mutex
	lines strings.Builder
	last  map[string]basilmoor.Millis
}

// Write implements io.Writer.
func (l *logRecorder) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(line)
}

// text returns the lines so far.
func (l *logRecorder) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.String()
}

// Run implements zerolog.Hook.
func (l *logRecorder) Run(_ *zerolog.Event, _ zerolog.Level, message string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last[message] = l.clock.Now()
}

// of returns the last time of a message, and whether it was logged.
func (l *logRecorder) of(message string) (basilmoor.Millis, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, logged := l.last[message]
	return at, logged
}

// node runs a bmentrynode.Node with its store client in the test process.
type node struct {
	settings bmentrynode.Settings
	metrics  *bmmetrics.Registry
	clock    *shiftedClock
	logged   *logRecorder // from the last start
	stop     context.CancelFunc
	done     chan error
	release  func() // waits for Serve to return and closes the node and its store client
}

func newFleet(t *testing.T, hosts int) *fleet {
	t.Helper()
	return newFleetWithTimes(t, hosts, defaultStopGrace, defaultRevocation)
}

// newFleetWithTimes returns a fleet whose hosts have stopGrace from the request to
// stop until they are killed, and whose view is valid for about revocation.
func newFleetWithTimes(t *testing.T, hosts int, stopGrace, revocation basilmoor.Millis) *fleet {
	t.Helper()
	f := &fleet{
		t:          t,
		replicas:   map[string]*bmstandinplatform.Replica{},
		stopGrace:  stopGrace,
		revocation: revocation,
	}
	store, stopStore := bmstandinplatform.NewStore()
	t.Cleanup(stopStore)
	f.store = store
	t.Cleanup(f.stop)
	f.configure(`"k"`)
	f.addReplica("e1", "engines")
	f.addReplica("e2", "engines")
	f.addReplica("p1", "plain")
	for i := range hosts {
		f.addNode(fmt.Sprint("h", i))
	}
	for _, n := range f.nodes {
		f.eventually("ready", func() bool { return n.ready() })
	}
	return f
}

// stop stops all nodes at the same time and waits for them.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.stop()
	}
	for _, n := range f.nodes {
		n.release()
	}
}

// configure stores the next version of the desired state. keys is a list of
// quoted keys separated by commas.
func (f *fleet) configure(keys string) {
	f.version++
	f.store.Put("op/config", []byte(fmt.Sprintf(stateFormat, f.version, keys)))
}

func (f *fleet) addReplica(id, pool string) {
	r, stop := bmstandinplatform.NewReplica(id)
	f.t.Cleanup(stop)
	f.replicas[id] = r
	f.store.Put("servers/"+id, r.Entry(pool, "ready"))
}

func (f *fleet) addNode(host string) {
	f.t.Helper()
	ip := bmstandinplatform.HostIP()
	n := &node{
		settings: bmentrynode.Settings{
			Host:              host,
			IP:                ip,
			DataCentre:        "z1",
			CallersAddress:    fmt.Sprint(ip, ":", callersPort),
			ReadyAddress:      fmt.Sprint(ip, ":", readyPort),
			StoreAddress:      f.store.Address(),
			FirstPort:         firstPeerPort,
			LastPort:          lastPeerPort,
			MemoryBytes:       1 << 30,
			CPUFraction:       1,
			StopGrace:         f.stopGrace,
			WithdrawalTime:    2000,
			TargetDrain:       2000,
			RevocationTimeout: f.revocation,
			RetryRatio:        1,
			RetryWindow:       10_000,
			RetrySlack:        100,
			Tolerance: bmgrant.Tolerance{
				Window: 8000,
			},
			Rollouts:   f.rollouts,
			FirstStart: true,
		},
		metrics: bmmetrics.NewRegistry(),
		clock: &shiftedClock{
			System: bmclock.NewSystem(),
		},
	}
	require.NoError(f.t, n.settings.Validate())
	n.start(f.t)
	f.nodes = append(f.nodes, n)
}

func (n *node) start(t *testing.T) {
	t.Helper()
	store, closeStore, err := bmplatform.NewStore(n.clock, n.settings.StoreAddress)
	require.NoError(t, err)
	n.logged = &logRecorder{
		clock: n.clock,
		last:  map[string]basilmoor.Millis{},
	}
	served, cleanup, err := bmentrynode.New(n.settings, bmentrynode.Dependencies{
		Clock:        n.clock,
		Metrics:      n.metrics,
		Store:        store,
		Feed:         bmplatform.NewFeed(store, zerolog.Nop()),
		Protocol:     bmplatform.Headers{},
		Inspector:    bmplatform.Headers{},
		Registration: bmplatform.Registration,
		RolloutKeys: bmgrant.RolloutKeys{
			Record: bmplatform.RolloutRecordKey,
			Status: bmplatform.RolloutStatus,
		},
		RecordKeys: bmgrant.RecordKeys{
			Spending:   bmplatform.KeySpending,
			SettledEra: bmplatform.KeySettledEra,
		},
	}, zerolog.New(n.logged).Hook(n.logged))
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	done := make(chan error, 1)
	n.done = done
	go n.run(ctx, served, done)
	n.release = func() {
		<-done
		cleanup()
		closeStore()
	}
}

func (n *node) run(ctx context.Context, served *bmentrynode.Node, done chan<- error) {
	done <- served.Serve(ctx)
	close(done)
}

func (n *node) ready() bool {
	resp, err := http.Get("http://" + n.settings.ReadyAddress + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// eventually fails the test unless a condition holds within eventTimeout.
func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	require.Eventually(f.t, holds, eventTimeout, 10*time.Millisecond, what)
}

// response is the response that a caller received.
type response struct {
	attempt string
	status  int
	body    string
	err     error
	header  http.Header
}

// send sends a request with a key and a new attempt id to a node.
func (f *fleet) send(n *node, method, path, key string) response {
	f.t.Helper()
	return f.sendParts(n, method, path, key, "")
}

// sendParts sends a request whose prompt has the given parts, ID:TOKENS separated
// by commas.
func (f *fleet) sendParts(n *node, method, path, key, parts string) response {
	f.t.Helper()
	body := io.Reader(http.NoBody)
	if method == http.MethodPost {
		body = strings.NewReader("prompt")
	}
	r, err := http.NewRequest(method, "http://"+n.settings.CallersAddress+path, body)
	require.NoError(f.t, err)
	r.Host = hostname
	attempt := fmt.Sprint("a", f.lastAttempt.Add(1))
	r.Header.Set("X-Attempt-Id", attempt)
	r.Header.Set("X-Deadline-Ms", "9000")
	r.Header.Set("X-Token-Usage", "100,5")
	r.Header.Set("Authorization", "Token "+key)
	if parts != "" {
		r.Header.Set("X-Prefix-Hash", parts)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{
			err: err,
		}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return response{
		attempt: attempt,
		status:  resp.StatusCode,
		body:    string(raw),
		err:     err,
		header:  resp.Header,
	}
}

// runs returns the requests that the replicas have run.
func (f *fleet) runs() []bmstandinplatform.Run {
	var runs []bmstandinplatform.Run
	for _, r := range f.replicas {
		runs = append(runs, r.Runs()...)
	}
	return runs
}

// Every host must forward streams and plain requests to a replica. The replica
// must receive the workspace but not the caller's key, and the caller must
// receive the replica's signature.
func TestRequestPath(t *testing.T) {
	f := newFleet(t, 3)
	for _, n := range f.nodes {
		a := f.send(n, http.MethodPost, "/stream/a%2Fb?x=1", "k")
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status, a.body)
		require.Equal(t, bmstandinplatform.StreamBody(a.attempt), a.body)
		require.Contains(t, a.header.Get("X-Response-Signature"), "sig-e")
		a = f.send(n, http.MethodGet, "/lookup/1", "k")
		require.NoError(t, a.err)
		require.Equal(t, bmstandinplatform.PlainBody(a.attempt), a.body)
	}
	for _, run := range f.runs() {
		require.Equal(t, "w", run.Tenant)
		require.Empty(t, run.Key)
	}
}

// Each call to the store has a price. Once the hosts have chosen a broker, only the
// broker's host may watch the store, and changes must still reach all hosts.
func TestOneHostWatchesTheStore(t *testing.T) {
	f := newFleet(t, 4)
	watchers := func() int {
		before := map[*node]int64{}
		for _, n := range f.nodes {
			before[n] = n.metrics.Snapshot()["view.calls"]
		}
		f.configure(`"k","k` + fmt.Sprint(f.version) + `"`)
		for _, n := range f.nodes {
			f.eventually("new key in effect", func() bool {
				return f.send(n, http.MethodGet, "/lookup/1", fmt.Sprint("k", f.version-1)).status == http.StatusOK
			})
		}
		asked := 0
		for _, n := range f.nodes {
			if n.metrics.Snapshot()["view.calls"] > before[n] {
				asked++
			}
		}
		return asked
	}
	f.eventually("one host watches", func() bool { return watchers() == 1 })
}

// A revoked key must be rejected by every host, and other keys must be accepted.
func TestRevokedKey(t *testing.T) {
	f := newFleet(t, 2)
	f.configure(`"other"`)
	for _, n := range f.nodes {
		f.eventually("key refused", func() bool {
			return f.send(n, http.MethodGet, "/lookup/1", "k").status == http.StatusUnauthorized
		})
		require.Equal(t, http.StatusOK, f.send(n, http.MethodGet, "/lookup/1", "other").status)
	}
}

// During an outage of the store, a host cannot know which keys were revoked: it
// must refuse requests with a key and become not ready. It must serve again
// after the outage.
func TestStoreOutage(t *testing.T) {
	f := newFleet(t, 2)
	f.store.SetDown(true)
	for _, n := range f.nodes {
		f.eventually("refused", func() bool {
			return f.send(n, http.MethodGet, "/lookup/1", "k").status == http.StatusServiceUnavailable
		})
		require.False(t, n.ready())
	}
	f.store.SetDown(false)
	for _, n := range f.nodes {
		f.eventually("served again", func() bool {
			return f.send(n, http.MethodGet, "/lookup/1", "k").status == http.StatusOK
		})
	}
}

// A draining replica must get no new requests.
func TestDrainingReplica(t *testing.T) {
	f := newFleet(t, 2)
	f.store.Put("servers/e1", f.replicas["e1"].Entry("engines", "draining"))
	for _, n := range f.nodes {
		f.eventually("draining known", func() bool {
			before := len(f.replicas["e1"].Runs())
			for range 4 {
				f.send(n, http.MethodPost, "/stream/1", "k")
			}
			return len(f.replicas["e1"].Runs()) == before
		})
	}
}

// A request that crashes each replica it runs on, and that its caller repeats
// through every host, must be held back after at most 3 crashes. Other requests
// must still be served.
func TestRequestThatCrashesReplicas(t *testing.T) {
	const replicas = 6
	f := newFleet(t, 3)
	for i := range replicas - 2 {
		f.addReplica(fmt.Sprint("e", i+3), "engines")
	}
	// Hosts receive changes in order, so a host that accepts the new key also
	// knows the new replicas.
	f.configure(`"k","later"`)
	for _, n := range f.nodes {
		f.eventually("replicas known", func() bool {
			return f.send(n, http.MethodGet, "/lookup/1", "later").status == http.StatusOK
		})
	}
	crashed := func() int {
		n := 0
		for _, run := range f.runs() {
			if run.Path == bmstandinplatform.CrashPath {
				n++
			}
		}
		return n
	}
	f.eventually("held back", func() bool {
		held := 0
		for _, n := range f.nodes {
			a := f.send(n, http.MethodPost, bmstandinplatform.CrashPath, "k")
			require.NotEqual(t, http.StatusOK, a.status)
			if a.status == http.StatusServiceUnavailable && strings.HasPrefix(a.body, string(basilmoor.ReasonCrashSuspect)) {
				held++
			}
		}
		return held == len(f.nodes)
	})
	require.LessOrEqual(t, crashed(), 3)
	require.Equal(t, http.StatusOK, f.send(f.nodes[0], http.MethodPost, "/stream/2", "k").status)
}

// A planned stop must let the requests in progress complete, turn the host not
// ready and end its registration.
func TestPlannedStopCompletesRequests(t *testing.T) {
	f := newFleet(t, 2)
	leaving := f.nodes[0]
	before := len(f.runs())
	result := make(chan response, 1)
	go func() { result <- f.send(leaving, http.MethodPost, "/stream/1", "k") }()
	f.eventually("request runs", func() bool { return len(f.runs()) > before })
	leaving.stop()
	a := <-result
	require.NoError(t, a.err)
	require.Equal(t, bmstandinplatform.StreamBody(a.attempt), a.body)
	f.eventually("turned away", func() bool { return !leaving.ready() })
	f.eventually("registration ended", func() bool { return !f.store.Has("basilmoor/hosts/h0") })
	require.NoError(t, <-leaving.done)
	require.Equal(t, http.StatusOK, f.send(f.nodes[1], http.MethodPost, "/stream/2", "k").status)
}

// Guards against requests that are cut off without an answer because they arrive
// around the signal to stop: on connections that are being opened, that wait to be
// accepted, or that were idle. A connection that is refused, or closed before
// anything was sent on it, is no loss.
func TestPlannedStopUnderLoad(t *testing.T) {
	const (
		callers = 100
		settled = 200 // requests answered before the stop
	)
	f := newFleet(t, 2)
	leaving := f.nodes[0]
	var answered, lost atomic.Int64
	var ended sync.WaitGroup
	for i := range callers {
		ended.Add(1)
		go func() {
			defer ended.Done()
			for n := 0; ; n++ {
				path := fmt.Sprintf("/lookup/%d-%d", i, n)
				switch sendOnNewConn(leaving.settings.CallersAddress, path) {
				case connRefused:
					return
				case connCut:
					lost.Add(1)
				case connAnswered:
					answered.Add(1)
				}
			}
		}()
	}
	f.eventually("requests answered", func() bool { return answered.Load() >= settled })
	leaving.stop()
	require.NoError(t, <-leaving.done)
	ended.Wait()
	require.Zero(t, lost.Load(), "requests cut off of %d", answered.Load())
}

// connResult is what became of a request on a connection of its own.
type connResult int

const (
	connRefused  connResult = iota // the connection was not established
	connAnswered                   // a whole response
	connCut                        // the connection ended without one
)

// sendOnNewConn opens a connection and sends one request on it.
func sendOnNewConn(address, path string) connResult {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return connRefused
	}
	defer c.Close()
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: "+hostname+"\r\nAuthorization: Token k\r\nX-Attempt-Id: a%s\r\nX-Deadline-Ms: 9000\r\n\r\n", path, strings.ReplaceAll(path, "/", "-"))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return connCut
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return connCut
	}
	return connAnswered
}

// A stream whose replica crashes must be resumed on another replica.
func TestReplicaCrashMidStream(t *testing.T) {
	f := newFleet(t, 1)
	before := len(f.runs())
	result := make(chan response, 1)
	go func() { result <- f.send(f.nodes[0], http.MethodPost, "/stream/1", "k") }()
	f.eventually("request runs", func() bool { return len(f.runs()) > before })
	for _, id := range []string{"e1", "e2"} {
		if len(f.replicas[id].Runs()) > 0 {
			f.replicas[id].CloseConnections()
			break // another replica may already have resumed the stream
		}
	}
	a := <-result
	require.NoError(t, a.err)
	require.Equal(t, bmstandinplatform.StreamBody(a.attempt), a.body)
}
