// Package bmnote parses release notes, checks them against the configuration and
// applies them. Operators change the configuration only by release notes.
//
// Invariants:
//   - A note is immutable.
//   - Applying a note either returns content that satisfies every rule or fails
//     with all faults at once.
//   - The digest of a note depends only on its meaning, not on its layout or
//     comments.
package bmnote
