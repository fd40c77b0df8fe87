package bmgrant

import (
	"context"
	"sync"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmelection"
)

// runner is the body of a goroutine that the client starts.
type runner interface {
	run()
}

func startGoroutine(r runner) {
	go r.run()
}

// electionStep performs an action of the election and those that follow from its
// result.
type electionStep struct {
	client *Client
	ctx    context.Context
	action bmelection.Action
}

func (e *electionStep) run() {
	c := e.client
	next := e.action
	for next.Kind != bmelection.ActionNone {
		switch next.Kind {
		case bmelection.ActionAsk:
			next = c.answered(c.askAll(e.ctx, next.To))
		case bmelection.ActionOpen:
			l, err := c.dial(e.ctx, next.To[0])
			next = c.sessionOpened(l, err, next.To[0])
		case bmelection.ActionLead:
			c.lead()
			next = bmelection.Action{}
		case bmelection.ActionHandOver:
			c.broker.retire(next.To[0])
			next = bmelection.Action{}
		}
	}
	c.electionStepDone()
}

// peerQuestion asks one host which broker it follows.
type peerQuestion struct {
	client *Client
	ctx    context.Context
	to     basilmoor.Member
	answer bmelection.Answer
	err    error
	done   *sync.WaitGroup
}

func (q *peerQuestion) run() {
	defer q.done.Done()
	q.answer, q.err = q.client.ask(q.ctx, q.to)
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
