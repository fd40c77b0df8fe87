// Package bmelection decides which host is the broker.
//
// An [Election] is the state machine of one host. It performs no I/O and starts
// no goroutines: its inputs are messages and the time, and its outputs are
// [Action] values for the caller to perform.
//
// Hosts rank each other in the same order, by capacity and rendezvous hashing. A
// host keeps the broker that it has for as long as the session lasts, and not
// only while that broker ranks first, so that a host that joins, restarts or
// loses the store moves no other host. A host becomes the broker only if the
// peers that it asks don't follow another one, so that a host that has lost its
// own link to the broker doesn't become a second broker.
//
// The state is soft. When the broker dies or is paused, its followers report the
// session as lost and elect the next host. Hosts on both sides of a partition
// have a broker each; a broker asks the hosts that rank first whom they follow,
// and yields to a broker with more sessions.
package bmelection
