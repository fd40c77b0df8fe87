package bmdispatch

import (
	"bytes"
	"io"
	"sync"

	"github.com/pkg/errors"
)

var errBodyClosed = errors.New("request body is closed")

// singleReadBody is a request body that can be read from start to end at most
// once. Requests without a body also have one, because net/http considers a
// request with a nil body replayable.
type singleReadBody struct {
	mu     sync.Mutex
	r      *bytes.Reader
	opened bool
	closed bool
}

func newSingleReadBody(p []byte) *singleReadBody {
	return &singleReadBody{
		r: bytes.NewReader(p),
	}
}

// Read reads the next bytes. It fails once the body is closed.
func (b *singleReadBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, errBodyClosed
	}
	b.opened = true
	return b.r.Read(p)
}

// Close makes further reads fail.
func (b *singleReadBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return nil
}

// Opened reports whether Read was called before Close.
func (b *singleReadBody) Opened() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.opened
}

var _ io.ReadCloser = (*singleReadBody)(nil)
