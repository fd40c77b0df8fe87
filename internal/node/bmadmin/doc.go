// Package bmadmin implements the administration API of a node and a client for
// it. The API covers status, counters, release notes and requests that are held
// back after they crashed targets.
//
// Invariants: every call requires an operator's token; a token with the viewer
// role can't change anything; request bodies are limited in size.
package bmadmin
