// Package bmcatalog holds the operators' configuration as an immutable
// snapshot, and its stored form: a head and parts.
//
// The head lists the parts by content digest. Each part contains the version
// for which it was written, so that a digest that a head no longer lists is
// never listed again and its part can be deleted safely.
//
// Invariants:
//   - A snapshot never changes.
//   - Every part of a snapshot that was received or read from the store was
//     verified against its digest before use.
//   - Parts with equal digests are decoded once and shared between snapshots.
package bmcatalog
