// Package bmdemo runs a small fleet in one process, sends it a mixed load with a
// burst and a crash of a target, and checks the promises of the system that
// callers and operators can observe.
//
// All servers listen on loopback ports that the operating system chooses. The
// number of requests and the duration of a run are limited. The report names
// each broken promise.
package bmdemo
