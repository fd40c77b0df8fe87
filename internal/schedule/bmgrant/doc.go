// Package bmgrant orders the waiting requests of all hosts and grants them
// slots on targets.
//
// One host is the broker. The others send it demands over a gRPC stream and
// get grants or refusals; each host then sends the request to the granted
// target itself. The broker's state is soft: a host that loses its broker
// serves its waiting demands with its own share of each target at once, and
// hands them over when it has reached the next broker.
//
// Invariants:
//
//   - A demand is decided once: its holder ignores later decisions.
//   - A pool never has more granted requests on a target than the target has
//     slots, as far as the broker knows.
//   - A demand is refused only if it cannot be served in time, or for its
//     workspace's allowance; while a demand waits, no slot that fits it is
//     free.
//   - The order is by urgency first. A demand that can no longer meet its
//     objective yields to demands of the next rank that can, so that a shortage
//     does not make every response late.
package bmgrant
