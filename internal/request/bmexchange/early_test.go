package bmexchange

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// earlyTarget answers each request once it has read the head, and at least a part of the
// body, without waiting for the rest.
type earlyTarget struct {
	listener net.Listener
	answer   string
	readFull bool          // reads the whole body before it answers, and does not reset the connection
	finFirst bool          // ends its side in order before it resets or closes the connection
	pause    time.Duration // between the answer, the end of its side and the reset
}

func newEarlyTarget(t *testing.T, s earlyTarget) *earlyTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.listener = l
	go s.run()
	t.Cleanup(func() { _ = l.Close() })
	return &s
}

func (s *earlyTarget) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c.(*net.TCPConn))
	}
}

func (s *earlyTarget) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if s.readFull {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	_, _ = io.WriteString(c, s.answer)
	time.Sleep(s.pause)
	if s.finFirst {
		_ = c.CloseWrite()
		time.Sleep(s.pause)
	}
	if !s.readFull {
		_ = c.SetLinger(0)
	}
}

// Guards against a part of an answer that is taken for the whole: the target answers a
// long upload at once, without a length, and resets the connection while the upload is
// still being written, with or without ending its side in order before.
func TestEarlyAnswersThatBreakOff(t *testing.T) {
	const unmarked = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart"
	const runs = 20
	tests := map[string]struct {
		size     int // of the upload
		finFirst bool
		readFull bool
		whole    bool
	}{
		"a short upload, reset":                     {size: 1 << 10},
		"an upload that fits the buffers, reset":    {size: 64 << 10},
		"an upload beyond the target's, reset":      {size: 512 << 10},
		"an upload beyond all buffers, reset":       {size: 8 << 20},
		"an upload beyond the target's, FIN, reset": {size: 512 << 10, finFirst: true},
		"an upload beyond all buffers, FIN, reset":  {size: 8 << 20, finFirst: true},
		"an upload that was read, FIN":              {size: 512 << 10, finFirst: true, readFull: true, whole: true},
	}
	for name, tt := range tests {
		for _, pause := range []time.Duration{0, 2 * time.Millisecond} {
			t.Run(fmt.Sprint(name, ", pause ", pause), func(t *testing.T) {
				s := newEarlyTarget(t, earlyTarget{
					answer:   unmarked,
					readFull: tt.readFull,
					finFirst: tt.finFirst,
					pause:    pause,
				})
				c := newTestClient(t)
				r := s.request(make([]byte, tt.size))
				for range runs {
					body, err := sendAndRead(c, r)
					if tt.whole {
						require.NoError(t, err)
						require.Equal(t, "part", body)
						continue
					}
					var broken *BrokenError
					require.True(t, errors.As(err, &broken), "%v", err)
				}
			})
		}
	}
}

func (s *earlyTarget) request(body []byte) Request {
	return Request{
		Target: basilmoor.Target{
			Name:    "t",
			Address: s.listener.Addr().String(),
		},
		RequestID: "1",
		Method:    http.MethodPost,
		URI:       "/",
		Host:      "a.example",
		Header:    http.Header{},
		Body:      body,
	}
}
