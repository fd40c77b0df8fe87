package bmgrant

import (
	"context"

	"basilmoor.example/basilmoor"
)

// runner is the body of a goroutine that the client starts.
type runner interface {
	run()
}

func startGoroutine(r runner) {
	go r.run()
}

// sessionOpener opens a session with a broker and passes the result to the
// client.
type sessionOpener struct {
	client *Client
	ctx    context.Context
	to     basilmoor.Member
}

func (o *sessionOpener) run() {
	c := o.client
	if o.to.Host == c.self.Host {
		c.sessionOpened(newLocalLink(c.broker, c.hello()), nil, o.to)
		return
	}
	l, err := c.dial(o.ctx, o.to)
	c.sessionOpened(l, err, o.to)
}

// uplinkSender sends the pending batches to the broker until the session ends.
type uplinkSender struct {
	client *Client
	uplink *uplink
}

func (s *uplinkSender) run() {
	for {
		select {
		case <-s.uplink.ended:
			return
		case <-s.uplink.wake:
		}
		if err := s.uplink.link.send(s.client.takePending(s.uplink)); err != nil {
			s.client.sessionLost(s.uplink, err)
			return
		}
	}
}

// uplinkReceiver receives the broker's batches until the session ends.
type uplinkReceiver struct {
	client *Client
	uplink *uplink
}

func (r *uplinkReceiver) run() {
	for {
		batch, err := r.uplink.link.recv()
		if err != nil {
			r.client.sessionLost(r.uplink, err)
			return
		}
		r.client.handleBatch(r.uplink, batch)
	}
}

// linkCloser closes a link in its own goroutine, because closing may lock the
// broker's mutex while the client holds its own.
type linkCloser struct {
	link link
}

func (l *linkCloser) run() {
	l.link.close()
}
