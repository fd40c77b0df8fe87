package bmdispatch

import (
	"bytes"
	"io"
	"sync"

	"github.com/pkg/errors"
)

var errBodyClosed = errors.New("request body can't be read again")

// onceBody is a request body that is read from start to end at most once. It
// is never nil, also for methods without a body, because net/http takes a
// request without a body for one that it may send again.
type onceBody struct {
	mu     sync.Mutex
	r      *bytes.Reader
	opened bool
	closed bool
}

func newOnceBody(p []byte) *onceBody {
	return &onceBody{
		r: bytes.NewReader(p),
	}
}

// Read returns the next bytes until the body is closed.
func (b *onceBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, errBodyClosed
	}
	b.opened = true
	return b.r.Read(p)
}

// Close makes the body unreadable.
func (b *onceBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return nil
}

// Opened reports whether the body was read at least once.
func (b *onceBody) Opened() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.opened
}

var _ io.ReadCloser = (*onceBody)(nil)
