package bmfollower

import (
	"bytes"
	"fmt"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

// storeSource identifies the store among the sources of heads. It is not a valid
// host name.
const storeSource = "(store)"

// headRelation is the relation of a head to the held one.
type headRelation int

const (
	headSame headRelation = iota
	headNewer
	headOlder
	headDiverged
)

// compareHead returns the relation of h to the head of s; only a newer head may be
// applied. A higher version alone does not make a head newer: after the store
// was restored from a backup, different notes may have been accepted under
// version numbers that are already in effect here, and applying a later version
// would revert the notes of this host.
func compareHead(s *bmcatalog.Snapshot, h bmcatalog.Head) headRelation {
	held := s.Head()
	switch {
	case h.Version < held.Version:
		return headOlder
	case h.Version == held.Version:
		if h.NoteID != held.NoteID || h.NoteDigest != held.NoteDigest {
			return headDiverged
		}
		return headSame
	case h.ConflictsWith(held):
		return headDiverged
	default:
		return headNewer
	}
}

// handleStoredHead applies the head of the store if it is newer and its parts are
// held, and otherwise reads the missing parts.
func (c *Core) handleStoredHead(now basilmoor.Millis, value []byte) {
	h, ok := c.checkHead(storeSource, value)
	if !ok {
		return
	}
	refs := c.snapshot.MissingParts(h)
	if len(refs) == 0 {
		c.applyHead(storeSource, value, nil)
		return
	}
	if c.store.partsRead.inFlight(now) {
		// Read the head again once the pending read of parts has ended.
		c.store.nextHeadRead = min(c.store.nextHeadRead, now+retryInterval)
		return
	}
	c.store.partsRead.start(now, transferTimeout)
	c.emit(ReadParts{
		Head: value,
		Refs: refs,
	})
}

// handleHeadWithParts applies a head if it is newer. values holds its parts by
// digest.
func (c *Core) handleHeadWithParts(source string, value []byte, values map[string][]byte) {
	if _, ok := c.checkHead(source, value); ok {
		c.applyHead(source, value, values)
	}
}

// checkHead decodes a head and reports whether it may be applied. If the head is
// malformed, diverged or older, it records the fault of the source.
func (c *Core) checkHead(source string, value []byte) (bmcatalog.Head, bool) {
	h, err := bmcatalog.DecodeHead(value)
	if err != nil {
		c.sources.reject(source, rejectMalformed, err.Error())
		return h, false
	}
	switch compareHead(c.snapshot, h) {
	case headNewer:
		return h, true
	case headOlder:
		c.handleOlderHead(source, h.Version)
	case headDiverged:
		c.sources.reject(source, rejectDiverged, c.divergenceReason(h.Version, h.NoteID))
	case headSame:
		if !bytes.Equal(value, c.snapshot.HeadValue()) {
			c.sources.reject(source, rejectDiverged, c.divergenceReason(h.Version, h.NoteID))
			break
		}
		c.sources.clear(source)
	}
	return h, false
}

func (c *Core) divergenceReason(version int64, note string) string {
	return fmt.Sprintf("version %d of note %s does not descend from version %d of note %s, which is in effect",
		version, note, c.snapshot.Version(), c.snapshot.NoteID())
}

// handleOlderHead records an older head. A peer may be behind while a change
// propagates, which is no fault. A store that is behind was restored from a
// backup, which is one.
func (c *Core) handleOlderHead(source string, version int64) {
	if source != storeSource {
		c.sources.count(countPeerOlder)
		c.sources.clear(source)
		return
	}
	c.sources.reject(source, rejectOlder, fmt.Sprintf("the store holds version %d, version %d is in effect", version, c.snapshot.Version()))
}

func (c *Core) handleEmptyStore() {
	if c.snapshot.Version() > 0 {
		c.handleOlderHead(storeSource, 0)
	}
}

func (c *Core) applyHead(source string, value []byte, values map[string][]byte) {
	next, err := c.snapshot.Decode(value, values)
	var digest *bmcatalog.DigestError
	switch {
	case errors.As(err, &digest):
		c.sources.reject(source, rejectDigest, err.Error())
	case err != nil:
		c.sources.reject(source, rejectMalformed, err.Error())
	default:
		c.snapshot = next
		c.store.missingPart = ""
		c.sources.clear(source)
		c.sources.count(countTaken)
		c.checkPeerNotes()
	}
}

// checkPeerNotes checks the notes that heartbeats reported against a new snapshot.
func (c *Core) checkPeerNotes() {
	for host, p := range c.peers {
		c.checkPeerNote(host, p.version, p.note)
	}
}

// checkPeerNote records a fault if a peer has a different note for the held
// version.
func (c *Core) checkPeerNote(host string, version int64, note string) {
	if c.snapshot == nil || version != c.snapshot.Version() {
		return
	}
	if note != c.snapshot.NoteID() {
		c.sources.reject(host, rejectDiverged, c.divergenceReason(version, note))
		return
	}
	c.sources.clear(host)
}

// ServeFetch returns the head of s and those of its parts whose digests are not
// in held, which lists what the calling peer has. It returns nil values if s is
// nil.
func ServeFetch(s *bmcatalog.Snapshot, held []string) ([]byte, []basilmoor.ConfigPart, error) {
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
