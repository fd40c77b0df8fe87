package bmcatalog

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
)

func workspace(i, weight int) basilmoor.Workspace {
	return basilmoor.Workspace{
		Name:         fmt.Sprintf("workspace-%05d", i),
		TokenDigests: []string{Digest([]byte(fmt.Sprintf("token-%d", i)))},
		Weight:       weight,
		DefaultTier:  "standard",
	}
}

func target(i int) basilmoor.Target {
	return basilmoor.Target{
		Name:       fmt.Sprintf("engine-%05d", i),
		Pool:       "reviews",
		Type:       basilmoor.EngineTarget,
		Address:    fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
		DataCentre: "kinston",
		Models:     []string{"label-review"},
		Slots:      16,
	}
}

func largeContent() Content {
	var c Content
	for i := range 25000 {
		c.Workspaces = append(c.Workspaces, workspace(i, 1))
	}
	for i := range 12000 {
		c.Targets = append(c.Targets, target(i))
	}
	return c
}

func mustNext(t require.TestingT, s *Snapshot, c Content, note string) *Snapshot {
	next, err := s.Next(c, Acceptance{
		NoteID: note,
	})
	require.NoError(t, err)
	return next
}

// Guards against parts whose size approaches the store's limit for a value, and
// against a change to one workspace that rewrites or decodes more than one part.
func TestLargeContent(t *testing.T) {
	c := largeContent()
	first := mustNext(t, nil, c, "first")
	for _, d := range first.Digests() {
		p, err := first.Part(d)
		require.NoError(t, err)
		require.Less(t, len(p.Value), basilmoor.MaxValueBytes/2)
	}
	require.Less(t, len(first.HeadValue()), basilmoor.MaxValueBytes/10)

	c.Workspaces = append([]basilmoor.Workspace(nil), c.Workspaces...)
	c.Workspaces[7] = workspace(7, 5)
	second := mustNext(t, first, c, "second")
	missing := first.MissingParts(second.Head())
	require.Len(t, missing, 1)
	require.Len(t, second.Head().DroppedParts, 1)

	p, err := second.Part(missing[0].Digest)
	require.NoError(t, err)
	decoded, err := first.Decode(second.HeadValue(), map[string][]byte{p.Digest: p.Value})
	require.NoError(t, err)
	w, ok := decoded.WorkspaceByToken("token-7")
	require.True(t, ok)
	require.Equal(t, 5, w.Weight)
	w, ok = first.WorkspaceByToken("token-7")
	require.True(t, ok)
	require.Equal(t, 1, w.Weight, "the earlier snapshot must not change")
	require.Len(t, decoded.Targets("reviews"), 12000)
}

// BenchmarkChange measures a change to one workspace in a configuration of the
// planned size: on the host that accepts the change, on a host that receives it,
// and on a host that receives the whole configuration.
func BenchmarkChange(b *testing.B) {
	c := largeContent()
	first := mustNext(b, nil, c, "first")
	c.Workspaces = append([]basilmoor.Workspace(nil), c.Workspaces...)
	c.Workspaces[7] = workspace(7, 5)
	second := mustNext(b, first, c, "second")
	p, err := second.Part(first.MissingParts(second.Head())[0].Digest)
	require.NoError(b, err)
	b.Run("accept", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			mustNext(b, first, c, "second")
		}
	})
	b.Run("receive", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, err := first.Decode(second.HeadValue(), map[string][]byte{p.Digest: p.Value})
			require.NoError(b, err)
		}
	})
	b.Run("receive everything", func(b *testing.B) {
		values := make(map[string][]byte)
		for _, d := range second.Digests() {
			p, err := second.Part(d)
			require.NoError(b, err)
			values[d] = p.Value
		}
		b.ReportAllocs()
		for b.Loop() {
			_, err := (*Snapshot)(nil).Decode(second.HeadValue(), values)
			require.NoError(b, err)
		}
	})
}

// Guards against a snapshot that is built from corrupted or missing parts.
func TestDecodeVerifies(t *testing.T) {
	s := mustNext(t, nil, Content{
		Workspaces: []basilmoor.Workspace{workspace(1, 1)},
	}, "first")
	values := make(map[string][]byte)
	for _, d := range s.Digests() {
		p, err := s.Part(d)
		require.NoError(t, err)
		values[d] = p.Value
	}
	_, err := (*Snapshot)(nil).Decode(s.HeadValue(), values)
	require.NoError(t, err)

	last := s.Digests()[1]
	values[last] = []byte(strings.Replace(string(values[last]), `"weight":1`, `"weight":9`, 1))
	_, err = (*Snapshot)(nil).Decode(s.HeadValue(), values)
	var digest *DigestError
	require.ErrorAs(t, err, &digest)

	delete(values, last)
	_, err = (*Snapshot)(nil).Decode(s.HeadValue(), values)
	var missing *MissingPartError
	require.ErrorAs(t, err, &missing)
}

// Guards against a prefix that matches part of a segment, and against a shorter
// prefix that takes precedence over a longer one.
func TestKindByPath(t *testing.T) {
	c := Content{}
	for _, p := range []string{"/stock", "/stock/counts/", "/orders"} {
		c.Kinds = append(c.Kinds, basilmoor.Kind{
			Name:       p,
			PathPrefix: p,
		})
	}
	s := mustNext(t, nil, c.Sorted(), "first")
	tests := map[string]string{
		"/stock":           "/stock",
		"/stock/":          "/stock",
		"/stock/7/x":       "/stock",
		"/stock/counts":    "/stock/counts/",
		"/stock/counts/1":  "/stock/counts/",
		"/stocks":          "",
		"/":                "",
		"orders":           "",
		"/orders/stock/12": "/orders",
	}
	for path, want := range tests {
		k, ok := s.KindByPath(path)
		require.Equal(t, want != "", ok, path)
		require.Equal(t, want, k.Name, path)
	}
}

// Guards against stale index entries after a sequence of changes: every snapshot
// that was built incrementally must equal one built from scratch.
func TestIncrementalEqualsFresh(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s *Snapshot
		for step := range rapid.IntRange(1, 6).Draw(t, "steps") {
			var c Content
			for i := range 40 {
				if rapid.Bool().Draw(t, "present") {
					w := workspace(i, rapid.IntRange(1, 2).Draw(t, "weight"))
					// Each step moves tokens to other workspaces.
					w.TokenDigests = []string{Digest([]byte(fmt.Sprintf("token-%d", (i+step)%40)))}
					c.Workspaces = append(c.Workspaces, w)
				}
				if rapid.Bool().Draw(t, "target") {
					x := target(i)
					x.Pool = rapid.SampledFrom([]string{"reviews", "drafts"}).Draw(t, "pool")
					c.Targets = append(c.Targets, x)
				}
			}
			s = mustNext(t, s, c, fmt.Sprintf("note-%d", step))
			fresh := mustNext(t, nil, c, "fresh")
			for i := range 40 {
				token := fmt.Sprintf("token-%d", i)
				want, wantOK := fresh.WorkspaceByToken(token)
				got, ok := s.WorkspaceByToken(token)
				require.Equal(t, wantOK, ok)
				require.Equal(t, want, got)
			}
			require.Equal(t, fresh.targetsByPool, s.targetsByPool)
			require.True(t, contentsEqual(c, s.Content()))
		}
	})
}
