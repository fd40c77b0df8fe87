// Package bmfollower keeps one host's configuration up to date. It learns about
// new versions from a watch on the store (held by one host in each data
// centre), from the heartbeats of other hosts, and from infrequent polls of the
// head.
//
// Core is a state machine without goroutines or I/O: each event carries the
// current time and returns the calls to make. Follower makes these calls and
// serves the configuration to this host and its peers.
//
// Invariants: the version in effect never decreases; a head that does not
// descend from the one in effect is never applied; every head and part is
// validated before use; readers see a single immutable snapshot.
package bmfollower
