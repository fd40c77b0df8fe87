package bmview

import (
	"bytes"

	"basilmoor.example/basilmoor"
)

// FirstEra is the era of a store that was never restored.
const FirstEra int64 = 1

const (
	// settleTime is how long after its return a restored store may lack what the
	// operator had written before: until then reading it proves nothing new.
	settleTime = 2 * basilmoor.Second

	// hostGrace is the time that hosts have to register again: their leases are
	// renewed every 3 s, and a lease of an earlier era is not renewed.
	hostGrace = 5 * basilmoor.Second

	// doubtTime is the time after which entries that were set aside are read again.
	// It is longer than the leases and heartbeats by which entries lapse that nobody
	// renews.
	doubtTime = 12 * basilmoor.Second

	// rereadPeriod is the time between two tries to read such entries again.
	rereadPeriod = basilmoor.Second
)

// restoration is what a host remembers of the latest restoration of the store from a
// copy. What the operator and the targets had written since the copy they write again by
// themselves. Until then the copy is older than what this host knows, which therefore
// counts.
type restoration struct {
	unsettledUntil basilmoor.Millis // calls sent before confirm nothing
	confirmedEra   int64            // of the latest confirmation
	tableEra       int64            // in which the desired state was written first, 0 if unknown
	doubtUntil     basilmoor.Millis // the store may hold entries until then that nobody renews
	reread         bool             // entries were set aside
	rereadAt       basilmoor.Millis // when they are to be read again
}

// enterEra prepares for a view of another era than before. It returns the update without
// the entries that contradict what this host knows. k.mu is held.
func (k *Keeper) enterEra(u Update) Update {
	now := k.clock.Now()
	k.metrics.Set("view.era", u.To.Era)
	if k.position.IsZero() {
		if u.To.Era > FirstEra {
			// Without a memory, this host cannot tell a copy from what was accepted.
			k.restoration.unsettledUntil = now + settleTime
			k.restoration.doubtUntil = now + doubtTime
		}
		return u
	}
	kept, setAside, doubted := k.withoutContradictions(u.Events)
	k.recoveryGraceEnd = now + recoveryGrace
	r := &k.restoration
	r.unsettledUntil = now + settleTime
	r.doubtUntil = now + doubtTime
	r.reread = doubted > 0
	r.rereadAt = r.doubtUntil
	k.metrics.Add("view.restorations", 1)
	k.log.Warn().
		Int64("era", u.To.Era).
		Int64("revision", u.To.Revision).
		Int64("revision-before", k.position.Revision).
		Int("changes", len(kept)).
		Int("set-aside", setAside).
		Int("doubted", doubted).
		Msg("the store came back from a copy")
	u.Events = kept
	return u
}

// withoutContradictions returns the events that don't contradict what this host knows.
// It counts those that are older and that their writer replaces, and those that may be
// right after all.
func (k *Keeper) withoutContradictions(events []basilmoor.Event) (kept []basilmoor.Event, setAside, doubted int) {
	for _, e := range events {
		switch {
		case k.isOutdated(e):
			setAside++
		case k.isDoubtful(e):
			doubted++
		default:
			kept = append(kept, e)
		}
	}
	return kept, setAside, doubted
}

// withoutDoubtful returns the changes that lead to another complete state of the store
// without those that contradict what this host knows, which may come from another host.
// They are read again. k.mu is held.
func (k *Keeper) withoutDoubtful(events []basilmoor.Event) []basilmoor.Event {
	r := &k.restoration
	if k.clock.Now() >= r.doubtUntil {
		return events
	}
	var kept []basilmoor.Event
	for _, e := range events {
		if !k.isDoubtful(e) {
			kept = append(kept, e)
			continue
		}
		r.reread = true
		r.rereadAt = r.doubtUntil
	}
	return kept
}

// isOutdated reports whether an entry of a restored store is a desired state or a record
// of spending that is older than the known one, or lacks it. k.mu is held.
func (k *Keeper) isOutdated(e basilmoor.Event) bool {
	last, _ := k.history.lookUp(e.Entry.Key)
	if last == nil {
		return false
	}
	if e.Deleted {
		memory := k.feed.Decode([]basilmoor.Event{*last})
		return memory.Table != nil || memory.Spending != nil
	}
	restored := k.feed.Decode([]basilmoor.Event{e})
	return k.state.isOlder(restored.Table) || restored.Spending != nil
}

