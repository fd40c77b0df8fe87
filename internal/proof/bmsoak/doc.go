// Package bmsoak runs entry hosts as separate processes on one machine under
// random series of faults, and checks the promises of the pages from what
// callers and replicas see. All of it is in test files.
//
// SOAK_SEEDS lists the seeds to run, SOAK_SECONDS the length of the faults of
// each one.
package bmsoak
