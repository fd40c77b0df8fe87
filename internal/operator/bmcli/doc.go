// Package bmcli implements the command line of the program, with one file per
// subcommand.
//
// Exit codes: 0 success, 1 failure, 2 invalid usage or settings, 3 a release
// note was refused, 4 it is unknown whether a release note was accepted, or the
// note is not yet in effect on every host. check-state returns 1 if the state has
// errors, and 2 if it could not be checked.
package bmcli
