package bmmeasure

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

// Design sizes of the configuration that a follower holds.
const (
	fleetWorkspaces = 25000
	fleetTargets    = 12000
)

// Catalog measures the processor time and bytes that a configuration change
// costs a host, and the memory of a snapshot.
func Catalog() ([]Series, error) {
	decodeTime := Series{
		Role:       "configuration follower",
		Cost:       "processor time per change, ns",
		Size:       "workspaces",
		Mechanism:  "content-addressed parts, unchanged parts are shared",
		DesignSize: fleetWorkspaces,
	}
	pulled := Series{
		Role:       "configuration follower",
		Cost:       "bytes pulled per change (head and changed parts)",
		Size:       "workspaces",
		Mechanism:  "one watcher a data centre, peers pull changed parts",
		Exact:      true,
		DesignSize: fleetWorkspaces,
	}
	memory := Series{
		Role:       "configuration follower",
		Cost:       "memory of the snapshot, bytes",
		Size:       "workspaces",
		Mechanism:  "one immutable snapshot a host",
		DesignSize: fleetWorkspaces,
	}
	for _, n := range []int{1000, 5000, 12500, 25000} {
		c, err := newConfigChange(n)
		if err != nil {
			return nil, err
		}
		bytes := c.pulledBytes()
		decodeTime.Points = append(decodeTime.Points, newPoint(n, nanosecondsPerCall(c.decode)))
		pulled.Points = append(pulled.Points, newPoint(n, float64(bytes)))
		memory.Points = append(memory.Points, newPoint(n, retainedHeapBytes(func() any { return decodeSnapshot(c.head, c.allParts) })))
		runtime.KeepAlive(c) // its collection during the measurement would count as freed memory
	}
	return []Series{decodeTime, pulled, memory}, nil
}

// configChange is the change of one workspace as a follower receives it.
type configChange struct {
	before       *bmcatalog.Snapshot
	head         []byte
	missingParts map[string][]byte // by digest, the parts that the follower lacks
	allParts     map[string][]byte // by digest, all parts after the change
}

func newConfigChange(workspaces int) (*configChange, error) {
	content := newContent(workspaces)
	var empty *bmcatalog.Snapshot
	before, err := empty.Next(content, bmcatalog.Acceptance{
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
	c := &configChange{
		before:       before,
		head:         after.HeadValue(),
		missingParts: make(map[string][]byte),
		allParts:     make(map[string][]byte),
	}
	for _, digest := range after.Digests() {
		p, err := after.Part(digest)
		if err != nil {
			return nil, err
		}
		c.allParts[digest] = p.Value
	}
	for _, r := range before.MissingParts(after.Head()) {
		c.missingParts[r.Digest] = c.allParts[r.Digest]
	}
	return c, nil
}

// pulledBytes returns the size of the head and the missing parts.
func (c *configChange) pulledBytes() int {
	n := len(c.head)
	for _, v := range c.missingParts {
		n += len(v)
	}
	return n
}

func (c *configChange) decode() {
	if _, err := c.before.Decode(c.head, c.missingParts); err != nil {
		panic(err) // the snapshot was encoded by this process
	}
}

// decodeSnapshot decodes a snapshot without a previous one to share parts with.
func decodeSnapshot(head []byte, parts map[string][]byte) *bmcatalog.Snapshot {
	var empty *bmcatalog.Snapshot
	s, err := empty.Decode(append([]byte(nil), head...), parts)
	if err != nil {
		panic(err) // the snapshot was encoded by this process
	}
	return s
}

// newContent returns a configuration with the given number of workspaces and the
// targets, pools and kinds of the design size.
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
	for i := range fleetTargets {
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
