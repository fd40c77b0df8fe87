// Package bmrouting represents the operator's desired state in the form that the
// request path uses: routes, workspaces with their keys and quotas, and
// pools.
//
// A [Table] is immutable. A lookup takes time proportional to the number of
// routes of one host name, and does not allocate if the host name is in lower
// case.
package bmrouting
