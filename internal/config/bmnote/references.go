package bmnote

import (
	"fmt"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

// checkReferences checks the rules that involve several items: that references
// resolve, that certain values are unique, and that each kind can be served.
func (a *applier) checkReferences(c bmcatalog.Content) {
	tiers := nameSet(c.Tiers, bmcatalog.TierName)
	pools := nameSet(c.Pools, bmcatalog.PoolName)
	for _, w := range c.Workspaces {
		a.checkReference(SectionWorkspaces, w.Name, "default-tier", SectionTiers, w.DefaultTier, tiers)
	}
	for _, k := range c.Kinds {
		a.checkReference(SectionKinds, k.Name, "tier", SectionTiers, k.Tier, tiers)
		a.checkReference(SectionKinds, k.Name, "pool", SectionPools, k.Pool, pools)
	}
	for _, t := range c.Targets {
		a.checkReference(SectionTargets, t.Name, "pool", SectionPools, t.Pool, pools)
	}
	a.checkUniqueValues(c)
	a.checkKindsServed(c, pools)
}

func nameSet[T any](items []T, name func(T) string) map[string]bool {
	set := make(map[string]bool, len(items))
	for _, i := range items {
		set[name(i)] = true
	}
	return set
}

// checkReference checks that the item to which a field refers exists. If it
// doesn't, the fault is reported at the referring item if the note adds or changes
// that, and otherwise at the withdrawal of the missing item.
func (a *applier) checkReference(s Section, name, field string, to Section, value string, present map[string]bool) {
	if value == "" || present[value] {
		return
	}
	referrer := Item{
		Section: s,
		Name:    name,
	}
	if it, ok := a.noteItems[referrer]; ok {
		if it.fields[field].invalid {
			return
		}
		a.addf(it.fieldLine(field), it.path+"."+field, RuleDangling, "%s %s does not exist", itemNouns[to], value)
		return
	}
	w, ok := a.noteItems[Item{
		Section: to,
		Name:    value,
	}]
	if !ok {
		a.addf(1, "note", RuleDangling, "%s refers to %s %s, which does not exist", referrer, itemNouns[to], value)
		return
	}
	a.addf(w.line, w.path, RuleInUse, "%s is used by %s", itemNouns[to]+" "+value, referrer)
}

// checkUniqueValues checks the values that must identify a single item.
func (a *applier) checkUniqueValues(c bmcatalog.Content) {
	ranks := make(itemsByValue)
	for _, t := range c.Tiers {
		a.checkUnique(ranks, SectionTiers, t.Name, "rank", fmt.Sprint(t.Rank))
	}
	tokens := make(itemsByValue, len(c.Workspaces))
	for _, w := range c.Workspaces {
		for _, d := range w.TokenDigests {
			a.checkUnique(tokens, SectionWorkspaces, w.Name, "token-digests", d)
		}
	}
	models, paths := make(itemsByValue), make(itemsByValue)
	for _, k := range c.Kinds {
		a.checkUnique(models, SectionKinds, k.Name, "model", k.Model)
		if k.PathPrefix != "" {
			a.checkUnique(paths, SectionKinds, k.Name, "path-prefix", bmcatalog.NormalizePathPrefix(k.PathPrefix))
		}
	}
	addresses := make(itemsByValue, len(c.Targets))
	for _, t := range c.Targets {
		a.checkUnique(addresses, SectionTargets, t.Name, "address", t.Address)
	}
}

// itemsByValue maps a value to the name of the item that has it.
type itemsByValue map[string]string

// checkUnique reports a value that two items share. The fault is reported at the
// item that the note adds or changes, or at the second one if it does so to both.
func (a *applier) checkUnique(o itemsByValue, s Section, name, field, value string) {
	if value == "" {
		return
	}
	other, taken := o[value]
	if !taken {
		o[value] = name
		return
	}
	if other == name {
		return // already reported as listed twice
	}
	it, ok := a.noteItems[Item{
		Section: s,
		Name:    name,
	}]
	if !ok {
		it, ok = a.noteItems[Item{
			Section: s,
			Name:    other,
		}]
		other = name
	}
	if !ok {
		a.addf(1, "note", RuleDuplicate, "%s %s and %s have the same %s", itemNouns[s], name, other, field)
		return
	}
	a.addf(it.fieldLine(field), it.path+"."+field, RuleDuplicate, "%s %s has the same %s", itemNouns[s], other, field)
}

// checkKindsServed checks that each kind whose pool exists has a target that can
// serve it and is not leaving. It does nothing if any field value is invalid,
// because a fault found here might only be a consequence of that.
func (a *applier) checkKindsServed(c bmcatalog.Content, pools map[string]bool) {
	for _, it := range a.noteItems {
		if it.hasInvalidField() {
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
			if !served[k.Name] && targetServesKind(k, t) {
				served[k.Name] = true
			}
		}
	}
	for _, k := range c.Kinds {
		if !served[k.Name] && pools[k.Pool] && (k.Model != "" || k.PathPrefix != "") {
			a.addUnserved(k)
		}
	}
}

// addUnserved reports a kind that no target can serve. The fault is reported at
// the kind if the note adds or changes it, and otherwise at the targets of the
// kind's pool that the note changes or withdraws.
func (a *applier) addUnserved(k basilmoor.Kind) {
	const detail = "kind %s has no target in pool %s that is not leaving and can serve it"
	if it, ok := a.noteItems[Item{
		Section: SectionKinds,
		Name:    k.Name,
	}]; ok {
		a.addf(it.line, it.path, RuleKindUnserved, detail, k.Name, k.Pool)
		return
	}
	reported := false
	for _, t := range a.before.Targets {
		it, ok := a.noteItems[Item{
			Section: SectionTargets,
			Name:    t.Name,
		}]
		if !ok || t.Pool != k.Pool {
			continue
		}
		reported = true
		a.addf(it.line, it.path, RuleKindUnserved, detail, k.Name, k.Pool)
	}
	if !reported {
		a.addf(1, "note", RuleKindUnserved, detail, k.Name, k.Pool)
	}
}
