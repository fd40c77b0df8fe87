package bmgrant

import (
	"context"

	"basilmoor.example/basilmoor"
)

// runner owns a goroutine.
type runner interface {
	run()
}

func startGoroutine(r runner) {
	go r.run()
}

// opener opens a session with a broker and moves the client to it.
type opener struct {
	client *Client
	ctx    context.Context
	to     basilmoor.Member
}

func (o *opener) run() {
	c := o.client
	if o.to.Host == c.self.Host {
		c.opened(newLocalLink(c.broker, c.hello()), nil, o.to)
		return
	}
	l, err := c.dial(o.ctx, o.to)
	c.opened(l, err, o.to)
}

// uplinkSender sends what is pending for the broker.
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
		if err := s.uplink.link.send(s.client.take(s.uplink)); err != nil {
			s.client.lost(s.uplink, err)
			return
		}
	}
}

// uplinkReceiver receives the broker's batches.
type uplinkReceiver struct {
	client *Client
	uplink *uplink
}

func (r *uplinkReceiver) run() {
	for {
		batch, err := r.uplink.link.recv()
		if err != nil {
			r.client.lost(r.uplink, err)
			return
		}
		r.client.receive(r.uplink, batch)
	}
}

// linkClose closes a link apart from the client, because that may take the
// broker's mutex.
type linkClose struct {
	link link
}

func (l *linkClose) run() {
	l.link.close()
}
