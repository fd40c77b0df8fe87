package bmhostile

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// programs starts the programs under test, by name.
var programs = map[string]func(t *testing.T) *program{
	"entry": startEntry,
	"node":  startNode,
}

const (
	// smallChunk and largeChunk are sizes of chunks in bytes.
	smallChunk = 4
	largeChunk = 64 << 10

	// callerConns is a number of callers whose largest bodies exceed the memory of
	// each program.
	callerConns = 150

	// probeConns is the number of connections that a port for probes serves.
	probeConns = 16

	// peerConns is the number of connections to the port for other hosts.
	peerConns = 40
)

// Guards against a client that ends or hangs a process, or keeps others from being served,
// because the process holds whatever it is sent.
func TestHostileClients(t *testing.T) {
	tests := map[string]struct {
		port     string
		conns    int
		send     func(p *program, c net.Conn)
		then     func(p *program, c net.Conn) // once all have sent; nil for nothing
		programs []string
	}{
		"head-unfinished":           {port: "callers", conns: callerConns, send: sendUnfinishedHead, programs: []string{"entry", "node"}},
		"head-over-limit":           {port: "callers", conns: callerConns, send: sendUnfinishedHead, then: sendMoreFields, programs: []string{"entry", "node"}},
		"head-endless-field":        {port: "callers", conns: callerConns, send: sendEndlessField, programs: []string{"entry", "node"}},
		"empty-lines":               {port: "callers", conns: callerConns, send: sendEmptyLines, programs: []string{"entry", "node"}},
		"empty-lines-after-request": {port: "callers", conns: callerConns, send: sendEmptyLinesAfterRequest, programs: []string{"entry", "node"}},
		"large-chunks-short":        {port: "callers", conns: callerConns, send: sendChunksOf(largeChunk), programs: []string{"entry", "node"}},
		"small-chunks-short":        {port: "callers", conns: callerConns, send: sendChunksOf(smallChunk), programs: []string{"entry", "node"}},
		"huge-chunk-size":           {port: "callers", conns: callerConns, send: sendHugeChunkSize, programs: []string{"entry", "node"}},
		"chunk-extension-endless":   {port: "callers", conns: callerConns, send: sendEndlessExtension, programs: []string{"entry", "node"}},
		"trailer-endless":           {port: "callers", conns: callerConns, send: sendEndlessTrailer, programs: []string{"entry", "node"}},
		"answers-unread":            {port: "callers", conns: callerConns, send: sendUnreadRequests, programs: []string{"entry", "node"}},
		"body-over-limit":           {port: "callers", conns: callerConns, send: sendChunksOf(largeChunk), then: sendMoreChunks, programs: []string{"entry", "node"}},
		"body-announced-over-limit": {port: "callers", conns: callerConns, send: sendAnnouncedOverLimit, programs: []string{"entry", "node"}},
		"body-announced-only":       {port: "callers", conns: callerConns, send: sendAnnouncedOnly, programs: []string{"entry", "node"}},
		"body-sized-short":          {port: "callers", conns: callerConns, send: sendSizedShort, programs: []string{"entry", "node"}},
		"body-whole-unanswered":     {port: "callers", conns: callerConns, send: sendWholeUnanswered, programs: []string{"entry"}},
		"ready-head-unfinished":     {port: "ready", conns: probeConns, send: sendProbeHead, programs: []string{"entry"}},
		"metrics-head-unfinished":   {port: "metrics", conns: probeConns, send: sendProbeHead, programs: []string{"entry"}},
		"admin-head-unfinished":     {port: "admin", conns: probeConns, send: sendProbeHead, programs: []string{"node"}},
		"peers-head-unfinished":     {port: "peers", conns: peerConns, send: sendHTTP2Head, programs: []string{"entry", "node"}},
	}
	for name, tt := range tests {
		for _, target := range tt.programs {
			t.Run(target+"-"+name, func(t *testing.T) {
				p := programs[target](t)
				idle := p.process.peakBytes(t)
				files := p.process.descriptors(t)
				conns := p.attack(t, tt.port, tt.conns, tt.send, tt.then)
				p.check(t, tt.port, idle)
				p.checkReleased(t, conns, files)
			})
		}
	}
}

