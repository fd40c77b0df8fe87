// Package bmexchange sends a request to one target and reads its response.
//
// Invariants:
//
//   - A request is written to one connection, once. The Transport of net/http
//     resends some requests when a reused connection breaks, so this package
//     has its own connection pool and uses net/http only to encode requests and
//     parse responses.
//   - [UnsentError] means that no byte of the request was written to a
//     connection, [RefusedError] that the target states that it did not run the
//     request, [BrokenError] that the target may have run it.
//   - A response is returned only if it carries the id of its request, or if it
//     has no id and states that the request was not run. Other responses on the
//     connection are skipped.
//   - A response has a status from 200 to 599. A head with any other is damage, and
//     so is all that follows it.
//   - A connection is reused only after a complete response with no bytes after
//     it.
package bmexchange
