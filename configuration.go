package basilmoor

import "context"

// Catalog is an immutable snapshot of the configuration.
type Catalog interface {
	// Version is the number of accepted release notes, from 1.
	Version() int64

	// NoteID identifies the release note that made this version.
	NoteID() string

	// WorkspaceByToken returns the workspace that a bearer token belongs to.
	WorkspaceByToken(token string) (Workspace, bool)

	// KindByModel returns the kind of requests that name a model.
	KindByModel(model string) (Kind, bool)

	// KindByPath returns the kind with the longest matching path prefix.
	KindByPath(path string) (Kind, bool)

	// TierByName returns a tier.
	TierByName(name string) (Tier, bool)

	// Pools returns all pools, ordered by name. The caller must not change
	// the slice.
	Pools() []Pool

	// Targets returns the targets of a pool, ordered by name. The caller must
	// not change the slice.
	Targets(pool string) []Target
}

// CatalogSource gives the configuration that is in effect.
type CatalogSource interface {
	// Catalog returns the snapshot in effect; false before the first one.
	Catalog() (Catalog, bool)
}

// ConfigPart is one part of the stored configuration.
type ConfigPart struct {
	Digest string // lower-case hexadecimal SHA-256 of Value
	Value  []byte
}

// ConfigPeer passes configuration from one host to another.
type ConfigPeer interface {
	// Fetch returns the peer's head as stored and the parts whose digests are
	// not in held.
	Fetch(ctx context.Context, held []string) (head []byte, parts []ConfigPart, err error)
}
