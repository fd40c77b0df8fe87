package bmcatalog

import (
	"basilmoor.example/basilmoor"
)

// WorkspaceByToken returns the workspace to which a bearer token belongs.
func (s *Snapshot) WorkspaceByToken(token string) (basilmoor.Workspace, bool) {
	if s == nil {
		return basilmoor.Workspace{}, false
	}
	w, ok := s.tokens.find(Digest([]byte(token)))
	if !ok {
		return basilmoor.Workspace{}, false
	}
	return *w, true
}

// KindByModel returns the kind of requests for the given model.
func (s *Snapshot) KindByModel(model string) (basilmoor.Kind, bool) {
	if s == nil {
		return basilmoor.Kind{}, false
	}
	k, ok := s.routes.kindsByModel[model]
	return k, ok
}

// KindByPath returns the kind with the longest matching path prefix. Prefixes
// match whole segments: /stock matches /stock/7 but not /stocks.
func (s *Snapshot) KindByPath(path string) (basilmoor.Kind, bool) {
	if s == nil {
		return basilmoor.Kind{}, false
	}
	return s.routes.findByPath(path)
}

// TierByName returns the tier with the given name.
func (s *Snapshot) TierByName(name string) (basilmoor.Tier, bool) {
	if s == nil {
		return basilmoor.Tier{}, false
	}
	t, ok := s.routes.tiers[name]
	return t, ok
}

// Pools returns all pools, ordered by name.
func (s *Snapshot) Pools() []basilmoor.Pool {
	return s.baseContent().Pools
}

// Targets returns the targets of a pool, ordered by name.
func (s *Snapshot) Targets(pool string) []basilmoor.Target {
	if s == nil {
		return nil
	}
	return s.targetsByPool[pool]
}

// Kinds returns all kinds, ordered by name. The caller must not modify the
// slice.
func (s *Snapshot) Kinds() []basilmoor.Kind {
	return s.baseContent().Kinds
}

// Content returns the complete configuration, with each list ordered by name.
func (s *Snapshot) Content() Content {
	if s == nil {
		return Content{}
	}
	var c Content
	for _, r := range s.head.Parts {
		p := s.parts[r.Name].content
		c.Tiers = append(c.Tiers, p.Tiers...)
		c.Workspaces = append(c.Workspaces, p.Workspaces...)
		c.Kinds = append(c.Kinds, p.Kinds...)
		c.Pools = append(c.Pools, p.Pools...)
		c.Targets = append(c.Targets, p.Targets...)
	}
	return c.Sorted()
}

// baseContent returns the content of the part that holds tiers, kinds and pools.
func (s *Snapshot) baseContent() Content {
	if s == nil {
		return Content{}
	}
	p := s.parts[basePartName]
	if p == nil {
		return Content{}
	}
	return p.content
}
