package bmcatalog

import (
	"slices"
	"strings"

	"basilmoor.example/basilmoor"
)

// Content is the complete configuration that operators set. Each list is ordered
// by name, and names are unique within a list. Lists must not be modified in
// place, because snapshots share them.
type Content struct {
	Tiers      []basilmoor.Tier      `json:"tiers,omitempty"`
	Workspaces []basilmoor.Workspace `json:"workspaces,omitempty"`
	Kinds      []basilmoor.Kind      `json:"kinds,omitempty"`
	Pools      []basilmoor.Pool      `json:"pools,omitempty"`
	Targets    []basilmoor.Target    `json:"targets,omitempty"`
}

// Sorted returns a copy of c with each list ordered by name.
func (c Content) Sorted() Content {
	return Content{
		Tiers:      sortedByName(c.Tiers, TierName),
		Workspaces: sortedByName(c.Workspaces, WorkspaceName),
		Kinds:      sortedByName(c.Kinds, KindName),
		Pools:      sortedByName(c.Pools, PoolName),
		Targets:    sortedByName(c.Targets, TargetName),
	}
}

// TierName returns the name of a tier.
func TierName(t basilmoor.Tier) string { return t.Name }

// WorkspaceName returns the name of a workspace.
func WorkspaceName(w basilmoor.Workspace) string { return w.Name }

// KindName returns the name of a kind.
func KindName(k basilmoor.Kind) string { return k.Name }

// PoolName returns the name of a pool.
func PoolName(p basilmoor.Pool) string { return p.Name }

// TargetName returns the name of a target.
func TargetName(t basilmoor.Target) string { return t.Name }

func sortedByName[T any](items []T, name func(T) string) []T {
	items = slices.Clone(items)
	slices.SortFunc(items, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return items
}

// EqualWorkspaces reports whether a and b are equal in every field.
func EqualWorkspaces(a, b basilmoor.Workspace) bool {
	if !slices.Equal(a.TokenDigests, b.TokenDigests) {
		return false
	}
	return a.Name == b.Name && a.Weight == b.Weight && a.MaxConcurrent == b.MaxConcurrent &&
		a.RatePerSecond == b.RatePerSecond && a.DefaultTier == b.DefaultTier
}

// EqualTargets reports whether a and b are equal in every field.
func EqualTargets(a, b basilmoor.Target) bool {
	if !slices.Equal(a.Models, b.Models) || !slices.Equal(a.Adapters, b.Adapters) {
		return false
	}
	return a.Name == b.Name && a.Pool == b.Pool && a.Type == b.Type &&
		a.Address == b.Address && a.DataCentre == b.DataCentre && a.Generation == b.Generation &&
		a.Version == b.Version && a.Role == b.Role && a.Slots == b.Slots &&
		a.CacheTokens == b.CacheTokens && a.ContextTokens == b.ContextTokens &&
		a.ChecksFencing == b.ChecksFencing && a.Leaving == b.Leaving
}

func contentsEqual(a, b Content) bool {
	return slices.Equal(a.Tiers, b.Tiers) &&
		slices.EqualFunc(a.Workspaces, b.Workspaces, EqualWorkspaces) &&
		slices.Equal(a.Kinds, b.Kinds) &&
		slices.Equal(a.Pools, b.Pools) &&
		slices.EqualFunc(a.Targets, b.Targets, EqualTargets)
}

// NormalizePathPrefix returns prefix in the normalized form used for comparison:
// without trailing slashes, except for the root.
func NormalizePathPrefix(prefix string) string {
	trimmed := strings.TrimRight(prefix, "/")
	if trimmed == "" {
		return "/"
	}
	return trimmed
}
