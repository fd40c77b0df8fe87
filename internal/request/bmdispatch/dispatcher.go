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
	maxIdlePerTarget       = 32
	maxIdle                = 1024
	// idleTimeout is below the 5 s after which common servers close an idle
	// connection. A request that meets the close ends as unknown.
	idleTimeout = 4 * time.Second
	// dialTimeout ends dials whose request has already given up.
	dialTimeout = 10 * time.Second
	copyBytes   = 32 << 10
)

// Request is what goes to the target.
type Request struct {
	Method string
	URI    string      // path and query
	Header http.Header // as the caller sent it
	Body   []byte

	// Workspace is told to the target.
	Workspace string

	// Key is the caller's idempotency key; empty for none.
	Key string

	// Fresh asks for a new connection: a reused one may be broken already, and
	// then the outcome of the request can't be known.
	Fresh bool

	// Whole tells that an engine sends the response only when it has generated
	// all of it.
	Whole bool

	// Valid is asked just before the first byte is handed to the connection,
	// in the connection's goroutine; false ends the dispatch as not run. It
	// may be nil.
	Valid func() bool
}

// Sink receives the response. Its methods are called one after the other; an
// error means that the caller left.
type Sink interface {
	// Start receives the status and the headers, once. length is the size of
	// the body, -1 if it is not known.
	Start(status int, header http.Header, length int64) error

	// Write receives the next part of the body; of an event stream, complete
	// events.
	Write(p []byte) error
}

// Progress is what is seen of a running request.
type Progress struct {
	Stage  basilmoor.Stage // dispatched, first-token or progress
	Tokens int             // data events or, for other responses, 0
	Cached int             // prompt tokens found in the engine's cache; 0 if not told
}

// Result tells how a dispatch ended.
type Result struct {
	Outcome basilmoor.Outcome
	Reason  basilmoor.Reason // empty when the outcome is done; connect-failed or grant-expired when retryable
	Status  int              // of the target; 0 if there was none

	// Retryable tells that no byte was handed to a connection, so that another
	// target may be tried. The aggregate is then still dispatching.
	Retryable bool

	// RetryAfter is the target's header of that name.
	RetryAfter string

	Tokens int
	Cached int

	// Leaving tells that the target takes no new requests, by its own word.
	Leaving bool

	// Lost tells that the connection broke, so that the target may have died.
	Lost bool
	Err  error
}

// Dispatcher sends requests. It is safe for concurrent use.
type Dispatcher struct {
	clock    basilmoor.Clock
	settings Settings
	conns    *connections
	reused   *http.Transport
	fresh    *http.Transport
	dialer   *net.Dialer

	ctx    context.Context // ends with the dispatcher
	cancel context.CancelFunc
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup // control requests
}

// New returns a dispatcher and a function that closes its connections and
// waits for its control requests.
func New(clock basilmoor.Clock, s Settings) (*Dispatcher, func()) {
	d := &Dispatcher{
		clock:    clock,
		settings: s,
		conns: &connections{
			open: make(map[string]map[*conn]struct{}),
		},
		dialer: &net.Dialer{
			Timeout: dialTimeout,
		},
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.reused = d.newTransport(false)
	d.fresh = d.newTransport(true)
	return d, d.close
}

func (d *Dispatcher) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.cancel()
	d.wg.Wait()
	d.reused.CloseIdleConnections()
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
		MaxIdleConns:           maxIdle,
		MaxIdleConnsPerHost:    maxIdlePerTarget,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

func (d *Dispatcher) dial(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{
		Conn:  nc,
		pool:  d.conns,
		clock: d.clock,
	}
	d.conns.add(c)
	return c, nil
}

func (d *Dispatcher) transport(fresh bool) *http.Transport {
	if fresh {
		return d.fresh
	}
	return d.reused
}

// newRequest builds the request so that net/http can't send it twice.
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
		Body:          newOnceBody(body),
		ContentLength: int64(len(body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	return r.WithContext(ctx), nil
}

// Do dispatches r to t. The aggregate must be in state Granted; it is final
// afterwards unless the result is retryable. observe may be called from other
// goroutines until Do returns.
func (d *Dispatcher) Do(ctx context.Context, a *bmrequest.Request, t basilmoor.Target, r Request, s Sink, observe func(Progress)) Result {
	attempt, err := a.Dispatch()
	if err != nil {
		return Result{
			Outcome: a.Outcome(),
			Err:     err,
		}
	}
	c := &call{
		dispatcher: d,
		aggregate:  a,
		target:     t,
		request:    r,
		sink:       s,
		observe:    observe,
		caller:     ctx,
	}
	return c.run(attempt)
}
