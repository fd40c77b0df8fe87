// Package bmadmin serves the administration API of a node: status, counters,
// release notes and held-back requests.
//
// Invariants: nothing is served without an operator's token; a viewer changes
// nothing; bodies are bounded.
package bmadmin