// attack opens connections, sends on all of them at the same time and returns when all
// have sent what they could. Each step begins when all have done the one before. The
// connections stay open.
func (p *program) attack(t *testing.T, port string, n int, steps ...func(p *program, c net.Conn)) []net.Conn {
	t.Helper()
	require.LessOrEqual(t, n, p.conns)
	conns := make([]net.Conn, n)
	for i := range conns {
		conns[i] = p.dial(t, port)
		require.NoError(t, conns[i].SetWriteDeadline(time.Now().Add(waitLimit)))
	}
	for _, send := range steps {
		if send == nil {
			continue
		}
		var wg sync.WaitGroup
		for _, c := range conns {
			wg.Go(func() { send(p, c) })
		}
		wg.Wait()
		p.settle(t, port)
	}
	return conns
}

// checkReleased closes the connections of an attack and checks that the program closes its
// ends. files is the number of its descriptors before the attack.
func (p *program) checkReleased(t *testing.T, conns []net.Conn, files int) {
	t.Helper()
	const others = 16 // connections that probes, the store and replicas may have by then
	for _, c := range conns {
		_ = c.Close()
	}
	assert.Eventually(t, func() bool { return p.process.descriptors(t) <= files+others }, waitLimit, 50*time.Millisecond,
		"the program has closed the connections that have ended")
}

// check checks the program while the connections of an attack are open. idle is the peak
// memory before the attack.
func (p *program) check(t *testing.T, port string, idle int) {
	t.Helper()
	status, err := p.sendOrdinary(t)
	peak := p.process.peakBytes(t)
	unread := unreadBytes(t, p.ports[port])
	files := p.process.descriptors(t)
	t.Logf("peak memory %d KiB (idle %d KiB), unread %d KiB, descriptors %d, status %d", peak>>10, idle>>10, unread>>10, files, status)
	assert.True(t, p.process.isRunning(), "the process runs")
	assert.Less(t, peak+unread, memoryMB<<20, "bytes held at most")
	assert.Less(t, files, maxFiles, "open descriptors")
	require.NoError(t, err, "an ordinary request")
	assert.Equal(t, http.StatusOK, status, "an ordinary request is answered")
}

// settle waits until the program reads no more of what it was sent and its peak memory
// stays the same.
func (p *program) settle(t *testing.T, port string) {
	t.Helper()
	const still, poll = 500 * time.Millisecond, 50 * time.Millisecond
	held, since := -1, time.Now()
	for end := time.Now().Add(waitLimit); time.Now().Before(end) && p.process.isRunning(); time.Sleep(poll) {
		now := p.process.peakBytes(t) + unreadBytes(t, p.ports[port])
		if now != held {
			held = now
			since = time.Now()
		}
		if time.Since(since) >= still {
			return
		}
	}
}

// sendOrdinary sends one ordinary request on a connection of its own.
func (p *program) sendOrdinary(t *testing.T) (int, error) {
	t.Helper()
	c := p.dial(t, "callers")
	require.NoError(t, c.SetDeadline(time.Now().Add(waitLimit)))
	return exchange(c, p.head+"Content-Length: 6\r\n\r\nprompt")
}

// Guards against a bound on what clients may send that turns away a single request inside
// the limits.
func TestLargestRequests(t *testing.T) {
	tests := map[string]func(p *program) string{
		"head-of-many-fields": func(p *program) string {
			// Each field counts four bytes besides its name.
			const margin, fieldBytes, countedBytes = 512, 8, 9
			return p.head + manyFields((p.headLimit-margin)*fieldBytes/countedBytes) + "Content-Length: 6\r\n\r\nprompt"
		},
		"head-of-one-field": func(p *program) string {
			const margin = 512
			return p.head + "Large: " + strings.Repeat("x", p.headLimit-margin) + "\r\nContent-Length: 6\r\n\r\nprompt"
		},
		"sized-body": func(p *program) string {
			return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", p.head, p.bodyLimit, strings.Repeat("x", p.bodyLimit))
		},
		"body-in-large-chunks": func(p *program) string { return p.chunked(largeChunk) },
		"body-in-small-chunks": func(p *program) string { return p.chunked(smallChunk) },
	}
	for name, start := range programs {
		t.Run(name, func(t *testing.T) {
			p := start(t)
			for name, request := range tests {
				c := p.dial(t, "callers")
				require.NoError(t, c.SetDeadline(time.Now().Add(waitLimit)))
				status, err := exchange(c, request(p))
				require.NoError(t, err, name)
				assert.Equal(t, http.StatusOK, status, name)
			}
		})
	}
}

// chunked returns a request with the largest body in chunks of a size.
func (p *program) chunked(size int) string {
	return p.head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk(size), p.bodyLimit/size) + "0\r\n\r\n"
}
