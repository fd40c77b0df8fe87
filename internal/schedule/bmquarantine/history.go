package bmquarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"basilmoor.example/basilmoor"
)

const (
	// maxDigests is the number of digests whose deaths are kept.
	maxDigests = 512

	// maxRecordsSent bounds the records that a host sends to another one at a time: 128
	// are about 6 KiB.
	maxRecordsSent = 128
)

// Record is the death of a target under a request that had not been answered, or a later
// answer to such a request, which clears its digest.
type Record struct {
	Digest    uint64
	Target    string // the incarnation that died; empty for an answer
	At        basilmoor.Millis
	GrantedAt basilmoor.Millis // of the run that the death ended; 0 for an answer
}

// answers reports whether the record is that of an answer.
func (r Record) answers() bool {
	return r.Target == ""
}

// digestHistory is what is known of one digest.
type digestHistory struct {
	deaths     map[string]Record // by incarnation
	answeredAt basilmoor.Millis  // of the latest answer after a death; neverAnswered for none
}

// latest returns the time of the latest record.
func (h *digestHistory) latest() basilmoor.Millis {
	at := h.answeredAt
	for _, d := range h.deaths {
		at = max(at, d.At)
	}
	return at
}

// History holds the deaths under digests that a host knows of, its own and those that
// other hosts told it. It outlives the pools of a broker, so that a request that crashes
// targets is found out although the broker changes between two deaths. Shared parts of
// prompts are left out: a host does not know which of them were answered elsewhere.
//
// Of the records of one death the earliest is kept, because each way through the fleet
// adds its delay, and the order of deaths and grants decides what they prove. Merging is
// commutative and idempotent within the bounds, unless an answer lies between two such
// records. It is safe for concurrent use.
type History struct {
	mu      sync.Mutex
	digests map[uint64]*digestHistory
}

// NewHistory returns a history without records.
func NewHistory() *History {
	return &History{
		digests: map[uint64]*digestHistory{},
	}
}

// Knows reports whether deaths under a digest are known that no answer has cleared.
func (h *History) Knows(digest uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.digests[digest]
	return ok && len(known.deaths) > 0
}

// Merge adds records and returns those that were new.
func (h *History) Merge(now basilmoor.Millis, records []Record) []Record {
	if len(records) == 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var fresh []Record
	for _, r := range records {
		if now-r.At < retention && h.add(r) {
			fresh = append(fresh, r)
		}
	}
	h.prune(now)
	return fresh
}

// add adds a record and reports whether it was new.
func (h *History) add(r Record) bool {
	known, ok := h.digests[r.Digest]
	if !ok {
		known = &digestHistory{
			deaths:     map[string]Record{},
			answeredAt: neverAnswered,
		}
		h.digests[r.Digest] = known
	}
	if r.answers() {
		if r.At <= known.answeredAt {
			return false
		}
		known.answeredAt = r.At
		for target, d := range known.deaths {
			if d.At <= r.At {
				delete(known.deaths, target)
			}
		}
		return true
	}
	if r.At <= known.answeredAt {
		return false
	}
	if d, dup := known.deaths[r.Target]; dup && d.At <= r.At || !dup && len(known.deaths) >= maxDeathsPerSuspicion {
		return false
	}
	known.deaths[r.Target] = r
	return true
}

// prune forgets old digests, and the last in order beyond maxDigests.
func (h *History) prune(now basilmoor.Millis) {
	for digest, known := range h.digests {
		if now-known.latest() >= retention {
			delete(h.digests, digest)
		}
	}
	if len(h.digests) <= maxDigests {
		return
	}
	for _, digest := range h.ordered()[maxDigests:] {
		delete(h.digests, digest)
	}
}

// ordered returns the digests with the most deaths first, since a digest that dies again
// tells more than the many that have died once, and of these the latest first.
func (h *History) ordered() []uint64 {
	digests := slices.Collect(maps.Keys(h.digests))
	slices.SortFunc(digests, func(a, b uint64) int {
		one, other := h.digests[a], h.digests[b]
		return cmp.Or(cmp.Compare(len(other.deaths), len(one.deaths)), cmp.Compare(other.latest(), one.latest()), cmp.Compare(a, b))
	})
	return digests
}

// Records returns the records of the digests with the most deaths, at most
// maxRecordsSent, the earliest first.
func (h *History) Records(now basilmoor.Millis) []Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.prune(now)
	var records []Record
	for _, digest := range h.ordered() {
		known := h.digests[digest]
		if len(records)+len(known.deaths)+1 > maxRecordsSent {
			break
		}
		if known.answeredAt != neverAnswered {
			records = append(records, Record{
				Digest: digest,
				At:     known.answeredAt,
			})
		}
		records = slices.AppendSeq(records, maps.Values(known.deaths))
	}
	slices.SortFunc(records, compareRecords)
	return records
}

// compareRecords orders records by their time.
func compareRecords(a, b Record) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Digest, b.Digest), cmp.Compare(a.Target, b.Target))
}
