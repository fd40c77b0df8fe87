// Package bmfollower keeps the configuration in effect on one host. It learns
// of versions from a watch of the store (one host a data centre), from
// heartbeats of other hosts, and from reads of the head at a long interval.
//
// Core is a state machine without goroutines: it takes events with the time and
// returns the calls that are due. Follower runs these calls and serves the
// configuration to this host and to its peers.
//
// Invariants: the version in effect never decreases, and a head that does not
// descend from the one in effect is never taken; every head and part is checked
// before use; readers see one immutable snapshot.
package bmfollower
