// Package bmcommand decides which commands to send to targets to bring their
// reported state to the state that the catalog asks for. Only one host does
// this at a time: the holder of a lease in the store.
//
// Reconciler is a state machine without goroutines: its methods take events
// and the current time, and return commands and drain changes.
//
// Invariants:
//   - A command that interrupts running work is sent only to a drained target.
//   - A drain never takes the serving targets of a kind below
//     Config.MinServingFraction.
//   - Loads stay within the rate limit of the weight store.
//   - A target that doesn't check fencing numbers gets no command from a host
//     whose lease may have expired, nor from a new holder while a call of the
//     previous holder may still be in progress.
package bmcommand
