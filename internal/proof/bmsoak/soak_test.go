package bmsoak

import (
	"context"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Defaults of a run in CI.
const (
	defaultSeeds   = "1,2"
	defaultSeconds = 12
	callersAtOnce  = 12
	faultsAtOnce   = 2
)

// Guards against promises that hold only while nothing fails: random faults hit
// processes, connections, the store and replicas, several at once and in
// series, while callers keep their connections.
func TestSoak(t *testing.T) {
	binary := build(t)
	seeds := defaultSeeds
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
			soak(t, binary, n, time.Duration(seconds)*time.Second)
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

func soak(t *testing.T, binary string, seed uint64, length time.Duration) {
	f := newFleet(t, binary)
	defer keepLogs(t, f)
	key := &toggle{}
	f.setKey("key-toggled", true)
	key.note(true)
	c := &callers{
		fleet: f,
	}
	ctx, cancel := context.WithCancel(context.Background())
	for i := range callersAtOnce {
		c.wg.Add(1)
		go c.run(ctx, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	injector := &injector{
		fleet: f,
		key:   key,
		until: time.Now().Add(length),
	}
	for i := range faultsAtOnce {
		injector.wg.Add(1)
		go injector.run(t, rand.New(rand.NewPCG(seed, uint64(100+i))))
	}
	injector.wg.Wait()
	f.awaitReady()
	time.Sleep(time.Second)
	cancel()
	c.wg.Wait()
	c.check(t, key)
}

// keepLogs copies the logs of a failed seed to SOAK_LOGS, if that is set.
func keepLogs(t *testing.T, f *fleet) {
	dir := os.Getenv("SOAK_LOGS")
	if !t.Failed() || dir == "" {
		return
	}
	require.NoError(t, os.CopyFS(filepath.Join(dir, strings.ReplaceAll(t.Name(), "/", "-")), os.DirFS(f.dir)))
}

// injector makes faults, one after the other in each of its goroutines.
type injector struct {
	fleet *fleet
	key   *toggle
	until time.Time
	wg    sync.WaitGroup

	mu    sync.Mutex // one change of the key at a time
	valid bool
}

func (j *injector) run(t *testing.T, rng *rand.Rand) {
	defer j.wg.Done()
	for time.Now().Before(j.until) {
		name, fault := j.pick(rng)
		t.Logf("%s: %s", time.Now().Format("05.000"), name)
		fault()
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
	}
}

// pick draws a fault. Each one ends before it returns.
func (j *injector) pick(rng *rand.Rand) (string, func()) {
	h := j.fleet.hosts[rng.IntN(hosts)]
	target := j.fleet.targets[rng.IntN(len(j.fleet.targets))]
	lasting := time.Duration(200+rng.IntN(2500)) * time.Millisecond
	mode := []proxyMode{delays, silences, oneWay}[rng.IntN(3)]
	faults := []struct {
		name string
		run  func()
	}{
		{"kill " + h.name, func() { h.signal(syscall.SIGKILL) }},
		{"stop " + h.name, func() { h.signal(syscall.SIGTERM); time.Sleep(lasting) }},
		{"reload " + h.name, func() { h.signal(syscall.SIGHUP) }},
		{"pause " + h.name, func() {
			h.signal(syscall.SIGSTOP)
			time.Sleep(lasting)
			h.signal(syscall.SIGCONT)
		}},
		{"harm the path to the store of " + h.name, func() { disturb(h.store, mode, lasting) }},
		{"reset the path to the store of " + h.name, h.store.reset},
		{"harm the path to a replica", func() { disturb(target, mode, lasting) }},
		{"reset the paths to all replicas", func() {
			for _, p := range j.fleet.targets {
				p.reset()
			}
		}},
		{"store down", func() {
			j.fleet.store.SetDown(true)
			time.Sleep(lasting)
			j.fleet.store.SetDown(false)
		}},
		{"store loses answers", func() {
			j.fleet.store.LoseAnswers(true)
			time.Sleep(lasting)
			j.fleet.store.LoseAnswers(false)
		}},
		{"store forgets its history", j.fleet.store.Compact},
		{"change the key", j.changeKey},
	}
	f := faults[rng.IntN(len(faults))]
	return f.name, f.run
}

func disturb(p *proxy, m proxyMode, lasting time.Duration) {
	p.set(m)
	time.Sleep(lasting)
	p.set(passes)
	// What was swallowed must not be followed by what was not.
	p.reset()
}

func (j *injector) changeKey() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.valid = !j.valid
	valid := !j.valid // the key begins valid
	j.fleet.setKey("key-toggled", valid)
	j.key.note(valid)
}
