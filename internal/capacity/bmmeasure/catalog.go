package bmmeasure

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

// Sizes of the design that the configuration follower sees.
const (
	allWorkspaces = 25000
	allTargets    = 12000
)

// Catalog measures what one configuration change costs a host and how much
// memory the snapshot takes.
func Catalog() ([]Series, error) {
	take := Series{
		Role:      "configuration follower",
		Cost:      "processor time per change, ns",
		Size:      "workspaces",
		Mechanism: "content-addressed parts, unchanged parts are shared",
		Target:    allWorkspaces,
	}
	moved := Series{
		Role:      "configuration follower",
		Cost:      "bytes pulled per change (head and changed parts)",
		Size:      "workspaces",
		Mechanism: "one watcher a data centre, peers pull changed parts",
		Exact:     true,
		Target:    allWorkspaces,
	}
	memory := Series{
		Role:      "configuration follower",
		Cost:      "memory of the snapshot, bytes",
		Size:      "workspaces",
		Mechanism: "one immutable snapshot a host",
		Target:    allWorkspaces,
	}
	for _, n := range []int{1000, 5000, 12500, 25000} {
		c, err := newChange(n)
		if err != nil {
			return nil, err
		}
		bytes := c.bytes()
		take.Points = append(take.Points, point(n, nanoseconds(c.apply)))
		moved.Points = append(moved.Points, point(n, float64(bytes)))
		memory.Points = append(memory.Points, point(n, heapBytes(func() any { return decodeAll(c.head, c.parts) })))
		runtime.KeepAlive(c) // or its collection would count as freed memory
	}
	return []Series{take, moved, memory}, nil
}

// change is one workspace's change as a follower receives it.
type change struct {
	before *bmcatalog.Snapshot
	head   []byte
	values map[string][]byte // parts that the follower lacks
	parts  map[string][]byte // all parts after the change
}

func newChange(workspaces int) (*change, error) {
	content := newContent(workspaces)
	var first *bmcatalog.Snapshot
	before, err := first.Next(content, bmcatalog.Acceptance{
		NoteID: "first",
	})
	if err != nil {
		return nil, err
	}
	changed := append([]basilmoor.Workspace(nil), content.Workspaces...)
	changed[workspaces/2].Weight++
	content.Workspaces = changed
	after, err := before.Next(content, bmcatalog.Acceptance{
		NoteID: "second",
	})
	if err != nil {
		return nil, err
	}
	c := &change{
		before: before,
		head:   after.HeadValue(),
		values: make(map[string][]byte),
		parts:  make(map[string][]byte),
	}
	for _, digest := range after.Digests() {
		p, err := after.Part(digest)
		if err != nil {
			return nil, err
		}
		c.parts[digest] = p.Value
	}
	for _, r := range before.MissingParts(after.Head()) {
		c.values[r.Digest] = c.parts[r.Digest]
	}
	return c, nil
}

func (c *change) bytes() int {
	n := len(c.head)
	for _, v := range c.values {
		n += len(v)
	}
	return n
}

func (c *change) apply() {
	if _, err := c.before.Decode(c.head, c.values); err != nil {
		panic(err) // the snapshot was encoded by this process
	}
}

func decodeAll(head []byte, parts map[string][]byte) *bmcatalog.Snapshot {
	var none *bmcatalog.Snapshot
	s, err := none.Decode(append([]byte(nil), head...), parts)
	if err != nil {
		panic(err) // the snapshot was encoded by this process
	}
	return s
}

// newContent returns a configuration with the given number of workspaces and
// the targets, pools and kinds of the design's size.
func newContent(workspaces int) bmcatalog.Content {
	c := bmcatalog.Content{
		Tiers: []basilmoor.Tier{
			{
				Name: "top",
			},
		},
	}
	for i := range workspaces {
		digest := sha256.Sum256([]byte(fmt.Sprint("token", i)))
		c.Workspaces = append(c.Workspaces, basilmoor.Workspace{
			Name:         fmt.Sprintf("workspace-%05d", i),
			TokenDigests: []string{hex.EncodeToString(digest[:])},
			Weight:       1,
			DefaultTier:  "top",
		})
	}
	const pools = 110
	for i := range pools {
		name := fmt.Sprintf("pool-%03d", i)
		c.Pools = append(c.Pools, basilmoor.Pool{
			Name:   name,
			Region: fmt.Sprintf("region-%02d", i%11),
		})
		c.Kinds = append(c.Kinds, basilmoor.Kind{
			Name:  fmt.Sprintf("kind-%03d", i),
			Pool:  name,
			Model: fmt.Sprintf("model-%03d", i),
		})
	}
	for i := range allTargets {
		c.Targets = append(c.Targets, basilmoor.Target{
			Name:       fmt.Sprintf("engine-%05d", i),
			Pool:       fmt.Sprintf("pool-%03d", i%pools),
			Type:       basilmoor.EngineTarget,
			Address:    fmt.Sprintf("10.%d.%d.%d:8000", i/65536, i/256%256, i%256),
			DataCentre: fmt.Sprintf("data-centre-%02d", i%24),
			Models:     []string{fmt.Sprintf("model-%03d", i%pools)},
			Slots:      slotsPerTarget,
		})
	}
	return c.Sorted()
}
