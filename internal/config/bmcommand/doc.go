// Package bmcommand decides which commands to send to targets, so that what
// they report becomes what the catalog says. One host at a time does this: the
// holder of a store lease.
//
// Reconciler is a state machine without goroutines: it takes events with the
// time and returns commands and drain marks.
//
// Invariants: a command that disturbs running work is sent only to a target
// that was drained; draining never takes a kind below its share of serving
// targets; loads keep to the weight store's rate; a target that ignores fencing
// numbers gets no command from a holder whose lease may have ended, nor from a
// new holder while a call of the previous one may be under way.
package bmcommand
