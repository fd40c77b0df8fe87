package bmfollower

import (
	"bytes"
	"fmt"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

// storeSource is the name of the store among the sources. Hosts can't have it.
const storeSource = "(store)"

// verdict is how a head compares with the one in effect.
type verdict int

const (
	same verdict = iota
	newer
	older
	diverged
)

// compare tells whether h may be taken. A higher version alone is not enough:
// after a store was restored from a backup, other notes may have been accepted
// under numbers that are in effect here, and taking a later version would
// revert these.
func compare(s *bmcatalog.Snapshot, h bmcatalog.Head) verdict {
	held := s.Head()
	switch {
	case h.Version < held.Version:
		return older
	case h.Version == held.Version:
		if h.NoteID != held.NoteID || h.NoteDigest != held.NoteDigest {
			return diverged
		}
		return same
	case h.ConflictsWith(held):
		return diverged
	default:
		return newer
	}
}

// offerStored takes the head of the store if its parts are at hand, and reads
// them else.
func (c *Core) offerStored(now basilmoor.Millis, value []byte) {
	h, ok := c.judge(storeSource, value)
	if !ok {
		return
	}
	refs := c.snapshot.MissingParts(h)
	if len(refs) == 0 {
		c.take(storeSource, value, nil)
		return
	}
	if c.store.parts.busy(now) {
		// Read the head again when the parts are here.
		c.store.due = min(c.store.due, now+retryInterval)
		return
	}
	c.store.parts.begin(now, transferTimeout)
	c.emit(ReadParts{
		Head: value,
		Refs: refs,
	})
}

// offer takes a head with its parts.
func (c *Core) offer(source string, value []byte, values map[string][]byte) {
	if _, ok := c.judge(source, value); ok {
		c.take(source, value, values)
	}
}

// judge reports whether a head is to be taken, and records what is wrong with
// its source.
func (c *Core) judge(source string, value []byte) (bmcatalog.Head, bool) {
	h, err := bmcatalog.DecodeHead(value)
	if err != nil {
		c.sources.reject(source, rejectMalformed, err.Error())
		return h, false
	}
	switch compare(c.snapshot, h) {
	case newer:
		return h, true
	case older:
		c.olderHead(source, h.Version)
	case diverged:
		c.sources.reject(source, rejectDiverged, c.divergence(h.Version, h.NoteID))
	case same:
		if !bytes.Equal(value, c.snapshot.HeadValue()) {
			c.sources.reject(source, rejectDiverged, c.divergence(h.Version, h.NoteID))
			break
		}
		c.sources.agree(source)
	}
	return h, false
}

func (c *Core) divergence(version int64, note string) string {
	return fmt.Sprintf("version %d of note %s does not descend from version %d of note %s, which is in effect",
		version, note, c.snapshot.Version(), c.snapshot.NoteID())
}

// olderHead rejects a head. A peer that is behind is normal while a change
// spreads; a store that is behind was set back.
func (c *Core) olderHead(source string, version int64) {
	if source != storeSource {
		c.sources.count(countPeerOlder)
		c.sources.agree(source)
		return
	}
	c.sources.reject(source, rejectOlder, fmt.Sprintf("the store holds version %d, version %d is in effect", version, c.snapshot.Version()))
}

func (c *Core) emptyStore() {
	if c.snapshot.Version() > 0 {
		c.olderHead(storeSource, 0)
	}
}

func (c *Core) take(source string, value []byte, values map[string][]byte) {
	next, err := c.snapshot.Decode(value, values)
	var digest *bmcatalog.DigestError
	switch {
	case errors.As(err, &digest):
		c.sources.reject(source, rejectDigest, err.Error())
	case err != nil:
		c.sources.reject(source, rejectMalformed, err.Error())
	default:
		c.snapshot = next
		c.store.incomplete = ""
		c.sources.agree(source)
		c.sources.count(countTaken)
		c.reviewPeers()
	}
}

// reviewPeers compares what heartbeats reported with the new snapshot.
func (c *Core) reviewPeers() {
	for host, p := range c.peers {
		c.compareNote(host, p.version, p.note)
	}
}

// compareNote records a peer that has another note under the same version.
func (c *Core) compareNote(host string, version int64, note string) {
	if c.snapshot == nil || version != c.snapshot.Version() {
		return
	}
	if note != c.snapshot.NoteID() {
		c.sources.reject(host, rejectDiverged, c.divergence(version, note))
		return
	}
	c.sources.agree(host)
}

// Fetch returns the head and the parts that are not held, for a peer. Before
// the first version there is nothing.
func Fetch(s *bmcatalog.Snapshot, held []string) ([]byte, []basilmoor.ConfigPart, error) {
	if s == nil {
		return nil, nil, nil
	}
	has := make(map[string]bool, len(held))
	for _, d := range held {
		has[d] = true
	}
	var parts []basilmoor.ConfigPart
	for _, d := range s.Digests() {
		if has[d] {
			continue
		}
		p, err := s.Part(d)
		if err != nil {
			return nil, nil, err
		}
		parts = append(parts, p)
	}
	return s.HeadValue(), parts, nil
}
