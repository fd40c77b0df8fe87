// Package bmholdoff keeps to which targets a host must not send requests, because the
// targets said so in their answers: those that leave, and those that asked to be left
// alone for a time.
//
// A Table is the state of one host, which owns it and is bound by what was said to it. It
// has no I/O and takes the time as an argument. What it holds is lost when the host
// restarts: then the view tells which targets leave, and a target that is still full says
// so again. A change of the broker does not touch it. The time must go on while the host
// is suspended, so that a hold-off does not last longer than it was asked for.
package bmholdoff

import (
	"sync"

	"basilmoor.example/basilmoor"
)

const (
	// maxHoldOff bounds the time for which a target can ask to be left alone, so that a
	// mistake does not cost it for good.
	maxHoldOff = 10 * basilmoor.Minute

	// retention is how long a target that leaves is remembered after it was last
	// listed. It is longer than a store's copy may bring it back.
	retention = 60 * basilmoor.Minute

	// maxTargets bounds the targets that are remembered.
	maxTargets = 1 << 16
)

// Notice is what a target says in an answer about further requests.
type Notice struct {
	// Leaving is set if the target takes no new requests before it ends.
	Leaving bool
	// RetryAfter is the time for which the target wants no requests from this host; 0
	// for none.
	RetryAfter basilmoor.Millis
}

// Table holds the notices of targets. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[string]entry // by the name of the target
}

// entry is what one target has said.
type entry struct {
	born    int64 // of the target's process, 0 if unknown
	leaving bool
	until   basilmoor.Millis // end of the time for which it wants no requests
	listed  basilmoor.Millis // when it was last known to be listed
}

// New returns an empty table.
func New() *Table {
	return &Table{
		entries: map[string]entry{},
	}
}

// Record records a notice of a target at a time. It reports whether the target was sent
// requests before and must not be sent any now.
func (t *Table) Record(now basilmoor.Millis, target basilmoor.Target, n Notice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[target.Name]
	if !known && (len(t.entries) >= maxTargets || !n.Leaving && n.RetryAfter <= 0) {
		return false
	}
	if e.born > target.Born {
		return false // of an earlier process
	}
	if e.isOutlivedBy(target) {
		e = entry{}
	}
	before := e.blocks(now)
	e.born = target.Born
	e.leaving = e.leaving || n.Leaving
	e.listed = now
	if n.RetryAfter > 0 {
		e.until = max(e.until, now+min(n.RetryAfter, maxHoldOff))
	}
	t.entries[target.Name] = e
	return !before && e.blocks(now)
}

// isOutlivedBy reports whether a target is a later process than the one that e is of. A
// target of which no start is known is taken for the same one: its name alone does not
// tell.
func (e entry) isOutlivedBy(target basilmoor.Target) bool {
	return target.Born > e.born && e.born > 0
}

func (e entry) blocks(now basilmoor.Millis) bool {
	return e.leaving || now < e.until
}

// Blocks reports whether a target must not be sent a request.
func (t *Table) Blocks(now basilmoor.Millis, target basilmoor.Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[target.Name]
	return known && !e.isOutlivedBy(target) && e.blocks(now)
}

// Split returns the names of those targets that must not be sent requests. If that are
// all of them, wait is the time until the first one may be sent requests again; never is
// set if all of them leave.
func (t *Table) Split(now basilmoor.Millis, targets []basilmoor.Target) (blocked []string, wait basilmoor.Millis, never bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) == 0 {
		return nil, 0, false
	}
	never = true
	first := basilmoor.Millis(0)
	for _, target := range targets {
		e, known := t.entries[target.Name]
		if !known || e.isOutlivedBy(target) || !e.blocks(now) {
			continue
		}
		blocked = append(blocked, target.Name)
		if !e.leaving && (never || e.until < first) {
			never = false
			first = e.until
		}
	}
	if len(blocked) == 0 || len(blocked) < len(targets) {
		return blocked, 0, false
	}
	if never {
		return blocked, 0, true
	}
	return blocked, first - now, false
}

// Forget removes what no longer matters: hold-offs that have ended, and targets that are
// not listed any more. It returns the names of the targets that may be sent requests
// again.
func (t *Table) Forget(now basilmoor.Millis, listed func(name string) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ended []string
	for name, e := range t.entries {
		if listed(name) {
			e.listed = now
			t.entries[name] = e
		}
		if !e.blocks(now) {
			ended = append(ended, name)
			delete(t.entries, name)
		} else if now-e.listed > retention {
			delete(t.entries, name)
		}
	}
	return ended
}
