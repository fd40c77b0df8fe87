package bmsoak

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor/internal/standin/bmstandinplatform"
)

const (
	// floodEngines are faulty engines, of which each can flood four requests at once.
	floodEngines = 150

	// floodLimit is the time limit of requests that get a slow event, which has several
	// MiB by then.
	floodLimit = 15 * time.Second

	// floodRequests is the number of requests that are sent to them at the same time.
	floodRequests = 4 * floodEngines
)

// Guards against a host that keeps what faulty replicas send without end: many of them
// together take its process over its memory, and the requests of others end with it.
func TestFloodsFitIntoTheMemory(t *testing.T) {
	binary := build(t)
	for _, name := range slices.Sorted(maps.Keys(bmstandinplatform.Floods())) {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, binary, floodEngines)
			h := f.hosts[0]
			process := h.pid()
			var wg sync.WaitGroup
			statuses := make([]int, floodRequests)
			for i := range floodRequests {
				wg.Add(1)
				go func() {
					defer wg.Done()
					s, closeSender := newSender()
					defer closeSender()
					if name == "slow-event" {
						s.limit = floodLimit
						s.client.Timeout = 2 * floodLimit
					}
					statuses[i] = s.send(h, fmt.Sprint("f", i), bmstandinplatform.FloodPrefix+name+"/", "key-kept", "").status
				}()
			}
			wg.Wait()
			assert.Equal(t, process, h.pid(), "the process of the host goes on")
			peak := peakMemory(t, process)
			count := map[int]int{}
			for _, status := range statuses {
				count[status]++
			}
			t.Logf("peak memory %d MiB, requests by status %v", peak>>20, count)
			assert.Less(t, peak, hostMemory, "peak memory of the host in bytes")
			s, closeSender := newSender()
			defer closeSender()
			assert.Equal(t, http.StatusOK, s.send(h, "sound", "/again/", "key-kept", "").status, "a sound request is served")
		})
	}
}

// pid returns the id of the host's current process.
func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process.Process.Pid
}

// peakMemory returns the most memory that a process has held at once, in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			require.NoError(t, err)
			return kib << 10
		}
	}
	t.Fatal("the system does not tell the peak memory")
	return 0
}
