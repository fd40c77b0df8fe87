package bmbroker

import (
	"slices"
	"sort"
	"strings"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmqueue"
)

// maxClasses is the number of classes at which the classifier is rebuilt. The
// rebuild reclassifies all waiting demands, which discards unused classes.
const maxClasses = 1024

// classKey identifies a class. Demands with equal keys can be served by the same
// targets.
type classKey struct {
	model       string
	contextRank int // number of distinct context limits that the demand exceeds
	excluded    string
}

// classInfo holds the properties of the first demand of a class, which stands for
// all demands of the class when targets are matched.
type classInfo struct {
	model    string
	tokens   int
	excluded []string
	servable bool
}

// classifier groups demands by the set of targets that can serve them.
type classifier struct {
	targets       []basilmoor.Target
	contextLimits []int // distinct context limits, ascending
	ids           map[classKey]bmqueue.Class
	infos         []classInfo
}

func newClassifier(targets []basilmoor.Target) *classifier {
	c := &classifier{
		targets: targets,
		ids:     map[classKey]bmqueue.Class{},
	}
	for _, t := range targets {
		if t.ContextTokens > 0 {
			c.contextLimits = append(c.contextLimits, t.ContextTokens)
		}
	}
	sort.Ints(c.contextLimits)
	c.contextLimits = slices.Compact(c.contextLimits)
	return c
}

// full reports whether the classifier should be rebuilt.
func (c *classifier) full() bool {
	return len(c.infos) >= maxClasses
}

// classify returns the class of d and creates it if necessary.
func (c *classifier) classify(d basilmoor.Demand) bmqueue.Class {
	key := classKey{
		model:       d.Model,
		contextRank: sort.SearchInts(c.contextLimits, d.Tokens()),
		excluded:    excludedKey(d.Excluded),
	}
	if id, ok := c.ids[key]; ok {
		return id
	}
	id := bmqueue.Class(len(c.infos))
	c.ids[key] = id
	c.infos = append(c.infos, classInfo{
		model:    d.Model,
		tokens:   d.Tokens(),
		excluded: d.Excluded,
	})
	c.infos[id].servable = slices.ContainsFunc(c.targets, func(t basilmoor.Target) bool {
		return c.canServe(id, t)
	})
	return id
}

// excludedKey returns a string that is equal for equal sets of excluded targets.
func excludedKey(excluded []string) string {
	if len(excluded) == 0 {
		return ""
	}
	sorted := slices.Sorted(slices.Values(excluded))
	return strings.Join(sorted, "\x00")
}

// canServe reports whether target t can serve the demands of the class.
func (c *classifier) canServe(id bmqueue.Class, t basilmoor.Target) bool {
	info := &c.infos[id]
	return t.Serves(info.model, info.tokens) && !slices.Contains(info.excluded, t.Name)
}

// servable reports whether any listed target can serve the class.
func (c *classifier) servable(id bmqueue.Class) bool {
	return c.infos[id].servable
}
