// Package bmmember implements membership and failure detection for the hosts of
// a fleet.
//
// State is a deterministic state machine that is driven by the caller's clock:
// it returns the heartbeats that are due and merges those received. Driver runs
// a State and sends its heartbeats over a Transport.
//
// The hosts of a data centre form a mesh: each host exchanges heartbeats with
// its neighbours on a ring of the members and relays what it has heard about
// other members. In a fleet of up to 16 hosts, one mesh covers the whole fleet
// and all hosts are neighbours. In larger fleets, a host knows the members of
// other data centres from rosters. For each pair of data centres in a region,
// and for each data centre and other region, one host chosen by rendezvous
// hashing exchanges rosters. In the steady state both sides only compare
// digests and send one byte for each data centre.
//
// Heartbeats relay a host's tick, a counter of the seconds since its start,
// instead of the age of its last heartbeat. A host is live as long as its tick
// increases. A relayed age would miss the network delay of each hop, so that
// hosts could keep a dead host live by hearing of it from each other. A data
// centre's tick is a clock in seconds that its members share: each takes the
// highest value that it has seen.
//
// Invariants: the known incarnation of a host never decreases, and within one
// incarnation a heartbeat never overrides a later one.
package bmmember
