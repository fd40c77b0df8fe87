// Package bmclock implements the clock of the root package: System for
// programs and Manual for tests.
//
// Invariants: time never goes back, and a timer fires at most once.
package bmclock
