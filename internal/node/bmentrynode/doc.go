// Package bmentrynode assembles the process of an entry host: its listeners, its
// view of the platform, the scheduler and the request path. The services run
// under a suture supervisor; a planned stop drains the requests in progress.
//
// The subcommand "entry" runs such a process on the users' platform, whose
// formats package bmplatform translates: bmentry serves its callers, bmgrant
// schedules and bmexchange sends requests to targets. The subcommand "node" runs
// package bmnode instead.
package bmentrynode
