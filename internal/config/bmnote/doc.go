// Package bmnote reads release notes, the only means by which operators change
// the configuration, checks them against a catalog and applies them.
//
// Invariants: a note is immutable; applying it either gives content that
// satisfies every rule or fails with all faults at once; the digest of a note
// depends only on its meaning, not on its layout or comments.
package bmnote
