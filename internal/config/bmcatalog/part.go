package bmcatalog

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"sort"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// Sizes of parts. A change of one workspace moves the head, which grows with
// the number of parts, and one part, which shrinks with it: at 25,000
// workspaces 128 KB with 32 parts, 54 KB with 128 and 57 KB with 256. A pool of
// 12,000 targets gives parts of at most 54 KB, far below the store's bound of
// 1 MB a value.
const (
	workspaceParts     = 128
	maxTargetsPerPart  = 512
	basePartName       = "base"
	workspacePartName  = "workspaces/%02d"
	targetPartName     = "targets/%s/%03d-of-%03d"
	maxPartValueLength = basilmoor.MaxValueBytes
)

// TooLargeError tells that a part exceeds the store's bound for a value.
type TooLargeError struct {
	Part  string
	Bytes int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("part %s takes %d bytes, at most %d are allowed", e.Part, e.Bytes, maxPartValueLength)
}

// part is one verified and decoded part.
type part struct {
	name    string
	digest  string
	value   []byte
	content Content
}

// markPools adds the pools whose targets the part holds.
func (p *part) markPools(pools map[string]bool) {
	for _, t := range p.content.Targets {
		pools[t.Pool] = true
	}
}

// storedPart is the stored form of a part. Version is the one for which the
// part was first written.
type storedPart struct {
	Schema  int    `json:"schema"`
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Content
}

func encodePart(name string, version int64, c Content) (*part, error) {
	value, err := json.Marshal(storedPart{
		Schema:  Schema,
		Name:    name,
		Version: version,
		Content: c,
	})
	if err != nil {
		return nil, errors.Wrapf(err, "encode part %s", name)
	}
	if len(value) > maxPartValueLength {
		return nil, &TooLargeError{
			Part:  name,
			Bytes: len(value),
		}
	}
	return &part{
		name:    name,
		digest:  Digest(value),
		value:   value,
		content: c,
	}, nil
}

func decodePart(ref PartRef, value []byte) (*part, error) {
	if got := Digest(value); got != ref.Digest {
		return nil, &DigestError{
			Name: ref.Name,
			Want: ref.Digest,
			Got:  got,
		}
	}
	var s storedPart
	if err := json.Unmarshal(value, &s); err != nil {
		return nil, errors.Wrapf(err, "decode part %s", ref.Name)
	}
	if s.Schema != Schema {
		return nil, errors.Errorf("decode part %s: schema %d, want %d", ref.Name, s.Schema, Schema)
	}
	if s.Name != ref.Name {
		return nil, errors.Errorf("decode part %s: it is named %s", ref.Name, s.Name)
	}
	return &part{
		name:    ref.Name,
		digest:  ref.Digest,
		value:   value,
		content: s.Content,
	}, nil
}

// split distributes sorted content over parts by name.
func split(c Content) map[string]Content {
	groups := map[string]Content{
		basePartName: {
			Tiers: c.Tiers,
			Kinds: c.Kinds,
			Pools: c.Pools,
		},
	}
	for _, w := range c.Workspaces {
		name := fmt.Sprintf(workspacePartName, bucket(w.Name, workspaceParts))
		g := groups[name]
		g.Workspaces = append(g.Workspaces, w)
		groups[name] = g
	}
	counts := make(map[string]int)
	for _, t := range c.Targets {
		counts[t.Pool]++
	}
	for _, t := range c.Targets {
		n := targetParts(counts[t.Pool])
		name := fmt.Sprintf(targetPartName, t.Pool, bucket(t.Name, n), n)
		g := groups[name]
		g.Targets = append(g.Targets, t)
		groups[name] = g
	}
	return groups
}

// targetParts returns the number of parts for a pool of n targets. Powers of
// two make it change rarely, since a change rewrites all parts of the pool.
func targetParts(n int) int {
	parts := 1
	for parts*maxTargetsPerPart < n {
		parts *= 2
	}
	return parts
}

func bucket(name string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return int(h.Sum32() % uint32(n))
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// WrittenFor returns the version for which a part was first written, 0 if
// value is not a part.
func WrittenFor(value []byte) int64 {
	var p struct {
		Version int64 `json:"version"`
	}
	if err := json.Unmarshal(value, &p); err != nil {
		return 0
	}
	return p.Version
}
