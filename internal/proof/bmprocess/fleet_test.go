package bmprocess

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor/internal/node/bmadmin"
	"basilmoor.example/basilmoor/internal/node/bmnode"
)

// waitLimit bounds every wait for an event. It is far longer than any step
// needs, so that a test doesn't fail only because the machine is busy.
const waitLimit = 60 * time.Second

const (
	fleetSecret   = "process-test-fleet-secret"
	operatorToken = "process-test-operator-token"
	callerToken   = "process-test-caller-token"
	model         = "coconut-7b"
	engineSlots   = 4
)

var binaries string // directory of the built programs

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bmprocess")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", dir, "basilmoor.example/basilmoor/cmd/...")
	build.Stderr = os.Stderr
	code := 1
	if err := build.Run(); err == nil {
		binaries = dir
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a running program. It collects the program's output.
type process struct {
	t      *testing.T
	name   string
	cmd    *exec.Cmd
	ready  map[string]string // first line of standard output
	exited chan struct{}

	mu  sync.Mutex
	log bytes.Buffer
}

func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) logs() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// start runs a program and waits for the JSON object on the first line of its
// standard output.
func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{
		t:      t,
		name:   name,
		cmd:    exec.Command(filepath.Join(binaries, program), args...),
		exited: make(chan struct{}),
	}
	p.cmd.Stderr = p
	out, err := p.cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, p.cmd.Start())
	t.Cleanup(p.kill)
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err, "%s did not start: %s", name, p.logs())
	require.NoError(t, json.Unmarshal([]byte(line), &p.ready))
	go p.run(out)
	return p
}

func (p *process) run(out io.Reader) {
	_, _ = io.Copy(p, out)
	_ = p.cmd.Wait()
	close(p.exited)
}

func (p *process) signal(s os.Signal) {
	_ = p.cmd.Process.Signal(s)
}

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.waitExit()
}

func (p *process) waitExit() {
	select {
	case <-p.exited:
	case <-time.After(waitLimit):
		p.t.Errorf("%s did not exit: %s", p.name, p.logs())
	}
}

// fleet is a set of nodes and the stand-ins that they use.
type fleet struct {
	t       *testing.T
	store   *process
	hosts   *process
	engines []*process
	service *process
	nodes   []*process
}

func startFleet(t *testing.T, nodes int) *fleet {
	t.Helper()
	f := &fleet{
		t:       t,
		store:   start(t, "store", "basilmoor-standin", "store"),
		hosts:   start(t, "hosts", "basilmoor-standin", "hosts"),
		service: start(t, "service", "basilmoor-standin", "service"),
	}
	for i := range 2 {
		f.engines = append(f.engines, start(t, fmt.Sprintf("engine-%d", i+1), "basilmoor-standin", "engine"))
	}
	for i := range nodes {
		f.addNode(fmt.Sprintf("entry-%d", i+1))
	}
	f.publishHosts()
	f.awaitContact(f.nodes[0])
	f.apply(f.initialNote())
	for _, n := range f.nodes {
		f.waitReady(n)
	}
	return f
}

func (f *fleet) addNode(host string) *process {
	digest := sha256.Sum256([]byte(operatorToken))
	n := start(f.t, host, "basilmoor", "node",
		"-host", host,
		"-data-centre", "bole",
		"-region", "addis",
		"-callers-address", "127.0.0.1:0",
		"-peers-address", "127.0.0.1:0",
		"-admin-address", "127.0.0.1:0",
		"-store-url", "http://"+f.store.ready["listening"],
		"-host-list-url", "http://"+f.hosts.ready["listening"],
		"-fleet-secret", fleetSecret,
		"-operator-tokens", "tester:operator:"+hex.EncodeToString(digest[:]),
	)
	f.nodes = append(f.nodes, n)
	return n
}

// publishHosts replaces the platform's host list with the running nodes.
func (f *fleet) publishHosts() {
	type host struct {
		Host       string `json:"host"`
		Address    string `json:"address"`
		DataCentre string `json:"data-centre"`
		Region     string `json:"region"`
		Leaving    bool   `json:"leaving"`
	}
	list := []host{}
	for _, n := range f.nodes {
		list = append(list, host{
			Host:       n.name,
			Address:    n.ready["peers"],
			DataCentre: "bole",
			Region:     "addis",
		})
	}
	b, err := json.Marshal(list)
	require.NoError(f.t, err)
	f.put("http://"+f.hosts.ready["listening"]+"/v1/hosts", b)
}

func (f *fleet) put(url string, body []byte) {
	f.t.Helper()
	r, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	require.NoError(f.t, err)
	w, err := http.DefaultClient.Do(r)
	require.NoError(f.t, err)
	defer func() { _ = w.Body.Close() }()
	require.Less(f.t, w.StatusCode, 300, "PUT %s", url)
}

