package bmexchange

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// drainBytes bounds the body of a refusal that is read to use the connection
// again.
const drainBytes = 4 << 10

// Response is the response of a target. It belongs to one goroutine.
type Response struct {
	Status int
	Header http.Header

	client   *Client
	conn     *conn
	target   string
	sent     basilmoor.Millis
	stop     func() bool
	body     io.ReadCloser
	unframed bool // ends with the connection
	last     bool // the target closes the connection afterwards
	spoiled  bool // the connection must not be used again
	complete bool
	closed   bool
}

// Read reads from the body. It returns io.EOF only after the whole body; a
// body that breaks off is a *BrokenError.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.complete = true
		return n, io.EOF
	}
	if err != nil {
		err = r.broken(context.Background(), err)
	}
	return n, err
}

// Close returns the connection to the pool if the response is complete, else
// closes it, which makes the target drop the request.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	running := r.stop()
	if !running || !r.complete || r.spoiled || r.last || r.unframed || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.client.pool.put(r.conn, keepOf(r.Header))
}

// drainShort reads a short body to its end.
func (r *Response) drainShort() {
	n, err := io.Copy(io.Discard, io.LimitReader(r.body, drainBytes))
	r.complete = err == nil && n < drainBytes
}
