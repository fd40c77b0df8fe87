package bmnote

import (
	"fmt"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

// checkReferences checks what concerns several items: references, values that
// must be unique, and that each kind can be served.
func (a *applier) checkReferences(c bmcatalog.Content) {
	tiers := names(c.Tiers, bmcatalog.TierName)
	pools := names(c.Pools, bmcatalog.PoolName)
	for _, w := range c.Workspaces {
		a.reference(SectionWorkspaces, w.Name, "default-tier", SectionTiers, w.DefaultTier, tiers)
	}
	for _, k := range c.Kinds {
		a.reference(SectionKinds, k.Name, "tier", SectionTiers, k.Tier, tiers)
		a.reference(SectionKinds, k.Name, "pool", SectionPools, k.Pool, pools)
	}
	for _, t := range c.Targets {
		a.reference(SectionTargets, t.Name, "pool", SectionPools, t.Pool, pools)
	}
	a.uniqueValues(c)
	a.servedKinds(c, pools)
}

func names[T any](items []T, name func(T) string) map[string]bool {
	set := make(map[string]bool, len(items))
	for _, i := range items {
		set[name(i)] = true
	}
	return set
}

// reference checks that a named item exists. A missing one is charged to its
// withdrawal, or else to the item that refers to it.
func (a *applier) reference(s Section, name, field string, to Section, value string, present map[string]bool) {
	if value == "" || present[value] {
		return
	}
	user := Item{
		Section: s,
		Name:    name,
	}
	if it, ok := a.given[user]; ok {
		if it.fields[field].bad {
			return
		}
		a.add(it.fieldLine(field), it.path+"."+field, RuleDangling, "%s %s does not exist", singular[to], value)
		return
	}
	w, ok := a.given[Item{
		Section: to,
		Name:    value,
	}]
	if !ok {
		a.add(1, "note", RuleDangling, "%s refers to %s %s, which does not exist", user, singular[to], value)
		return
	}
	a.add(w.line, w.path, RuleInUse, "%s is used by %s", singular[to]+" "+value, user)
}

// uniqueValues checks values that select one item.
func (a *applier) uniqueValues(c bmcatalog.Content) {
	ranks := make(owners)
	for _, t := range c.Tiers {
		a.unique(ranks, SectionTiers, t.Name, "rank", fmt.Sprint(t.Rank))
	}
	tokens := make(owners, len(c.Workspaces))
	for _, w := range c.Workspaces {
		for _, d := range w.TokenDigests {
			a.unique(tokens, SectionWorkspaces, w.Name, "token-digests", d)
		}
	}
	models, paths := make(owners), make(owners)
	for _, k := range c.Kinds {
		a.unique(models, SectionKinds, k.Name, "model", k.Model)
		if k.PathPrefix != "" {
			a.unique(paths, SectionKinds, k.Name, "path-prefix", bmcatalog.NormalPathPrefix(k.PathPrefix))
		}
	}
	addresses := make(owners, len(c.Targets))
	for _, t := range c.Targets {
		a.unique(addresses, SectionTargets, t.Name, "address", t.Address)
	}
}

// owners maps a value to the item that has it.
type owners map[string]string

// unique charges a repeated value to the item that the note gives, and to the
// second one if it gives both.
func (a *applier) unique(o owners, s Section, name, field, value string) {
	if value == "" {
		return
	}
	other, taken := o[value]
	if !taken {
		o[value] = name
		return
	}
	if other == name {
		return // reported as a value that is listed twice
	}
	it, ok := a.given[Item{
		Section: s,
		Name:    name,
	}]
	if !ok {
		it, ok = a.given[Item{
			Section: s,
			Name:    other,
		}]
		other = name
	}
	if !ok {
		a.add(1, "note", RuleDuplicate, "%s %s and %s have the same %s", singular[s], name, other, field)
		return
	}
	a.add(it.fieldLine(field), it.path+"."+field, RuleDuplicate, "%s %s has the same %s", singular[s], other, field)
}

// servedKinds checks that each kind whose pool exists has a target that stays
// and can serve it. It needs all values: with some unreadable, a fault here
// might only follow from them.
func (a *applier) servedKinds(c bmcatalog.Content, pools map[string]bool) {
	for _, it := range a.given {
		if it.hasBadField() {
			return
		}
	}
	served := make(map[string]bool, len(c.Kinds))
	byPool := make(map[string][]basilmoor.Kind)
	for _, k := range c.Kinds {
		byPool[k.Pool] = append(byPool[k.Pool], k)
	}
	for _, t := range c.Targets {
		for _, k := range byPool[t.Pool] {
			if !served[k.Name] && kindServed(k, t) {
				served[k.Name] = true
			}
		}
	}
	for _, k := range c.Kinds {
		if !served[k.Name] && pools[k.Pool] && (k.Model != "" || k.PathPrefix != "") {
			a.unserved(k)
		}
	}
}

// unserved charges the fault to the kind if the note gives it, or else to the
// targets that the note takes from the kind's pool.
func (a *applier) unserved(k basilmoor.Kind) {
	const detail = "kind %s has no target in pool %s that is not leaving and can serve it"
	if it, ok := a.given[Item{
		Section: SectionKinds,
		Name:    k.Name,
	}]; ok {
		a.add(it.line, it.path, RuleKindUnserved, detail, k.Name, k.Pool)
		return
	}
	charged := false
	for _, t := range a.before.Targets {
		it, ok := a.given[Item{
			Section: SectionTargets,
			Name:    t.Name,
		}]
		if !ok || t.Pool != k.Pool {
			continue
		}
		charged = true
		a.add(it.line, it.path, RuleKindUnserved, detail, k.Name, k.Pool)
	}
	if !charged {
		a.add(1, "note", RuleKindUnserved, detail, k.Name, k.Pool)
	}
}
