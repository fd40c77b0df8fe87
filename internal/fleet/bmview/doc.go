// Package bmview keeps a host's view of the platform's state: the desired
// state, the targets and the other hosts, each with the age of its proof.
//
// A [View] is immutable. The [Keeper] replaces it as changes arrive; a view
// never goes back to an older desired state while the process lives. The age
// of a view counts from the moment at which the confirming call was sent, on a
// clock that goes on while the host is suspended.
package bmview
