package bmcatalog

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// Snapshot is one immutable version of the configuration. The nil snapshot is
// version 0, which is empty.
type Snapshot struct {
	head          Head
	headValue     []byte
	parts         map[string]*part // by part name
	tokens        *tokenIndex
	routes        *routeIndex
	targetsByPool map[string][]basilmoor.Target // targets of a pool, ordered by name
	partsByDigest map[string]*part
}

var _ basilmoor.Catalog = (*Snapshot)(nil)

// MissingPartError reports a part that is neither in the snapshot nor among the
// given values.
type MissingPartError struct {
	Part PartRef
}

func (e *MissingPartError) Error() string {
	return fmt.Sprintf("part %s with digest %s is missing", e.Part.Name, e.Part.Digest)
}

// MissingParts returns the references in h to parts that s doesn't hold.
func (s *Snapshot) MissingParts(h Head) []PartRef {
	var refs []PartRef
	for _, r := range h.Parts {
		if s.lookupPart(r) == nil {
			refs = append(refs, r)
		}
	}
	return refs
}

// lookupPart returns the part if s holds it with the same name and digest, or
// nil.
func (s *Snapshot) lookupPart(r PartRef) *part {
	if s == nil {
		return nil
	}
	p := s.parts[r.Name]
	if p == nil || p.digest != r.Digest {
		return nil
	}
	return p
}

// Decode builds the snapshot of a stored head. Parts that s holds are shared.
// The other parts are taken from values, which is keyed by digest, and verified
// and decoded.
func (s *Snapshot) Decode(headValue []byte, values map[string][]byte) (*Snapshot, error) {
	h, err := DecodeHead(headValue)
	if err != nil {
		return nil, err
	}
	parts := make(map[string]*part, len(h.Parts))
	for _, r := range h.Parts {
		p := s.lookupPart(r)
		if p == nil {
			value, ok := values[r.Digest]
			if !ok {
				return nil, &MissingPartError{
					Part: r,
				}
			}
			if p, err = decodePart(r, value); err != nil {
				return nil, err
			}
		}
		parts[r.Name] = p
	}
	return s.assemble(h, headValue, parts), nil
}

// Acceptance records which note was accepted, by whom and when.
type Acceptance struct {
	NoteID     string
	NoteDigest string
	Author     string
	At         string // RFC 3339, UTC
}

// Next builds the version that follows s. The lists of c must be ordered by
// name. Parts whose content is unchanged are shared with s.
func (s *Snapshot) Next(c Content, a Acceptance) (*Snapshot, error) {
	h := Head{
		Schema:     Schema,
		Version:    s.Version() + 1,
		NoteID:     a.NoteID,
		NoteDigest: a.NoteDigest,
		AcceptedBy: a.Author,
		AcceptedAt: a.At,
	}
	if s != nil {
		h.PreviousNotes = append([]NoteRef{s.head.Note()}, s.head.PreviousNotes...)
		h.PreviousNotes = h.PreviousNotes[:min(len(h.PreviousNotes), MaxPreviousNotes)]
	}
	groups := splitIntoParts(c)
	parts := make(map[string]*part, len(groups))
	for _, name := range sortedKeys(groups) {
		p, err := s.reuseOrEncodePart(name, h.Version, groups[name])
		if err != nil {
			return nil, err
		}
		parts[name] = p
		h.Parts = append(h.Parts, PartRef{
			Name:   name,
			Digest: p.digest,
		})
	}
	if s != nil {
		for _, r := range s.head.Parts {
			if p := parts[r.Name]; p == nil || p.digest != r.Digest {
				h.DroppedParts = append(h.DroppedParts, r.Digest)
			}
		}
	}
	value, err := h.Encode()
	if err != nil {
		return nil, err
	}
	if len(value) > maxValueBytes {
		return nil, &TooLargeError{
			Part:  HeadKey,
			Bytes: len(value),
		}
	}
	return s.assemble(h, value, parts), nil
}

