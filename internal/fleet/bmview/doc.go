// Package bmview maintains a host's view of the platform's state: the desired
// state, the targets and the other hosts, together with the age of the view.
//
// A [View] is immutable. The [Keeper] replaces it as changes arrive. Within a
// process, a view never reverts to an older desired state. The age of a view is
// the time since the last call that confirmed it was sent, on a clock that
// continues while the host is suspended.
//
// The store may come back from a copy that is some seconds old, in a new era. A
// position in an earlier era is earlier, whatever its revision. What the copy
// lacks, its writers write again by themselves; until then
//
//   - the view keeps what it knows to be newer: the desired state, targets that
//     leave or are gone, and, for a while, targets and hosts that the copy lacks;
//   - nothing read from the store proves the view, unless the operator's write is
//     seen to be back or another host has recorded that the era has settled.
//
// If all hosts lose their memory before that, the first that reads the copy waits.
package bmview
