// Package bmacceptance puts release notes into effect: it validates a note
// against the stored configuration, writes the parts that changed, and then
// accepts the note with one compare-and-swap on the head.
//
// Invariants: a version is made by one note; a note is accepted at most once;
// a caller is told that a note was not accepted only if it cannot take effect
// later.
//
// The audit record of a version is derived from its head. The acceptor writes
// it after the swap, and every acceptor writes the record of the head that it
// found before it swaps that head for the next. An intent written before the
// swap would name notes that were never accepted, and two operators would
// contend for the record of one version. Derived records can't differ,
// whoever writes them, and only the record of the latest version can be
// missing; the head then holds the same facts.
package bmacceptance
