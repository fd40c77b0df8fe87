package bmcatalog

import (
	"maps"
	"strings"

	"basilmoor.example/basilmoor"
)

// tokenShards is the number of maps of the token index. A change clones only
// the shards of the tokens that it touches, about 100 of 25,000 entries each.
const tokenShards = 256

// tokenIndex finds workspaces by token digest. It is copied before it is
// changed, and maps are shared between snapshots.
type tokenIndex struct {
	shards [tokenShards]map[string]*basilmoor.Workspace
}

func tokenShard(digest string) int {
	if len(digest) < 2 {
		return 0
	}
	return hexDigit(digest[0])<<4 | hexDigit(digest[1])
}

func hexDigit(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	default:
		return 0
	}
}

func (x *tokenIndex) find(digest string) (*basilmoor.Workspace, bool) {
	w, ok := x.shards[tokenShard(digest)][digest]
	return w, ok
}

// tokenChanges collects the changes between two snapshots.
type tokenChanges struct {
	removed []string
	set     map[string]*basilmoor.Workspace
}

// addPart compares two contents of one part, ordered by name.
func (c *tokenChanges) addPart(before, after []basilmoor.Workspace) {
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch {
		case j == len(after) || (i < len(before) && before[i].Name < after[j].Name):
			c.removed = append(c.removed, before[i].TokenDigests...)
			i++
		case i == len(before) || after[j].Name < before[i].Name:
			c.setWorkspace(&after[j])
			j++
		default:
			if !EqualWorkspaces(before[i], after[j]) {
				c.removed = append(c.removed, before[i].TokenDigests...)
				c.setWorkspace(&after[j])
			}
			i++
			j++
		}
	}
}

func (c *tokenChanges) setWorkspace(w *basilmoor.Workspace) {
	if c.set == nil {
		c.set = make(map[string]*basilmoor.Workspace)
	}
	for _, d := range w.TokenDigests {
		c.set[d] = w
	}
}

// with returns the index after changes. Removals come first, because a token
// may move from one workspace to another.
func (x *tokenIndex) with(c tokenChanges) *tokenIndex {
	if len(c.removed) == 0 && len(c.set) == 0 {
		return x
	}
	next := *x
	var cloned [tokenShards]bool
	shard := func(digest string) map[string]*basilmoor.Workspace {
		i := tokenShard(digest)
		if !cloned[i] {
			cloned[i] = true
			next.shards[i] = maps.Clone(next.shards[i])
		}
		if next.shards[i] == nil {
			next.shards[i] = make(map[string]*basilmoor.Workspace)
		}
		return next.shards[i]
	}
	for _, d := range c.removed {
		delete(shard(d), d)
	}
	for d, w := range c.set {
		shard(d)[d] = w
	}
	return &next
}

// kindIndex finds tiers and kinds.
type kindIndex struct {
	tiers  map[string]basilmoor.Tier
	models map[string]basilmoor.Kind
	paths  map[string]basilmoor.Kind // by NormalPathPrefix
}

func newKindIndex(c Content) *kindIndex {
	x := &kindIndex{
		tiers:  make(map[string]basilmoor.Tier, len(c.Tiers)),
		models: make(map[string]basilmoor.Kind, len(c.Kinds)),
		paths:  make(map[string]basilmoor.Kind, len(c.Kinds)),
	}
	for _, t := range c.Tiers {
		x.tiers[t.Name] = t
	}
	for _, k := range c.Kinds {
		if k.Model != "" {
			x.models[k.Model] = k
		}
		if k.PathPrefix != "" {
			x.paths[NormalPathPrefix(k.PathPrefix)] = k
		}
	}
	return x
}

// byPath tries the path and then each prefix that ends before a slash, so that
// the cost depends on the path's depth and not on the number of kinds.
func (x *kindIndex) byPath(path string) (basilmoor.Kind, bool) {
	for p := path; p != ""; {
		if k, ok := x.paths[p]; ok {
			return k, true
		}
		slash := strings.LastIndexByte(p, '/')
		if slash < 0 {
			break
		}
		p = p[:slash]
	}
	k, ok := x.paths["/"]
	return k, ok && strings.HasPrefix(path, "/")
}
