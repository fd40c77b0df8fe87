// Package bmview maintains a host's view of the platform's state: the desired
// state, the targets and the other hosts, together with the age of the view.
//
// A [View] is immutable. The [Keeper] replaces it as changes arrive. Within a
// process, a view never reverts to an older desired state. The age of a view is
// the time since the last call that confirmed it was sent, on a clock that
// continues while the host is suspended.
package bmview
