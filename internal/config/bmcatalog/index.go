package bmcatalog

import (
	"maps"
	"strings"

	"basilmoor.example/basilmoor"
)

// tokenShardCount is the number of maps in the token index. A change clones only
// the maps of the affected tokens: with 25,000 entries in total, about 100 entries
// per map.
const tokenShardCount = 256

// tokenIndex finds workspaces by token digest. It is copy-on-write: snapshots
// share the maps that did not change.
type tokenIndex struct {
	shards [tokenShardCount]map[string]*basilmoor.Workspace
}

// tokenShardIndex returns the index of the shard of a digest: the value of its
// first two hexadecimal digits.
func tokenShardIndex(digest string) int {
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
	w, ok := x.shards[tokenShardIndex(digest)][digest]
	return w, ok
}

// tokenChanges collects the changes of token digests between two snapshots.
type tokenChanges struct {
	removed  []string
	assigned map[string]*basilmoor.Workspace
}

// addDiff adds the differences between two workspace lists of a part. Both must
// be ordered by name.
func (c *tokenChanges) addDiff(before, after []basilmoor.Workspace) {
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch {
		case j == len(after) || (i < len(before) && before[i].Name < after[j].Name):
			c.removed = append(c.removed, before[i].TokenDigests...)
			i++
		case i == len(before) || after[j].Name < before[i].Name:
			c.assign(&after[j])
			j++
		default:
			if !EqualWorkspaces(before[i], after[j]) {
				c.removed = append(c.removed, before[i].TokenDigests...)
				c.assign(&after[j])
			}
			i++
			j++
		}
	}
}

func (c *tokenChanges) assign(w *basilmoor.Workspace) {
	if c.assigned == nil {
		c.assigned = make(map[string]*basilmoor.Workspace)
	}
	for _, d := range w.TokenDigests {
		c.assigned[d] = w
	}
}

// with returns a copy of the index with the changes applied. Removals are applied
// first, because a token may move from one workspace to another.
func (x *tokenIndex) with(c tokenChanges) *tokenIndex {
	if len(c.removed) == 0 && len(c.assigned) == 0 {
		return x
	}
	next := *x
	var cloned [tokenShardCount]bool
	shard := func(digest string) map[string]*basilmoor.Workspace {
		i := tokenShardIndex(digest)
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
	for d, w := range c.assigned {
		shard(d)[d] = w
	}
	return &next
}

// routeIndex finds tiers by name, and kinds by model and by path prefix.
type routeIndex struct {
	tiers             map[string]basilmoor.Tier
	kindsByModel      map[string]basilmoor.Kind
	kindsByPathPrefix map[string]basilmoor.Kind // keys are normalized by NormalizePathPrefix
}

func newRouteIndex(c Content) *routeIndex {
	x := &routeIndex{
		tiers:             make(map[string]basilmoor.Tier, len(c.Tiers)),
		kindsByModel:      make(map[string]basilmoor.Kind, len(c.Kinds)),
		kindsByPathPrefix: make(map[string]basilmoor.Kind, len(c.Kinds)),
	}
	for _, t := range c.Tiers {
		x.tiers[t.Name] = t
	}
	for _, k := range c.Kinds {
		if k.Model != "" {
			x.kindsByModel[k.Model] = k
		}
		if k.PathPrefix != "" {
			x.kindsByPathPrefix[NormalizePathPrefix(k.PathPrefix)] = k
		}
	}
	return x
}

// findByPath returns the kind with the longest matching path prefix. It looks up
// the path and then each shorter prefix that ends before a slash, so that the cost
// depends on the depth of the path and not on the number of kinds.
func (x *routeIndex) findByPath(path string) (basilmoor.Kind, bool) {
	for p := path; p != ""; {
		if k, ok := x.kindsByPathPrefix[p]; ok {
			return k, true
		}
		slash := strings.LastIndexByte(p, '/')
		if slash < 0 {
			break
		}
		p = p[:slash]
	}
	k, ok := x.kindsByPathPrefix["/"]
	return k, ok && strings.HasPrefix(path, "/")
}
