package bmhostile

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// memoryMB is the memory of each program, and maxFiles the number of descriptors
	// that it may have.
	memoryMB = 64
	maxFiles = 700

	// waitLimit bounds every wait for an event. It is far longer than any step needs.
	waitLimit = 60 * time.Second
)

var binaries string // directory of the built programs

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bmhostile")
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

// process is a running program. Nothing restarts it.
type process struct {
	cmd     *exec.Cmd
	logPath string
	exited  chan struct{}
}

// startProcess runs a program with at most files open files; 0 for the limit of the test.
// Its output goes to a file.
func startProcess(t *testing.T, files int, program string, args ...string) *process {
	t.Helper()
	p := &process{
		logPath: filepath.Join(t.TempDir(), "log"),
		exited:  make(chan struct{}),
	}
	log, err := os.Create(p.logPath)
	require.NoError(t, err)
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(filepath.Join(binaries, program), args...)
	if files > 0 {
		// The shell is replaced by the program, which keeps its process id.
		script := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, files)
		p.cmd = exec.Command("sh", append([]string{"-c", script, p.cmd.Path}, args...)...)
	}
	p.cmd.Env = append(os.Environ(), fmt.Sprint("BASILMOOR_MEMORY_MB=", memoryMB))
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	require.NoError(t, p.cmd.Start())
	go p.run()
	t.Cleanup(p.kill)
	return p
}

func (p *process) run() {
	_ = p.cmd.Wait()
	close(p.exited)
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

func (p *process) isRunning() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) log() string {
	raw, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// peakBytes returns the most resident memory that the process has had.
func (p *process) peakBytes(t *testing.T) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			require.NoError(t, err)
			return kib << 10
		}
	}
	t.Fatal("the system does not tell the peak memory")
	return 0
}

// descriptors returns the number of open descriptors of the process.
func (p *process) descriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	require.NoError(t, err)
	return len(entries)
}

// Columns of /proc/net/tcp.
const (
	tcpLocalAddress = 1
	tcpQueues       = 4 // TX:RX
	tcpColumns      = 5
)

// unreadBytes returns the number of bytes that have arrived at connections of a listener
// and were not read.
func unreadBytes(t *testing.T, address string) int {
	t.Helper()
	host, port, err := net.SplitHostPort(address)
	require.NoError(t, err)
	ip := net.ParseIP(host).To4()
	n, err := strconv.Atoi(port)
	require.NoError(t, err)
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], n)
	raw, err := os.ReadFile("/proc/net/tcp")
	require.NoError(t, err)
	sum := 0
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) < tcpColumns || fields[tcpLocalAddress] != local {
			continue
		}
		_, rx, _ := strings.Cut(fields[tcpQueues], ":")
		queued, err := strconv.ParseUint(rx, 16, 32)
		require.NoError(t, err)
		sum += int(queued)
	}
	return sum
}
