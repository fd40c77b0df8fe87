// Package bmacceptance puts release notes into effect: it validates a note
// against the stored configuration, writes the parts that changed, and then
// accepts the note with one compare-and-swap on the head.
//
// Invariants:
//   - Each version results from exactly one note.
//   - A note is accepted at most once.
//   - A note is reported as not accepted only if it can't take effect later.
//
// The audit record of a version is derived from the head of that version. An
// acceptor writes the record after its swap, and every acceptor also writes the
// record of the current head before it replaces that head. Records are not
// written ahead of the swap as intents, because these would name notes that
// were never accepted and two operators would contend for the record of one
// version. Derived records are identical whichever acceptor writes them. Only
// the record of the latest version can be missing, and then the head holds the
// same information.
package bmacceptance
