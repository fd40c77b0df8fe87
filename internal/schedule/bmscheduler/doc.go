// Package bmscheduler obtains grants from the broker of a pool, wherever it is.
//
// Service hosts the brokers of this node, Client acquires grants for the
// requests that this node holds. Brokers keep no durable state: a client
// resubmits its waiting demands and open dispatches to the next broker.
//
// Invariants: a demand is granted to its caller at most once, and its permit is
// released exactly once, whatever brokers and streams do. A broker that is new
// or was paused grants nothing until it knows the open dispatches or a second
// has passed. All state of a pool's broker is changed by one goroutine.
package bmscheduler
