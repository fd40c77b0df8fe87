// Package bmcatalog holds the operators' configuration as an immutable
// snapshot, and its stored form: a head and parts.
//
// The head lists the parts by content digest. Each part names the version for
// which it was written, so that a digest which a head no longer lists never
// comes back and its part can be deleted safely.
//
// Invariants: a snapshot never changes; every part and the head of a snapshot
// were checked against their digests before use; parts with equal digests are
// decoded once and shared between snapshots.
package bmcatalog
