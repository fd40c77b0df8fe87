// Package bmgrant schedules the waiting requests of all hosts and grants them
// slots on targets.
//
// One host is the broker. The other hosts send it demands over a gRPC stream
// and receive grants or refusals; each host then sends the request to the
// granted target itself. The broker keeps its state in memory only. A host that
// loses its broker immediately schedules its waiting demands on its own share
// of each target, and resubmits them once it has a session with the next
// broker.
//
// Invariants:
//
//   - Each demand gets one decision: the host that submitted it ignores later
//     ones.
//   - A pool never has more granted requests on a target than the target has
//     slots, as far as the broker knows.
//   - A demand is refused only if it cannot be served in time or if it exceeds
//     its workspace's quota. While a demand waits, no suitable slot is free.
//   - Demands are ordered by tier first. A demand that is not likely to meet its
//     objective any more comes after the demands of its tier that are, so that a
//     shortage does not make every response late.
package bmgrant
