// Package bmsoak holds the soak test. It runs entry hosts as separate processes
// on one machine, injects random faults, and checks the documented guarantees
// against what callers and replicas observe. Two further tests repeat one kind of
// fault each: planned stops within each other's grace, and prompts that crash
// replicas.
//
// SOAK_SEEDS is a comma-separated list of seeds. SOAK_SECONDS is how long
// faults are injected for each seed.
package bmsoak
