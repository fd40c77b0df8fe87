// Package bmprocess holds the tests that run the built programs as separate
// processes and cause real faults: kills, stops, cut connections and outages.
//
// Every process is started by a test, ended by its process id, and bounded in
// number. After each fault the executions recorded by the targets are compared
// with the outcomes that callers received.
package bmprocess
