package bmsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor/internal/standin/bmstandinplatform"
)

// Defaults, which CI uses.
const (
	defaultSeeds      = "1,2"
	defaultSeconds    = 12
	concurrentCallers = 12
	concurrentFaults  = 2
	engines           = 3
)

// Guards against guarantees that hold only without faults. Random faults are
// injected into processes, connections, the store and replicas, concurrently
// and one after the other, while callers send requests over persistent
// connections.
func TestSoak(t *testing.T) {
	forEachSeed(t, defaultSeeds, runSeed)
}

// forEachSeed runs a test for each seed of SOAK_SEEDS, or of defaults if that is
// not set. length is how long the test injects faults.
func forEachSeed(t *testing.T, defaults string, run func(t *testing.T, binary string, seed uint64, length time.Duration)) {
	t.Helper()
	binary := build(t)
	seeds := defaults
	if s := os.Getenv("SOAK_SEEDS"); s != "" {
		seeds = s
	}
	seconds := defaultSeconds
	if s := os.Getenv("SOAK_SECONDS"); s != "" {
		n, err := strconv.Atoi(s)
		require.NoError(t, err)
		seconds = n
	}
	for _, seed := range strings.Split(seeds, ",") {
		t.Run("seed-"+seed, func(t *testing.T) {
			n, err := strconv.ParseUint(seed, 10, 64)
			require.NoError(t, err)
			run(t, binary, n, time.Duration(seconds)*time.Second)
		})
	}
}

func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "basilmoor")
	out, err := exec.Command("go", "build", "-o", binary, "basilmoor.example/basilmoor/cmd/basilmoor").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// runSeed injects faults for the given length of time, waits for recovery and
// checks all responses.
func runSeed(t *testing.T, binary string, seed uint64, length time.Duration) {
	f := newFleet(t, binary, engines)
	key := &toggledKey{}
	f.setKey("key-toggled", true)
	key.record(true)
	c := &callers{
		fleet: f,
	}
	ctx, cancel := context.WithCancel(context.Background())
	for i := range concurrentCallers {
		c.wg.Add(1)
		go c.run(ctx, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	injector := &injector{
		fleet: f,
		key:   key,
		until: time.Now().Add(length),
	}
	for i := range concurrentFaults {
		injector.wg.Add(1)
		go injector.run(t, rand.New(rand.NewPCG(seed, uint64(100+i))))
	}
	injector.wg.Wait()
	f.waitReady()
	injector.checkChangeAfterRestoration(t)
	time.Sleep(time.Second)
	cancel()
	c.wg.Wait()
	c.check(t, key)
}

// injector injects faults, one after the other in each of its goroutines.
type injector struct {
	fleet *fleet
	key   *toggledKey
	until time.Time
	wg    sync.WaitGroup

	mu      sync.Mutex // serializes changes of the key
	revoked bool
	copies  []bmstandinplatform.Copy // of the store, one before each fault
}

func (j *injector) run(t *testing.T, rng *rand.Rand) {
	defer j.wg.Done()
	for time.Now().Before(j.until) {
		j.recordCopy()
		name, fault := j.pickFault(rng)
		t.Logf("%s: %s", time.Now().Format("05.000"), name)
		fault()
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
	}
}

// pickFault chooses a random fault. The returned function injects it and, unless
// the fault is instantaneous, ends it before it returns.
func (j *injector) pickFault(rng *rand.Rand) (string, func()) {
	h := j.fleet.hosts[rng.IntN(hosts)]
	target := j.fleet.targets[rng.IntN(len(j.fleet.targets))]
	duration := time.Duration(200+rng.IntN(2500)) * time.Millisecond
	mode := []proxyMode{modeDelay, modeDropAll, modeDropResponses}[rng.IntN(3)]
	faults := []struct {
		name string
		run  func()
	}{
		{"kill " + h.name, func() { h.signal(syscall.SIGKILL) }},
		{"stop " + h.name, func() { h.signal(syscall.SIGTERM); time.Sleep(duration) }},
		{"reload " + h.name, func() { h.signal(syscall.SIGHUP) }},
		{"pause " + h.name, func() {
			h.signal(syscall.SIGSTOP)
			time.Sleep(duration)
			h.signal(syscall.SIGCONT)
		}},
		{"degrade the path to the store of " + h.name, func() { degradePath(h.store, mode, duration) }},
		{"reset the path to the store of " + h.name, h.store.reset},
		{"degrade the path to a replica", func() { degradePath(target, mode, duration) }},
		{"reset the paths to all replicas", func() {
			for _, p := range j.fleet.targets {
				p.reset()
			}
		}},
		{"store down", func() {
			j.fleet.store.SetDown(true)
			time.Sleep(duration)
			j.fleet.store.SetDown(false)
		}},
		{"store loses responses", func() {
			j.fleet.store.SetLoseResponses(true)
			time.Sleep(duration)
			j.fleet.store.SetLoseResponses(false)
		}},
		{"compact the store", j.fleet.store.Compact},
		{"restore the store from a copy and toggle the key", func() {
			j.fleet.restoreStore(j.pickCopy(rng), time.Duration(rng.IntN(1000))*time.Millisecond)
			j.changeKey()
		}},
		{"toggle the key", j.changeKey},
		{"odd entries of another writer", func() { j.writeOddEntries(rng, duration) }},
	}
	f := faults[rng.IntN(len(faults))]
	return f.name, f.run
}

func (j *injector) recordCopy() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.copies = append(j.copies, j.fleet.store.Copy())
}

// pickCopy returns one of the latest copies of the store, which are some seconds old.
func (j *injector) pickCopy(rng *rand.Rand) bmstandinplatform.Copy {
	j.mu.Lock()
	defer j.mu.Unlock()
	const latest = 12
	n := min(len(j.copies), latest)
	return j.copies[len(j.copies)-1-rng.IntN(n)]
}

// checkChangeAfterRestoration restores the store from its oldest copy and checks that a
// change which the store acknowledges then is in effect on all hosts in time.
func (j *injector) checkChangeAfterRestoration(t *testing.T) {
	j.fleet.restoreStore(j.copies[0], 0)
	j.fleet.setKey("key-last", true)
	acknowledged := time.Now()
	sender, closeSender := newSender()
	defer closeSender()
	for _, h := range j.fleet.hosts {
		attempts := 0
		assert.Eventually(t, func() bool {
			attempts++
			return sender.send(h, fmt.Sprint("last-", h.name, "-", attempts), "/again/", "key-last", "").status == http.StatusOK
		}, time.Until(acknowledged.Add(configBound)), 50*time.Millisecond, "%s does not know the key that was added after the restoration", h.name)
	}
}

// degradePath sets a proxy's mode for the given duration.
func degradePath(p *proxy, m proxyMode, duration time.Duration) {
	p.set(m)
	time.Sleep(duration)
	p.set(modeForward)
	// Close the connections, so that data after a dropped chunk is not forwarded
	// on them.
	p.reset()
}

func (j *injector) changeKey() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.revoked = !j.revoked
	valid := !j.revoked // the key is valid at first
	j.fleet.setKey("key-toggled", valid)
	j.key.record(valid)
}
