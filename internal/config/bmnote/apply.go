package bmnote

import (
	"cmp"
	"slices"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

// Apply returns the content that results from applying the note to c, whose lists
// must be ordered by name. It does not modify c. The error is an *InvalidError
// with all faults.
func Apply(c bmcatalog.Content, n *Note) (bmcatalog.Content, error) {
	next, f := apply(c, n)
	if err := f.err(); err != nil {
		return bmcatalog.Content{}, err
	}
	return next, nil
}

// Validate parses a note and checks it against c, the content of the given
// version, which is in effect. Unlike Parse followed by Apply, it reports the
// faults of both at once. The error is an *InvalidError.
func Validate(text []byte, c bmcatalog.Content, version int64) (*Note, error) {
	p := parse(text)
	if p.readable {
		_, f := apply(c, p.note)
		p.list = append(p.list, f.list...)
		p.checkBase(p.note, version)
	}
	if err := p.err(); err != nil {
		return nil, err
	}
	return p.note, nil
}

func apply(c bmcatalog.Content, n *Note) (bmcatalog.Content, *faults) {
	a := &applier{
		note:      n,
		before:    c,
		noteItems: make(map[Item]item),
	}
	next := bmcatalog.Content{
		Tiers:      applySection(a, SectionTiers, c.Tiers, bmcatalog.TierName),
		Workspaces: applySection(a, SectionWorkspaces, c.Workspaces, bmcatalog.WorkspaceName),
		Kinds:      applySection(a, SectionKinds, c.Kinds, bmcatalog.KindName),
		Pools:      applySection(a, SectionPools, c.Pools, bmcatalog.PoolName),
		Targets:    applySection(a, SectionTargets, c.Targets, bmcatalog.TargetName),
	}
	a.checkItems(next)
	a.checkReferences(next)
	return next, &a.faults
}

// CheckBaseVersion returns an *InvalidError if the base version of the note is
// higher than version, the one in effect.
func CheckBaseVersion(n *Note, version int64) error {
	var f faults
	f.checkBase(n, version)
	return f.err()
}

func (f *faults) checkBase(n *Note, version int64) {
	if n.baseVersion > version {
		f.addf(n.baseVersionLine, "base-version", RuleBaseVersionAhead, "version %d is in effect", version)
	}
}

// applier applies one note and collects the faults found.
type applier struct {
	faults
	note   *Note
	before bmcatalog.Content

	// noteItems holds the items that the note adds, changes or withdraws,
	// without those that were rejected as already present or absent.
	noteItems map[Item]item
}

// applySection returns the section's list with the note applied. If the note does
// not affect the section, it returns before itself.
func applySection[T any](a *applier, s Section, before []T, name func(T) string) []T {
	added, changed, withdrawn := a.note.added[s], a.note.changed[s], a.note.withdrawn[s]
	if len(added)+len(changed)+len(withdrawn) == 0 {
		return before
	}
	byName := func(i T, n string) int { return cmp.Compare(name(i), n) }
	after := slices.Clone(before)
	for _, it := range changed {
		index, found := slices.BinarySearchFunc(after, it.name, byName)
		if !found {
			a.addAbsent(s, it)
			continue
		}
		a.setFields(s, it, &after[index])
	}
	isWithdrawn := make(map[string]bool, len(withdrawn))
	for _, it := range withdrawn {
		if _, found := slices.BinarySearchFunc(before, it.name, byName); !found {
			a.addAbsent(s, it)
			continue
		}
		a.noteItems[Item{
			Section: s,
			Name:    it.name,
		}] = it
		isWithdrawn[it.name] = true
	}
	after = slices.DeleteFunc(after, func(i T) bool { return isWithdrawn[name(i)] })
	for _, it := range added {
		if _, found := slices.BinarySearchFunc(before, it.name, byName); found {
			a.addf(it.line, it.path, RuleAlreadyPresent, "%s %s exists; list it under changed", itemNouns[s], it.name)
			continue
		}
		var v T
		a.setFields(s, it, &v)
		after = append(after, v)
	}
	slices.SortFunc(after, func(x, y T) int { return cmp.Compare(name(x), name(y)) })
	return after
}

// addAbsent reports an item that doesn't exist.
func (a *applier) addAbsent(s Section, it item) {
	a.addf(it.line, it.path, RuleAbsent, "%s %s does not exist", itemNouns[s], it.name)
}

// setFields sets the fields of v that the note sets. Other fields keep their
// value. Lists are replaced, not modified in place.
func (a *applier) setFields(s Section, it item, v any) {
	pointers := fieldPointers(v)
	for name, f := range it.fields {
		if f.invalid {
			continue
		}
		if err := f.value.Decode(pointers[name]); err != nil {
			a.addf(f.line, it.path+"."+name, RuleType, "%v", err)
		}
	}
	a.noteItems[Item{
		Section: s,
		Name:    it.name,
	}] = it
}

// targetServesKind reports whether a target can serve requests of a kind, given
// the kind's expected number of tokens.
func targetServesKind(k basilmoor.Kind, t basilmoor.Target) bool {
	wantType := basilmoor.ServiceTarget
	if k.Model != "" {
		wantType = basilmoor.EngineTarget
	}
	return t.Type == wantType && t.Serves(k.Model, k.ExpectedPromptTokens+k.ExpectedOutputTokens)
}
