// Package bmcli is the command line of the program: one file for each
// subcommand.
//
// Exit codes: 0 success, 1 failure, 2 wrong usage or settings, 3 a release
// note that was refused, 4 a release note whose acceptance is unknown or that
// is not yet in effect everywhere.
package bmcli
