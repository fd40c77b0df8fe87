// Package bmmeasure measures the processor time, memory and bytes that each role
// of a node needs at several sizes, fits a line to each series and extrapolates
// it to the design size.
//
// All values come from running the packages of the product in this process.
// Counts and bytes are the same on every run; times and memory are not.
package bmmeasure
