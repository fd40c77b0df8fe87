// Command basilmoor schedules requests from many workspaces onto targets of
// different kinds. See docs/OPERATIONS.md.
package main

import (
	"os"

	"basilmoor.example/basilmoor/internal/operator/bmcli"
)

func main() {
	os.Exit(bmcli.Main(os.Args[1:], bmcli.ProcessEnv()))
}
