package bmcatalog

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"sort"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// Numbers, sizes and names of parts. A change to one workspace transfers the
// head, which grows with the number of parts, and one part, which shrinks with
// it: with 25,000 workspaces, 128 KB in total for 32 parts, 54 KB for 128 and
// 57 KB for 256. A pool of 12,000 targets results in parts of at most 54 KB, well
// below the store's limit of 1 MB per value.
const (
	workspacePartCount  = 128
	maxTargetsPerPart   = 512
	basePartName        = "base"
	workspacePartFormat = "workspaces/%02d"
	targetPartFormat    = "targets/%s/%03d-of-%03d"
	maxValueBytes       = basilmoor.MaxValueBytes
)

// TooLargeError reports a head or part that exceeds the store's limit for a
// value.
type TooLargeError struct {
	Part  string
	Bytes int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("part %s takes %d bytes, at most %d are allowed", e.Part, e.Bytes, maxValueBytes)
}

// part is a verified and decoded part of the configuration.
type part struct {
	name    string
	digest  string
	value   []byte
	content Content
}

// addPoolsTo adds the pools of all targets in the part to a set.
func (p *part) addPoolsTo(pools map[string]bool) {
	for _, t := range p.content.Targets {
		pools[t.Pool] = true
	}
}

// storedPart is the stored form of a part. Version is the version of the
// configuration for which the part was written.
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
	if len(value) > maxValueBytes {
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
		return nil, errors.Errorf("decode part %s: schema %d is not supported, want %d", ref.Name, s.Schema, Schema)
	}
	if s.Name != ref.Name {
		return nil, errors.Errorf("decode part %s: value names part %s", ref.Name, s.Name)
	}
	return &part{
		name:    ref.Name,
		digest:  ref.Digest,
		value:   value,
		content: s.Content,
	}, nil
}

// splitIntoParts distributes content, whose lists are ordered by name, over
// parts. The result is keyed by part name.
func splitIntoParts(c Content) map[string]Content {
	groups := map[string]Content{
		basePartName: {
			Tiers: c.Tiers,
			Kinds: c.Kinds,
			Pools: c.Pools,
		},
	}
	for _, w := range c.Workspaces {
		name := fmt.Sprintf(workspacePartFormat, hashBucket(w.Name, workspacePartCount))
		g := groups[name]
		g.Workspaces = append(g.Workspaces, w)
		groups[name] = g
	}
	counts := make(map[string]int)
	for _, t := range c.Targets {
		counts[t.Pool]++
	}
	for _, t := range c.Targets {
		n := targetPartCount(counts[t.Pool])
		name := fmt.Sprintf(targetPartFormat, t.Pool, hashBucket(t.Name, n), n)
		g := groups[name]
		g.Targets = append(g.Targets, t)
		groups[name] = g
	}
	return groups
}

// targetPartCount returns the number of parts for a pool of n targets. It is a
// power of two, so that it changes rarely: each change of the number rewrites
// all parts of the pool.
func targetPartCount(n int) int {
	parts := 1
	for parts*maxTargetsPerPart < n {
		parts *= 2
	}
	return parts
}

// hashBucket assigns a name to one of n buckets.
func hashBucket(name string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return int(h.Sum32() % uint32(n))
}

func sortedKeys[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// PartVersion returns the version of the configuration for which a stored part was
// written, or 0 if value can't be decoded.
func PartVersion(value []byte) int64 {
	var p struct {
		Version int64 `json:"version"`
	}
	if err := json.Unmarshal(value, &p); err != nil {
		return 0
	}
	return p.Version
}
