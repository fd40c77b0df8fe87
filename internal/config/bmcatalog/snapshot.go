package bmcatalog

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// Snapshot is one version of the configuration. The nil snapshot stands for
// version 0, which is empty.
type Snapshot struct {
	head      Head
	headValue []byte
	parts     map[string]*part // by name
	tokens    *tokenIndex
	kinds     *kindIndex
	targets   map[string][]basilmoor.Target // by pool
	byDigest  map[string]*part
}

var _ basilmoor.Catalog = (*Snapshot)(nil)

// MissingPartError tells that a snapshot can't be built without a part.
type MissingPartError struct {
	Part PartRef
}

func (e *MissingPartError) Error() string {
	return fmt.Sprintf("part %s with digest %s is missing", e.Part.Name, e.Part.Digest)
}

// Missing returns the parts of h that s doesn't hold.
func (s *Snapshot) Missing(h Head) []PartRef {
	var refs []PartRef
	for _, r := range h.Parts {
		if s.held(r) == nil {
			refs = append(refs, r)
		}
	}
	return refs
}

func (s *Snapshot) held(r PartRef) *part {
	if s == nil {
		return nil
	}
	p := s.parts[r.Name]
	if p == nil || p.digest != r.Digest {
		return nil
	}
	return p
}

// Decode builds the snapshot of a stored head. Parts that s holds are shared;
// the others are taken from values by digest, verified and decoded.
func (s *Snapshot) Decode(headValue []byte, values map[string][]byte) (*Snapshot, error) {
	h, err := DecodeHead(headValue)
	if err != nil {
		return nil, err
	}
	parts := make(map[string]*part, len(h.Parts))
	for _, r := range h.Parts {
		p := s.held(r)
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

// Acceptance describes who accepted which note when.
type Acceptance struct {
	NoteID     string
	NoteDigest string
	Author     string
	At         string // RFC 3339, UTC
}

// Next builds the version after s with the given content, which must be
// ordered by name. Parts whose content is unchanged are shared.
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
	groups := split(c)
	parts := make(map[string]*part, len(groups))
	for _, name := range sortedNames(groups) {
		p, err := s.nextPart(name, h.Version, groups[name])
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
	if len(value) > maxPartValueLength {
		return nil, &TooLargeError{
			Part:  HeadKey,
			Bytes: len(value),
		}
	}
	return s.assemble(h, value, parts), nil
}

func (s *Snapshot) nextPart(name string, version int64, c Content) (*part, error) {
	if s != nil {
		if p := s.parts[name]; p != nil && equalContent(p.content, c) {
			return p, nil
		}
	}
	return encodePart(name, version, c)
}

// assemble builds the lookups, reusing those of s that did not change.
func (s *Snapshot) assemble(h Head, headValue []byte, parts map[string]*part) *Snapshot {
	next := &Snapshot{
		head:      h,
		headValue: headValue,
		parts:     parts,
		tokens:    &tokenIndex{},
		targets:   make(map[string][]basilmoor.Target),
		byDigest:  make(map[string]*part, len(parts)),
	}
	before := map[string]*part{}
	if s != nil {
		before = s.parts
		next.tokens = s.tokens
		next.kinds = s.kinds
	}
	var changes tokenChanges
	changedPools := make(map[string]bool)
	for name, p := range before {
		if parts[name] == p {
			continue
		}
		p.markPools(changedPools)
		if parts[name] == nil {
			changes.addPart(p.content.Workspaces, nil)
		}
	}
	for name, p := range parts {
		next.byDigest[p.digest] = p
		old := before[name]
		if old == p {
			continue
		}
		p.markPools(changedPools)
		if old == nil {
			old = &part{}
		}
		changes.addPart(old.content.Workspaces, p.content.Workspaces)
		if name == basePartName {
			next.kinds = newKindIndex(p.content)
		}
	}
	if next.kinds == nil {
		next.kinds = newKindIndex(Content{})
	}
	next.tokens = next.tokens.with(changes)
	next.collectTargets(s, changedPools)
	return next
}

func (s *Snapshot) collectTargets(before *Snapshot, changedPools map[string]bool) {
	for _, p := range s.parts {
		for _, t := range p.content.Targets {
			if changedPools[t.Pool] || before == nil {
				s.targets[t.Pool] = append(s.targets[t.Pool], t)
			}
		}
	}
	for _, targets := range s.targets {
		slices.SortFunc(targets, func(a, b basilmoor.Target) int { return strings.Compare(a.Name, b.Name) })
	}
	if before == nil {
		return
	}
	for pool, targets := range before.targets {
		if !changedPools[pool] {
			s.targets[pool] = targets
		}
	}
}

// Version is the number of accepted release notes.
func (s *Snapshot) Version() int64 {
	if s == nil {
		return 0
	}
	return s.head.Version
}

// NoteID identifies the release note that made this version.
func (s *Snapshot) NoteID() string {
	if s == nil {
		return ""
	}
	return s.head.NoteID
}

// Head returns the head; the zero head for the nil snapshot. The caller must
// not change its slices.
func (s *Snapshot) Head() Head {
	if s == nil {
		return Head{}
	}
	return s.head
}

// HeadValue returns the head as stored. The caller must not change it.
func (s *Snapshot) HeadValue() []byte {
	if s == nil {
		return nil
	}
	return s.headValue
}

// Part returns the stored form of a part. The caller must not change it.
func (s *Snapshot) Part(digest string) (basilmoor.ConfigPart, error) {
	if s != nil {
		if p := s.byDigest[digest]; p != nil {
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
