// Package bmmeasure measures what the roles of a node cost at several sizes,
// fits lines to the results and works out the cost at the size that the design
// is for.
//
// Invariants: every figure comes from running the product's own packages in
// this process; counts and bytes are the same on every run, times are not.
package bmmeasure
