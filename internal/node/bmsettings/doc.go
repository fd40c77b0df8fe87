// Package bmsettings reads the settings of a program from flags and
// environment variables of the same name and checks them together.
//
// Invariants: each setting is declared once; a flag goes before its
// environment variable, which goes before the default; every wrong setting is
// reported, not only the first; the value of a secret is never printed.
package bmsettings
