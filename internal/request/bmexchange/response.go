package bmexchange

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// maxDrainBytes is the size up to which the body of a refusal is read in order to
// reuse the connection.
const maxDrainBytes = 4 << 10

// Response is the response of a target. It is not safe for concurrent use.
type Response struct {
	Status int
	Header http.Header

	client           *Client
	conn             *conn
	ctx              context.Context
	reused           bool // the connection had served a request before
	target           string
	sentAt           basilmoor.Millis
	stopContextWatch func() bool
	body             io.ReadCloser
	closeDelimited   bool // the body ends when the connection is closed
	closesConnection bool // the target closes the connection after the response
	notReusable      bool // the connection must not be reused
	complete         bool
	closed           bool
}

// Read reads from the body. It returns io.EOF only after the complete body, and
// a *BrokenError if the body is truncated.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) && r.closeDelimited {
		if early := r.conn.checkEnd(); early != nil {
			return n, r.endedEarly(early)
		}
	}
	if errors.Is(err, io.EOF) {
		r.complete = true
		return n, io.EOF
	}
	if err != nil {
		err = r.newBrokenError(err)
	}
	return n, err
}

// endedEarly returns the error of a response whose end is not that of the whole body.
func (r *Response) endedEarly(cause error) *BrokenError {
	r.client.metrics.Add("exchange.early-ends", 1)
	return r.Broken(cause)
}

// ConfirmEnd returns a *BrokenError if a response without a marked end turns out to have
// been broken off after Read has reported its end, because the target has reset the
// connection meanwhile.
func (r *Response) ConfirmEnd() error {
	if !r.closeDelimited {
		return nil
	}
	if early := r.conn.checkEnd(); early != nil {
		return r.endedEarly(early)
	}
	return nil
}

// EndMarked reports whether the end of the body is marked by its length or by its
// chunks, or whether the response can have no body. Otherwise it is the end of the
// connection, which may also be the end of the target.
func (r *Response) EndMarked() bool {
	return !r.closeDelimited
}

// Broken returns the error of a response whose body is not what it should be, and
// keeps the connection from being reused.
func (r *Response) Broken(cause error) *BrokenError {
	r.notReusable = true
	return r.newBrokenError(cause)
}

// Close returns the connection to the pool if it can be reused. Otherwise it
// closes the connection, which makes the target cancel the request.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	contextActive := r.stopContextWatch()
	if !contextActive || !r.complete || r.notReusable || r.closesConnection || r.closeDelimited || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.client.pool.put(r.conn, idleTimeoutOf(r.Header))
}

// drain reads the body to its end, unless it exceeds maxDrainBytes.
func (r *Response) drain() {
	n, err := io.Copy(io.Discard, io.LimitReader(r.body, maxDrainBytes))
	r.complete = err == nil && n < maxDrainBytes
}
