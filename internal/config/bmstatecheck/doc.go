// Package bmstatecheck checks a desired state before the operator sends it: errors,
// entries that can never match, limits that contradict each other, and the
// differences from the state in effect. The checks are pure functions.
//
// Findings name fields as this package does; the reader of a wire format translates
// them.
package bmstatecheck
