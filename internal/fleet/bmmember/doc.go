// Package bmmember tells which hosts of the fleet are alive.
//
// State is a state machine on the caller's time: it says which heartbeats are
// due and merges what arrives. Driver sends the heartbeats over a Transport.
//
// Hosts of one data centre form a mesh: every host exchanges heartbeats with
// its neighbours on the ring of the data centre's members and passes on what it
// heard of others. Up to 16 hosts in total, the mesh covers the whole fleet and
// every host is everyone's neighbour. In larger fleets the members of other
// data centres are known as rosters. For each pair of data centres, and for
// each data centre and other region, one host chosen by rendezvous hashing
// exchanges rosters; in the steady state both sides only compare digests and
// pass on one byte for each data centre.
//
// What is passed on is not the age of a heartbeat but its number, the tick: a
// host is alive as long as its tick increases. Ages would grow younger by the
// network's delay with each hop, so that a dead host could be kept by hosts
// that hear of it from each other. A data centre's tick is a clock in seconds
// that its members keep in common: the highest of theirs.
//
// Invariants: the incarnation known of a host never decreases, and within one
// incarnation a heartbeat never overrides a later one.
package bmmember
