package bmbroker

import (
	"slices"
	"sort"
	"strings"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmqueue"
)

// maxClasses bounds the classes before those that are no longer in use are
// dropped by classifying all waiting demands anew.
const maxClasses = 1024

// classKey tells demands apart that different targets can serve.
type classKey struct {
	model    string
	contexts int // number of distinct context limits that the demand exceeds
	excluded string
}

// classSample stands for all demands of a class.
type classSample struct {
	model    string
	tokens   int
	excluded []string
	servable bool
}

// classes divides demands by the targets that can serve them.
type classes struct {
	targets []basilmoor.Target
	limits  []int // distinct context limits, ascending
	ids     map[classKey]bmqueue.Class
	samples []classSample
}

func newClasses(targets []basilmoor.Target) *classes {
	c := &classes{
		targets: targets,
		ids:     map[classKey]bmqueue.Class{},
	}
	for _, t := range targets {
		if t.ContextTokens > 0 {
			c.limits = append(c.limits, t.ContextTokens)
		}
	}
	sort.Ints(c.limits)
	c.limits = slices.Compact(c.limits)
	return c
}

func (c *classes) full() bool {
	return len(c.samples) >= maxClasses
}

func (c *classes) of(d basilmoor.Demand) bmqueue.Class {
	key := classKey{
		model:    d.Model,
		contexts: sort.SearchInts(c.limits, d.Tokens()),
		excluded: excludedKey(d.Excluded),
	}
	if id, ok := c.ids[key]; ok {
		return id
	}
	id := bmqueue.Class(len(c.samples))
	c.ids[key] = id
	c.samples = append(c.samples, classSample{
		model:    d.Model,
		tokens:   d.Tokens(),
		excluded: d.Excluded,
	})
	c.samples[id].servable = slices.ContainsFunc(c.targets, func(t basilmoor.Target) bool {
		return c.fits(id, t)
	})
	return id
}

func excludedKey(excluded []string) string {
	if len(excluded) == 0 {
		return ""
	}
	sorted := slices.Sorted(slices.Values(excluded))
	return strings.Join(sorted, "\x00")
}

func (c *classes) fits(id bmqueue.Class, t basilmoor.Target) bool {
	sample := &c.samples[id]
	return t.Serves(sample.model, sample.tokens) && !slices.Contains(sample.excluded, t.Name)
}

// servable tells whether any listed target can serve the class.
func (c *classes) servable(id bmqueue.Class) bool {
	return c.samples[id].servable
}
