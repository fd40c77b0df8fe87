// Package bmexchange sends a request to one target and reads its response.
//
// Invariants:
//
//   - A request is written to one connection, once. net/http's Transport resends
//     some requests when a reused connection breaks, so that connections are
//     kept here and only the codec of net/http is used.
//   - [UnsentError] means that no byte of the request was handed to a
//     connection, [RefusedError] that the target says it did not run the
//     request, [BrokenError] that it may have run.
//   - A response is delivered only if it carries the id of its request. Other
//     responses on the connection are skipped.
//   - A connection is used again only after a complete response with nothing
//     behind it.
package bmexchange
