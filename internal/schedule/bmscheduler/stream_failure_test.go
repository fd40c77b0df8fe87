package bmscheduler

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// proxy forwards TCP connections to a node. After freeze, existing connections
// stay open but deliver nothing, while new ones work.
type proxy struct {
	listener net.Listener
	backend  string
	wg       sync.WaitGroup

	mu     sync.Mutex
	frozen map[net.Conn]bool
	conns  []net.Conn
}

func newProxy(t *testing.T, to string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{
		listener: l,
		backend:  to,
		frozen:   make(map[net.Conn]bool),
	}
	p.wg.Add(1)
	go p.run()
	t.Cleanup(func() {
		_ = l.Close()
		p.mu.Lock()
		for _, c := range p.conns {
			_ = c.Close()
		}
		p.mu.Unlock()
		p.wg.Wait()
	})
	return p
}

func (p *proxy) run() {
	defer p.wg.Done()
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.backend)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		p.mu.Unlock()
		p.wg.Add(2)
		go p.loop(in, out)
		go p.loop(out, in)
	}
}

func (p *proxy) loop(to, from net.Conn) {
	defer p.wg.Done()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		frozen := p.frozen[from]
		p.mu.Unlock()
		if frozen && err == nil {
			continue
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		p.frozen[c] = true
	}
}

// Guards against a demand that waits forever on a stream that is still open but
// no longer delivers messages.
func TestSilentStreamIsReplaced(t *testing.T) {
	f := newFleet(t, oneTarget(1))
	a, b := f.start("host-a"), f.start("host-b")
	f.members.set(a.member, b.member)
	owner, others := f.owner(a, b)
	p := newProxy(t, owner.member.Address)
	reached := owner.member
	reached.Address = p.listener.Addr().String()
	f.members.set(others[0].member, reached)

	held := f.await(acquire(context.Background(), owner, demand("r1")))
	require.NoError(t, held.err)
	waiting := acquire(context.Background(), others[0], demand("r2"))
	f.until(func() bool { return others[0].client.pool("models").tracker.status().attached })
	p.freeze()
	held.permit.Observe(basilmoor.Observation{
		Stage: basilmoor.StageReturned,
	})
	granted := f.await(waiting)
	require.NoError(t, granted.err)
	require.Equal(t, int64(1), others[0].metrics.Snapshot()["retries.broker-lost"])
	granted.permit.Observe(basilmoor.Observation{
		Stage: basilmoor.StageFinished,
	})
	f.until(func() bool { return owner.running() == 0 })
}

// Guards against a broker that resumes after a pause with outdated state: its
// hosts may have used other brokers in the meantime.
func TestPausedBrokerResets(t *testing.T) {
	f := newFleet(t, oneTarget(1))
	a, b := f.start("host-a"), f.start("host-b")
	f.members.set(a.member, b.member)
	owner, others := f.owner(a, b)
	held := f.await(acquire(context.Background(), others[0], demand("r1")))
	require.NoError(t, held.err)
	held.permit.Observe(basilmoor.Observation{
		Stage: basilmoor.StageDispatched,
	})
	waiting := acquire(context.Background(), owner, demand("r2"))
	f.until(func() bool { return owner.client.pool("models").tracker.status().attached })

	f.clock.Advance(2 * silenceTimeout)
	f.until(func() bool {
		owner.mu.Lock()
		defer owner.mu.Unlock()
		return owner.policies[0].drops() > 0
	})
	f.until(func() bool { return owner.running() == 1 })
	require.Empty(t, waiting, "the slot is in use")
	held.permit.Observe(basilmoor.Observation{
		Stage: basilmoor.StageFinished,
	})
	granted := f.await(waiting)
	require.NoError(t, granted.err)
	granted.permit.Observe(basilmoor.Observation{
		Stage: basilmoor.StageReturned,
	})
	f.until(func() bool { return owner.running() == 0 })
}
