// Package bmnode assembles the parts of a node and runs them under a
// supervisor.
//
// Every role is in every node; none needs a host of its own. Invariants: a
// node that stops is out of readiness first, then takes nothing new, and ends
// only when its requests in progress have ended or the stated limit is over.
package bmnode
