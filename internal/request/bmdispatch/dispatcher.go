package bmdispatch

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/request/bmrequest"
)

const (
	maxResponseHeaderBytes = 64 << 10
	maxIdleConnsPerTarget  = 32
	maxIdleConns           = 1024
	// idleConnTimeout is shorter than the 5 s after which common servers close
	// idle connections. A request written while the server closes the
	// connection ends with an unknown outcome.
	idleConnTimeout = 4 * time.Second
	// dialTimeout ends dials that continue in the background after their
	// request has failed. It also limits requests that cancel a stream.
	dialTimeout     = 10 * time.Second
	copyBufferBytes = 32 << 10
)

// Request describes a request to send to a target.
type Request struct {
	Method string
	URI    string      // path and query
	Header http.Header // headers received from the caller
	Body   []byte

	// Workspace is sent to the target in the header Basilmoor-Workspace,
	// unless it is empty.
	Workspace string

	// Key is the caller's idempotency key, or empty if there is none.
	Key string

	// NewConnection requests a new connection. A reused connection may already be
	// broken, which leaves the outcome of the request unknown.
	NewConnection bool

	// NonStreaming indicates a non-streaming response, which an engine sends only
	// after it has generated all of the output.
	NonStreaming bool

	// StillValid, if not nil, is called in the connection's goroutine just before
	// the first byte is written. If it returns false, nothing is written and
	// the dispatch ends as not run.
	StillValid func() bool
}

// Sink receives the response. Its methods are not called concurrently. An
// error from a method means that the caller has disconnected.
type Sink interface {
	// Start receives the status and the headers. It is called once. length is
	// the size of the body, or -1 if it is unknown.
	Start(status int, header http.Header, length int64) error

	// Write receives the next part of the body. The parts of an engine's event
	// stream consist of complete events.
	Write(p []byte) error
}

// Progress reports how far a running request has got.
type Progress struct {
	Stage  basilmoor.Stage // StageDispatched, StageFirstToken or StageProgress
	Tokens int             // number of data events; 0 unless the response is an event stream
	Cached int             // prompt tokens found in the engine's cache; 0 if not reported
}

// Result describes how a dispatch ended.
type Result struct {
	Outcome basilmoor.Outcome
	Reason  basilmoor.Reason // empty if the outcome is done; ReasonConnectFailed or ReasonGrantExpired if Retryable
	Status  int              // HTTP status of the response; 0 if there was no response

	// Retryable reports that no byte was written to a connection, so the
	// request may be sent to another target. The bmrequest.Request then
	// remains in state Dispatching.
	Retryable bool

	// RetryAfter is the target's Retry-After header.
	RetryAfter string

	Tokens int
	Cached int

	// Leaving reports that the target's response states that it accepts no
	// new requests.
	Leaving bool

	// ConnectionFailed reports that the exchange failed after a byte was
	// written, and not because the caller disconnected or the host stopped, so the
	// target may have died.
	ConnectionFailed bool
	Err              error
}

// Dispatcher sends requests to targets. It is safe for concurrent use.
type Dispatcher struct {
	clock    basilmoor.Clock
	settings Settings
	conns    *connTracker
	pooled   *http.Transport
	fresh    *http.Transport
	dialer   *net.Dialer

	ctx    context.Context // cancelled when the dispatcher is closed
	cancel context.CancelFunc
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup // requests that cancel streams
}

// New returns a dispatcher and a function that closes it: it cancels the
// requests that cancel streams, waits for them and closes idle connections.
func New(clock basilmoor.Clock, s Settings) (*Dispatcher, func()) {
	d := &Dispatcher{
		clock:    clock,
		settings: s,
		conns: &connTracker{
			byAddress: make(map[string]map[*conn]struct{}),
		},
		dialer: &net.Dialer{
			Timeout: dialTimeout,
		},
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.pooled = d.newTransport(false)
	d.fresh = d.newTransport(true)
	return d, d.close
}

func (d *Dispatcher) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.cancel()
	d.wg.Wait()
	d.pooled.CloseIdleConnections()
	d.fresh.CloseIdleConnections()
}

func (d *Dispatcher) newTransport(fresh bool) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            d.dial,
		Protocols:              protocols,
		DisableCompression:     true,
		DisableKeepAlives:      fresh,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConnsPerTarget,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

func (d *Dispatcher) dial(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{
		Conn:    nc,
		tracker: d.conns,
		clock:   d.clock,
	}
	d.conns.add(c)
	return c, nil
}

func (d *Dispatcher) transport(fresh bool) *http.Transport {
	if fresh {
		return d.fresh
	}
	return d.pooled
}

// newRequest builds a request that net/http cannot send twice.
func newRequest(ctx context.Context, t basilmoor.Target, method, uri string, h http.Header, body []byte) (*http.Request, error) {
	u, err := url.ParseRequestURI(uri)
	if err != nil {
		return nil, err
	}
	u.Scheme = "http"
	u.Host = t.Address
	r := &http.Request{
		Method:        method,
		URL:           u,
		Host:          t.Address,
		Header:        h,
		Body:          newSingleReadBody(body),
		ContentLength: int64(len(body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	return r.WithContext(ctx), nil
}

// Do sends r to t and passes the response to s. state must be in state
// Granted. Afterwards it is in a final state unless the result is retryable.
// observe may be called from other goroutines until Do returns. ctx ends when the
// caller has left or, with the cause ErrStopped, when the host stops.
func (d *Dispatcher) Do(ctx context.Context, state *bmrequest.Request, t basilmoor.Target, r Request, s Sink, observe func(Progress)) Result {
	attempt, err := state.Dispatch()
	if err != nil {
		return Result{
			Outcome: state.Outcome(),
			Err:     err,
		}
	}
	c := &call{
		dispatcher: d,
		state:      state,
		target:     t,
		request:    r,
		sink:       s,
		observe:    observe,
		callerCtx:  ctx,
	}
	return c.run(attempt)
}
