// Package bmscheduler implements [basilmoor.Scheduler]: it runs the brokers that
// schedule the targets of a pool, and the client that obtains grants from a
// pool's broker on this host or another one.
//
// Service runs the brokers of this host; Client acquires grants for the requests
// that this host received. Brokers keep no durable state: after a broker
// change, each client resubmits its waiting demands and open dispatches to the
// new broker.
//
// Invariants: a demand is granted to its caller at most once, and its permit is
// released exactly once, even when brokers and streams fail. A broker that is
// new or was paused makes no grants until every live host has resubmitted its
// open dispatches or one second has passed. All state of a pool's broker is
// modified by one goroutine.
package bmscheduler
