// Package bmrouting holds the operator's desired state as the request path
// uses it: routes, workspaces with their keys and allowances, and pools.
//
// A [Table] is immutable. Lookups take time in proportion to the routes of one
// host name and never allocate.
package bmrouting
