package bmmemory

import (
	"io"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

const (
	// SendBufferBytes is the largest part of a body that is copied to send it.
	SendBufferBytes = 64 << 10

	// sizedStartBytes and unsizedStartBytes are allocated at most before the first byte
	// of a body with a known size, and with an unknown one.
	sizedStartBytes   = 16 << 10
	unsizedStartBytes = 1 << 10
)

// ErrNoRoom means that the budget has no room for a request, or that the request was
// evicted.
var ErrNoRoom = errors.New("the memory for callers is used up")

// Body is a body that is to be read.
type Body struct {
	Reader io.Reader // must fail beyond Limit
	Size   int64     // announced length; negative if it is not known
	Limit  int64     // largest length
	Rank   int       // of the request; 0 is the highest
}

// sizeBound returns the length that the body has at most.
func (b Body) sizeBound() int64 {
	if b.Size >= 0 {
		return b.Size
	}
	return b.Limit
}

// ReadBody reads a body to its end into memory of the account. What is allocated is at
// most twice as much as has arrived, beyond a small start. After an error the account
// holds nothing of the body.
func (a *Account) ReadBody(b Body, clock basilmoor.Clock) ([]byte, error) {
	before := a.held()
	body, err := a.readBody(b, clock)
	if err != nil {
		a.shrink(before)
		return nil, err
	}
	return body, nil
}

func (a *Account) readBody(b Body, clock basilmoor.Clock) ([]byte, error) {
	start := int64(unsizedStartBytes)
	if b.Size >= 0 {
		start = sizedStartBytes
	}
	body, err := a.resize(nil, min(start, b.sizeBound()), b.Rank, clock)
	if err != nil {
		return nil, err
	}
	for b.Size < 0 || int64(len(body)) < b.Size {
		if len(body) == cap(body) && int64(len(body)) < b.sizeBound() {
			body, err = a.resize(body, min(2*int64(cap(body)), b.sizeBound()), b.Rank, clock)
			if err != nil {
				return nil, err
			}
		}
		body, err = a.read(b.Reader, body, clock)
		if b.Size < 0 && errors.Is(err, io.EOF) {
			break
		}
		if err != nil && int64(len(body)) != b.Size {
			return nil, a.readError(err)
		}
	}
	if !a.Complete() {
		return nil, ErrNoRoom
	}
	return body, nil
}

// read reads a part of a body. At the limit of its length only the end can follow.
func (a *Account) read(r io.Reader, body []byte, clock basilmoor.Clock) ([]byte, error) {
	free := body[len(body):cap(body)]
	var beyond [1]byte
	if len(free) == 0 {
		_, err := r.Read(beyond[:])
		return body, err
	}
	n, err := r.Read(free)
	a.Received(n, clock)
	return body[:len(body)+n], err
}

// resize moves a body to a slice of another capacity.
func (a *Account) resize(body []byte, capacity int64, rank int, clock basilmoor.Clock) ([]byte, error) {
	if !a.Grow(bodyCost(capacity)-bodyCost(int64(cap(body))), rank, clock) {
		return nil, ErrNoRoom
	}
	return append(make([]byte, 0, capacity), body...), nil
}

// readError returns the error of a read, whose cause may be the eviction of the request.
func (a *Account) readError(err error) error {
	switch {
	case a.Evicted():
		return ErrNoRoom
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	}
	return err
}

// bodyCost returns what a body takes together with the copy of a part that is being sent.
func bodyCost(size int64) int64 {
	return size + min(size, SendBufferBytes)
}
