// Package bmsettings reads the settings of a subcommand from flags and the
// corresponding environment variables and validates them.
//
// Each setting is declared once. A flag takes precedence over its environment
// variable, which takes precedence over the default. Validation reports every
// invalid setting, not only the first, and never prints the value of a secret.
package bmsettings
