// Package bmnode builds the components of a node and runs them under a
// supervisor.
//
// The subcommand "node" runs such a node: bmgateway serves its callers,
// bmscheduler schedules and bmdispatch sends requests to targets. The subcommand
// "entry" runs package bmentrynode instead.
//
// Every node contains every role, so no role needs a dedicated host. A node
// that stops first fails its readiness check, then refuses new requests, and
// exits only when its requests in progress have ended or the stop limit has
// passed.
package bmnode