// reuseOrEncodePart returns the part of s if its content is unchanged. Otherwise
// it encodes a new one.
func (s *Snapshot) reuseOrEncodePart(name string, version int64, c Content) (*part, error) {
	if s != nil {
		if p := s.parts[name]; p != nil && contentsEqual(p.content, c) {
			return p, nil
		}
	}
	return encodePart(name, version, c)
}

// assemble builds a snapshot and its indexes, reusing the indexes of s whose
// parts did not change.
func (s *Snapshot) assemble(h Head, headValue []byte, parts map[string]*part) *Snapshot {
	next := &Snapshot{
		head:          h,
		headValue:     headValue,
		parts:         parts,
		tokens:        &tokenIndex{},
		targetsByPool: make(map[string][]basilmoor.Target),
		partsByDigest: make(map[string]*part, len(parts)),
	}
	before := map[string]*part{}
	if s != nil {
		before = s.parts
		next.tokens = s.tokens
		next.routes = s.routes
	}
	var changes tokenChanges
	changedPools := make(map[string]bool)
	for name, p := range before {
		if parts[name] == p {
			continue
		}
		p.addPoolsTo(changedPools)
		if parts[name] == nil {
			changes.addDiff(p.content.Workspaces, nil)
		}
	}
	for name, p := range parts {
		next.partsByDigest[p.digest] = p
		old := before[name]
		if old == p {
			continue
		}
		p.addPoolsTo(changedPools)
		if old == nil {
			old = &part{}
		}
		changes.addDiff(old.content.Workspaces, p.content.Workspaces)
		if name == basePartName {
			next.routes = newRouteIndex(p.content)
		}
	}
	if next.routes == nil {
		next.routes = newRouteIndex(Content{})
	}
	next.tokens = next.tokens.with(changes)
	next.collectTargets(s, changedPools)
	return next
}

// collectTargets fills the index of targets by pool. Pools that did not change
// share the list of the snapshot before.
func (s *Snapshot) collectTargets(before *Snapshot, changedPools map[string]bool) {
	for _, p := range s.parts {
		for _, t := range p.content.Targets {
			if changedPools[t.Pool] || before == nil {
				s.targetsByPool[t.Pool] = append(s.targetsByPool[t.Pool], t)
			}
		}
	}
	for _, targets := range s.targetsByPool {
		slices.SortFunc(targets, func(a, b basilmoor.Target) int { return strings.Compare(a.Name, b.Name) })
	}
	if before == nil {
		return
	}
	for pool, targets := range before.targetsByPool {
		if !changedPools[pool] {
			s.targetsByPool[pool] = targets
		}
	}
}

// Version returns the number of release notes accepted up to this version.
func (s *Snapshot) Version() int64 {
	if s == nil {
		return 0
	}
	return s.head.Version
}

// NoteID returns the ID of the release note that created this version.
func (s *Snapshot) NoteID() string {
	if s == nil {
		return ""
	}
	return s.head.NoteID
}

// Head returns the head, or the zero head for the nil snapshot. The caller must
// not modify its slices.
func (s *Snapshot) Head() Head {
	if s == nil {
		return Head{}
	}
	return s.head
}

// HeadValue returns the stored form of the head. The caller must not modify it.
func (s *Snapshot) HeadValue() []byte {
	if s == nil {
		return nil
	}
	return s.headValue
}

// Part returns the stored form of the part with the given digest. The caller
// must not modify it. The error is a *MissingPartError if s holds no such part.
func (s *Snapshot) Part(digest string) (basilmoor.ConfigPart, error) {
	if s != nil {
		if p := s.partsByDigest[digest]; p != nil {
			return basilmoor.ConfigPart{
				Digest: digest,
				Value:  p.value,
			}, nil
		}
	}
	return basilmoor.ConfigPart{}, errors.WithStack(&MissingPartError{
		Part: PartRef{
			Digest: digest,
		},
	})
}

// Digests returns the digests of all parts, ordered by part name.
func (s *Snapshot) Digests() []string {
	if s == nil {
		return nil
	}
	digests := make([]string, 0, len(s.head.Parts))
	for _, r := range s.head.Parts {
		digests = append(digests, r.Digest)
	}
	return digests
}