// isDoubtful reports whether an entry of a restored store is a target that takes requests
// again although it leaves or is gone, or a host that is gone, or another order or status
// of a rollout than the known one. A process that started later is not the one that was
// known. k.mu is held.
func (k *Keeper) isDoubtful(e basilmoor.Event) bool {
	last, gone := k.history.lookUp(e.Entry.Key)
	if last == nil || e.Deleted {
		return false
	}
	memory := k.feed.Decode([]basilmoor.Event{*last})
	restored := k.feed.Decode([]basilmoor.Event{e})
	for name, t := range restored.Targets {
		if m := memory.Targets[name]; t != nil && m != nil {
			return isOlderTarget(*t, *m, gone)
		}
	}
	if len(memory.Orders) > 0 || len(memory.Statuses) > 0 {
		return !bytes.Equal(e.Entry.Value, last.Entry.Value)
	}
	for name, h := range restored.Hosts {
		if m := memory.Hosts[name]; h != nil && m != nil {
			return h.Incarnation < m.Incarnation || (gone && h.Incarnation == m.Incarnation)
		}
	}
	return false
}

// isOlderTarget reports whether the entry of a target is older than the known one, which
// may be gone.
func isOlderTarget(t, known basilmoor.Target, gone bool) bool {
	if t.Born != known.Born {
		return t.Born < known.Born
	}
	return gone || (known.Leaving && !t.Leaving)
}

// withoutOlderTable returns the events without the desired states that are older than
// the current one.
func (k *Keeper) withoutOlderTable(events []basilmoor.Event) []basilmoor.Event {
	var kept []basilmoor.Event
	for _, e := range events {
		if !k.state.isOlder(k.feed.Decode([]basilmoor.Event{e}).Table) {
			kept = append(kept, e)
		}
	}
	return kept
}

// recordTable records when a new desired state was written first: in the era of its
// update, if everything that had been written before that era was there already. k.mu is
// held.
func (k *Keeper) recordTable(era int64) {
	k.restoration.tableEra = 0
	if era <= FirstEra || (era == k.position.Era && era == k.restoration.confirmedEra) {
		k.restoration.tableEra = era
	}
}

// settles reports whether a complete state of a restored store shows that the operator
// has written the desired state again: it is the known one at another revision. A copy
// can't have it so if it was written once, in the era before. k.mu is held.
func (k *Keeper) settles(u Update) bool {
	if !u.From.IsZero() || k.position.IsZero() || k.restoration.tableEra != k.position.Era || u.To.Era != k.position.Era+1 {
		return false
	}
	for _, e := range u.Events {
		last, _ := k.history.lookUp(e.Entry.Key)
		if last == nil || last.Entry.Revision == e.Entry.Revision || !bytes.Equal(last.Entry.Value, e.Entry.Value) {
			continue
		}
		if k.feed.Decode([]basilmoor.Event{e}).Table != nil {
			return true
		}
	}
	return false
}

// recordProof records that the view is confirmed in its era. k.mu is held.
func (k *Keeper) recordProof() {
	era := k.position.Era
	if era == k.restoration.confirmedEra {
		return
	}
	if k.restoration.confirmedEra > 0 {
		age, _ := k.Age()
		k.log.Info().Int64("era", era).Int64("age-ms", int64(age)).Msg("view is proven in the store's new era")
	}
	k.restoration.confirmedEra = era
}

// Proof returns the age of the view and the era of the store by which it was last
// confirmed. The view may be of a later era, which proves nothing until the operator has
// written again what it had written in the era before. known is false if the view was
// never confirmed.
func (k *Keeper) Proof() (era int64, age basilmoor.Millis, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	age, known = k.Age()
	return k.restoration.confirmedEra, age, known
}

// rereadDue reports whether it is time to read again what was set aside.
func (k *Keeper) rereadDue() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.restoration.due(k.clock.Now())
}

func (r restoration) due(now basilmoor.Millis) bool {
	return r.reread && now >= r.rereadAt
}

// recordReread records that a complete state was read, which is applied if the store has
// changed since the last one. k.mu is held.
func (k *Keeper) recordReread(u Update) {
	now := k.clock.Now()
	if !k.restoration.due(now) {
		return
	}
	k.restoration.reread = !k.position.Before(u.To)
	k.restoration.rereadAt = now + rereadPeriod
}
