// Package bmprocess holds the tests that run the built programs as separate
// processes and inject real faults: killed and stopped processes, broken
// connections and outages.
//
// Tests start a bounded number of processes and signal them by process ID only.
// After each fault, a test compares the executions recorded by the targets with
// the outcomes that callers received.
package bmprocess
