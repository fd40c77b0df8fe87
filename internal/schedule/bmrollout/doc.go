// Package bmrollout decides how the requests of a pool move to a new version of its
// targets, and whether the version is good enough to complete the move.
//
// The operator's [Order] names the version and a time limit. The broker of the fleet
// owns the [Rollout] of each pool and asks it before each grant; it is a state machine
// without I/O, and callers pass the time. Its stages follow each other:
//
//   - canary: a bounded number of requests goes to a few targets of the new version;
//   - shifting: a growing share of the requests goes to all targets of the version;
//   - draining: all requests go there, the old targets finish what they run;
//   - completed, or from any stage rolled back: the order is decided.
//
// The owner keeps its evidence in memory. It stores a [Record] under a condition,
// which holds the stage and a number of requests that covers all it may send to the new
// version until it stores the next one. An owner without a recent record sends nothing
// there. If the owner dies, the next one resumes from the record with a higher
// generation: the count never falls, and an owner that was paused or cut off meanwhile
// finds its condition broken and stops.
//
// Hosts without a broker keep to the old version until the store says that the rollout
// has completed.
package bmrollout
