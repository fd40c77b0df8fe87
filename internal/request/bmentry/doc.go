// Package bmentry serves callers: it admits a request, obtains a grant, sends
// the request to the granted target and relays the response.
//
// Invariants:
//
//   - A request that may run once is sent again only after the target that had
//     it says that it did not run it, or if nothing of it was sent.
//   - Statuses 408, 421, 429 and 503 are answered only if no target has run or
//     will run the request. Otherwise the answer is 502, 504, or a closed
//     connection.
//   - A response that breaks off never looks complete.
//   - A request whose key was taken away is not sent once the bound for that
//     has passed: a host that can't prove the age of its view refuses it.
package bmentry