func (f *fleet) post(url, body string) {
	f.t.Helper()
	w, err := http.Post(url, "application/json", strings.NewReader(body))
	require.NoError(f.t, err)
	defer func() { _ = w.Body.Close() }()
	b, _ := io.ReadAll(w.Body)
	require.Less(f.t, w.StatusCode, 300, "POST %s: %s", url, b)
}

func (f *fleet) initialNote() string {
	digest := sha256.Sum256([]byte(callerToken))
	var targets strings.Builder
	for _, e := range f.engines {
		fmt.Fprintf(&targets, "    - {name: %s, pool: models, type: engine, address: %q, data-centre: bole, models: [%s], slots: %d}\n", e.name, e.ready["listening"], model, engineSlots)
	}
	fmt.Fprintf(&targets, "    - {name: ledger-1, pool: ledger, type: service, address: %q, data-centre: bole, slots: 8}\n", f.service.ready["listening"])
	return fmt.Sprintf(`schema: 1
note: first
added:
  tiers:
    - {name: payouts, rank: 0}
    - {name: plans, rank: 1}
    - {name: notes, rank: 2}
  workspaces:
    - {name: blue-carts, token-digests: [%s], weight: 1, default-tier: plans}
  pools:
    - {name: models, region: addis}
    - {name: ledger, region: addis}
  kinds:
    - {name: restock-plan, pool: models, model: %s, deadline-ms: 20000}
    - {name: payout, pool: ledger, path-prefix: /ledger/payouts, tier: payouts, non-idempotent: true, key-required: true, deadline-ms: 20000}
    - {name: lookup, pool: ledger, path-prefix: /ledger/stock, deadline-ms: 20000}
  targets:
%s`, hex.EncodeToString(digest[:]), model, targets.String())
}

func (f *fleet) admin(n *process) *bmadmin.Client {
	return bmadmin.NewClient("http://"+n.ready["admin"], operatorToken)
}

// apply submits a note through the first node and waits until all nodes hold
// its version.
func (f *fleet) apply(note string) {
	f.t.Helper()
	a, err := f.admin(f.nodes[0]).AcceptNote(context.Background(), []byte(note))
	require.NoError(f.t, err, f.nodes[0].logs())
	for _, n := range f.nodes {
		f.waitVersion(n, a.Version)
	}
}

func (f *fleet) waitVersion(n *process, version int64) {
	f.t.Helper()
	f.eventually("configuration version on "+n.name, func() bool {
		s, err := f.admin(n).Status(context.Background())
		return err == nil && s.ConfigVersion >= version
	})
}

// awaitContact waits until a node hears from most hosts. Between its first read of the list
// of hosts and their heartbeats it refuses notes, since other hosts may hold a version.
func (f *fleet) awaitContact(n *process) {
	f.t.Helper()
	f.eventually("contact of "+n.name, func() bool {
		s, err := f.admin(n).Status(context.Background())
		return err == nil && len(s.Hosts) >= len(f.nodes)
	})
}

func (f *fleet) waitReady(n *process) {
	f.t.Helper()
	f.eventually(n.name+" ready", func() bool { return f.isReady(n) })
}

// isReady queries the readiness path, as the platform's load balancer does.
func (f *fleet) isReady(n *process) bool {
	w, err := http.Get("http://" + n.ready["callers"] + bmnode.ReadyPath)
	if err != nil {
		return false
	}
	_ = w.Body.Close()
	return w.StatusCode == http.StatusOK
}

// isMarkedLeaving reports whether a node has marked a target as leaving.
func (f *fleet) isMarkedLeaving(n *process, target string) bool {
	s, err := f.admin(n).Status(context.Background())
	if err != nil {
		return false
	}
	for _, t := range s.Targets {
		if t.Name == target {
			return t.Leaving
		}
	}
	return false
}

// eventually polls until ok returns true. It fails the test after waitLimit.
func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	for _, n := range f.nodes {
		f.t.Logf("log of %s:\n%s", n.name, n.logs())
	}
	f.t.Fatalf("timed out waiting for: %s", what)
}

// liftCrashes releases every held-back request through the operators' API.
func (f *fleet) liftCrashes(n *process) error {
	list, err := f.admin(n).Crashes(context.Background())
	if err != nil {
		return err
	}
	for _, c := range list {
		if err := f.admin(n).LiftCrash(context.Background(), c.Digest); err != nil {
			return err
		}
	}
	return nil
}

// crashedTargets counts the targets that a node has recorded as having died
// while running a request.
func (f *fleet) crashedTargets(n *process) int {
	list, err := f.admin(n).Crashes(context.Background())
	require.NoError(f.t, err)
	targets := make(map[string]bool)
	for _, c := range list {
		for _, t := range c.Targets {
			targets[t] = true
		}
	}
	return len(targets)
}
