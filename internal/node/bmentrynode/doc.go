// Package bmentrynode assembles the process of an entry host: its listeners, its
// view of the platform, the scheduler and the request path. The services run
// under a suture supervisor; a planned stop drains the requests in progress.
package bmentrynode
