// Package bmclock implements basilmoor.Clock: System for programs and Manual for
// tests.
//
// Invariants: a clock never goes backwards, and a timer fires at most once.
package bmclock
