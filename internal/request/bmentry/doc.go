// Package bmentry serves callers: it admits a request, acquires a grant from
// the scheduler, sends the request to the granted target and relays the
// response.
//
// Invariants:
//
//   - A request on a run-once route is sent again only if its target states
//     that it did not run it, or if none of its bytes were sent.
//   - The handler itself answers 408, 421, 429 or 503 only if no target has run
//     or will run the request. If one may have, the caller gets 502, 504 or a
//     closed connection.
//   - A response is framed as complete only if its target has marked its end, by a
//     length or a last chunk. One that ended with its connection ends with the
//     caller's, which is reset if the response is known to be truncated, or if this
//     process ends first.
//   - A request whose key was revoked is not sent once the bound on revocation
//     has passed: a host that can't prove that its view is recent enough
//     rejects requests that need a key.
package bmentry
