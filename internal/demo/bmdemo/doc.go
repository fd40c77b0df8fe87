// Package bmdemo runs a small fleet in one process, sends it a mixed load with
// a burst and the crash of a target, and checks the promises that can be
// checked from outside.
//
// Invariants: every address is a loopback port that the system chose; the run
// is bounded in requests and time; a broken promise is an error that names it.
package bmdemo
