// Package bmcli implements the command line of the program, with one file per
// subcommand.
//
// Exit codes: 0 success, 1 failure, 2 invalid usage or settings, 3 a release
// note was refused, 4 it is unknown whether a release note was accepted, or the
// note is not yet in effect on every host.
package bmcli
