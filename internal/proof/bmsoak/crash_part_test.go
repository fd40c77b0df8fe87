package bmsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"basilmoor.example/basilmoor/internal/standin/bmstandinplatform"
)

const (
	crashPartSeeds   = "1"
	crashPartEngines = 9
	soundCallers     = 6

	// The harmful part must be known crashNewsTime after crashesToKnow crashes;
	// laterCrashes may follow.
	crashesToKnow = 5
	crashNewsTime = 4 * time.Second
	laterCrashes  = 3

	// replicaRestartTime is the time from a crash until the replica is back.
	replicaRestartTime = 2 * time.Second
)

// Guards against requests, no two alike, that crash one replica after the other
// with a part of the prompt that they share, while crashed replicas come back under
// new IDs and a host restarts, and against refusing sound requests that share the
// first part and the key.
func TestSoakCrashPart(t *testing.T) {
	forEachSeed(t, crashPartSeeds, runCrashPart)
}

func runCrashPart(t *testing.T, binary string, seed uint64, length time.Duration) {
	f := newFleet(t, binary, 0)
	ctx, cancel := context.WithCancel(context.Background())
	pool := newCrashingPool(ctx, f, crashPartEngines)
	rng := rand.New(rand.NewPCG(seed, 100))
	restarted := rng.IntN(len(f.hosts))
	c := &promptCallers{
		fleet: f,
	}
	for i, h := range f.hosts {
		if i != restarted {
			c.soundHosts = append(c.soundHosts, h)
		}
	}
	c.waitServed(t)
	for i := range soundCallers {
		c.wg.Add(1)
		go c.runSound(ctx, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	began := time.Now()
	restartAt := began.Add(time.Duration(rng.Int64N(int64(length))))
	for time.Since(began) < length {
		c.wg.Add(1)
		go c.runHarmful(f.hosts[rng.IntN(len(f.hosts))])
		if !restartAt.IsZero() && time.Now().After(restartAt) {
			t.Logf("%s: stop %s", time.Now().Format("05.000"), f.hosts[restarted].name)
			f.hosts[restarted].signal(syscall.SIGTERM)
			restartAt = time.Time{}
		}
		time.Sleep(time.Duration(100+rng.IntN(300)) * time.Millisecond)
	}
	cancel()
	c.wg.Wait()
	pool.wg.Wait()
	pool.checkCrashes(t)
	c.checkSound(t, pool)
}

// crashingPool is a pool of engines. Each that crashes is replaced by one with a
// new ID.
type crashingPool struct {
	fleet *fleet
	wg    sync.WaitGroup

	mu       sync.Mutex
	replicas []*bmstandinplatform.Replica // also those that crashed
	crashes  []time.Time
}

func newCrashingPool(ctx context.Context, f *fleet, engines int) *crashingPool {
	p := &crashingPool{
		fleet: f,
	}
	for i := range engines {
		p.wg.Add(1)
		go p.run(ctx, i)
	}
	return p
}

// run keeps one engine running until ctx is done.
func (p *crashingPool) run(ctx context.Context, engine int) {
	defer p.wg.Done()
	for start := 0; ctx.Err() == nil; start++ {
		id := fmt.Sprintf("e%d-%d", engine, start)
		r, stop := bmstandinplatform.NewReplica(id)
		p.fleet.t.Cleanup(stop)
		p.mu.Lock()
		p.replicas = append(p.replicas, r)
		p.mu.Unlock()
		p.fleet.store.Put("servers/"+id, r.Entry("engines", "ready"))
		select {
		case <-ctx.Done():
			return
		case <-r.Crashed():
		}
		p.mu.Lock()
		p.crashes = append(p.crashes, time.Now())
		p.mu.Unlock()
		time.Sleep(replicaRestartTime)
		p.fleet.store.Delete("servers/" + id)
	}
}

// checkCrashes checks that crashes end once the harmful part can be known.
func (p *crashingPool) checkCrashes(t *testing.T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.Logf("%d crashes", len(p.crashes))
	if len(p.crashes) < crashesToKnow {
		return
	}
	known := p.crashes[crashesToKnow-1].Add(crashNewsTime)
	later := 0
	for _, at := range p.crashes {
		if at.After(known) {
			later++
		}
	}
	assert.LessOrEqual(t, later, laterCrashes, "crashes later than %s after the first %d, of %d", crashNewsTime, crashesToKnow, len(p.crashes))
}

// cutAttempts returns the attempts that ran on a replica that crashed.
func (p *crashingPool) cutAttempts() map[string]bool {
	cut := map[string]bool{}
	for _, r := range p.replicas {
		select {
		case <-r.Crashed():
		default:
			continue
		}
		for _, run := range r.Runs() {
			cut[run.Attempt] = true
		}
	}
	return cut
}

// promptCallers sends harmful and sound requests.
type promptCallers struct {
	fleet      *fleet
	soundHosts []*host // hosts that don't stop
	attempts   atomic.Int64
	wg         sync.WaitGroup

	mu    sync.Mutex
	sound []result
}

// send sends a request whose prompt has the given parts and one of its own.
func (c *promptCallers) send(s *sender, h *host, parts string) result {
	n := c.attempts.Add(1)
	return s.send(h, fmt.Sprint("p", n), bmstandinplatform.StreamPrefix, "key-kept", fmt.Sprintf("%s,%x:40", parts, 1<<20+n))
}

const (
	soundParts   = "5001:60"
	harmfulParts = soundParts + "," + bmstandinplatform.CrashPart + ":200"
)

// waitServed waits until each host serves a sound request, because hosts learn of
// the replicas some time after they are ready.
func (c *promptCallers) waitServed(t *testing.T) {
	t.Helper()
	s, closeSender := newSender()
	defer closeSender()
	for _, h := range c.fleet.hosts {
		assert.Eventually(t, func() bool {
			return c.send(s, h, soundParts).status == http.StatusOK
		}, recoveryTimeout, 50*time.Millisecond, "%s serves nothing", h.name)
	}
}

func (c *promptCallers) runHarmful(h *host) {
	defer c.wg.Done()
	s, closeSender := newSender()
	defer closeSender()
	c.send(s, h, harmfulParts)
}

// runSound sends sound requests, one after the other, until ctx is done.
func (c *promptCallers) runSound(ctx context.Context, rng *rand.Rand) {
	defer c.wg.Done()
	s, closeSender := newSender()
	defer closeSender()
	for ctx.Err() == nil {
		r := c.send(s, c.soundHosts[rng.IntN(len(c.soundHosts))], soundParts)
		c.mu.Lock()
		c.sound = append(c.sound, r)
		c.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
	}
}

// checkSound checks that each sound request was served unless its replica crashed.
func (c *promptCallers) checkSound(t *testing.T, p *crashingPool) {
	cut := p.cutAttempts()
	served, excused := 0, 0
	failures := map[string]int{}
	for _, r := range c.sound {
		switch {
		case r.err == nil && r.status == http.StatusOK:
			assert.Equal(t, bmstandinplatform.StreamBody(r.attempt), r.body, "body of %s", r.attempt)
			served++
		case cut[r.attempt]:
			excused++
		default:
			failures[fmt.Sprint(r.status, " ", r.body, " ", r.err)]++
			t.Logf("%s, sent at %s:\n%s", r.attempt, r.sent.Format("05.000"), c.fleet.logOf(r.attempt))
		}
	}
	assert.Empty(t, failures, "sound requests that were not served")
	assert.NotZero(t, served, "no sound request was served")
	t.Logf("%d sound requests, %d served, %d ended with a crash of their replica", len(c.sound), served, excused)
}
