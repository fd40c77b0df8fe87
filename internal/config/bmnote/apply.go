package bmnote

import (
	"cmp"
	"slices"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

// Apply returns the content that the note makes of c, which must be ordered by
// name. The error is an *InvalidError with all faults; c is never changed.
func Apply(c bmcatalog.Content, n *Note) (bmcatalog.Content, error) {
	next, f := apply(c, n)
	if err := f.err(); err != nil {
		return bmcatalog.Content{}, err
	}
	return next, nil
}

// Validate reads a note and checks it against c, which is in effect as
// version. Unlike Parse followed by Apply it reports the faults of both at
// once. The error is an *InvalidError.
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
		note:   n,
		before: c,
		given:  make(map[Item]item),
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

// CheckBase reports a note that was written for a version that doesn't exist.
func CheckBase(n *Note, version int64) error {
	var f faults
	f.checkBase(n, version)
	return f.err()
}

func (f *faults) checkBase(n *Note, version int64) {
	if n.baseVersion > version {
		f.add(n.baseLine, "base-version", RuleBaseVersionAhead, "version %d is in effect", version)
	}
}

// applier collects the faults of one application.
type applier struct {
	faults
	note   *Note
	before bmcatalog.Content

	// given holds the items that the note adds or changes and that were
	// taken over, and those that it withdraws.
	given map[Item]item
}

// applySection returns the section's list after the note. An unchanged list
// is returned as it is.
func applySection[T any](a *applier, s Section, before []T, name func(T) string) []T {
	added, changed, withdrawn := a.note.added[s], a.note.changed[s], a.note.withdrawn[s]
	if len(added)+len(changed)+len(withdrawn) == 0 {
		return before
	}
	byName := func(i T, n string) int { return cmp.Compare(name(i), n) }
	after := slices.Clone(before)
	for _, it := range changed {
		at, found := slices.BinarySearchFunc(after, it.name, byName)
		if !found {
			a.absent(s, it)
			continue
		}
		a.decode(s, it, &after[at])
	}
	remove := make(map[string]bool, len(withdrawn))
	for _, it := range withdrawn {
		if _, found := slices.BinarySearchFunc(before, it.name, byName); !found {
			a.absent(s, it)
			continue
		}
		a.given[Item{
			Section: s,
			Name:    it.name,
		}] = it
		remove[it.name] = true
	}
	after = slices.DeleteFunc(after, func(i T) bool { return remove[name(i)] })
	for _, it := range added {
		if _, found := slices.BinarySearchFunc(before, it.name, byName); found {
			a.add(it.line, it.path, RuleAlreadyPresent, "%s %s exists; list it under changed", singular[s], it.name)
			continue
		}
		var v T
		a.decode(s, it, &v)
		after = append(after, v)
	}
	slices.SortFunc(after, func(x, y T) int { return cmp.Compare(name(x), name(y)) })
	return after
}

func (a *applier) absent(s Section, it item) {
	a.add(it.line, it.path, RuleAbsent, "%s %s does not exist", singular[s], it.name)
}

// decode sets the given fields of v. Fields that are not given keep their
// value. Lists are replaced, never written to in place.
func (a *applier) decode(s Section, it item, v any) {
	pointers := fieldPointers(v)
	for name, f := range it.fields {
		if f.bad {
			continue
		}
		if err := f.value.Decode(pointers[name]); err != nil {
			a.add(f.line, it.path+"."+name, RuleType, "%v", err)
		}
	}
	a.given[Item{
		Section: s,
		Name:    it.name,
	}] = it
}

// kindServed reports whether a target serves a kind with its expected tokens.
func kindServed(k basilmoor.Kind, t basilmoor.Target) bool {
	wantType := basilmoor.ServiceTarget
	if k.Model != "" {
		wantType = basilmoor.EngineTarget
	}
	return t.Type == wantType && t.Serves(k.Model, k.ExpectedPromptTokens+k.ExpectedOutputTokens)
}
