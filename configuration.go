package basilmoor

import "context"

// Catalog is an immutable snapshot of the configuration.
type Catalog interface {
	// Version is the number of accepted release notes, from 1.
	Version() int64

	// NoteID is the ID of the release note that created this version.
	NoteID() string

	// WorkspaceByToken returns the workspace that a bearer token belongs to.
	WorkspaceByToken(token string) (Workspace, bool)

	// KindByModel returns the kind of requests for the given model.
	KindByModel(model string) (Kind, bool)

	// KindByPath returns the kind with the longest matching path prefix.
	KindByPath(path string) (Kind, bool)

	// TierByName returns the tier with the given name.
	TierByName(name string) (Tier, bool)

	// Pools returns all pools, ordered by name. The caller must not change
	// the slice.
	Pools() []Pool

	// Targets returns the targets of a pool, ordered by name. The caller must
	// not change the slice.
	Targets(pool string) []Target
}

// CatalogSource provides the current configuration.
type CatalogSource interface {
	// Catalog returns the current snapshot, or false if none has been loaded
	// yet.
	Catalog() (Catalog, bool)
}

// ConfigPart is one content-addressed part of the stored configuration.
type ConfigPart struct {
	Digest string // lower-case hexadecimal SHA-256 of Value
	Value  []byte
}

// ConfigPeer fetches the configuration from another host.
type ConfigPeer interface {
	// Fetch returns the peer's configuration head as stored, and the parts
	// whose digests are not in held.
	Fetch(ctx context.Context, held []string) (head []byte, parts []ConfigPart, err error)
}
