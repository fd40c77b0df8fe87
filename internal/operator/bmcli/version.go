package bmcli

import (
	"context"
	"fmt"
	"runtime/debug"
)

func runVersion(_ context.Context, _ []string, env Env) int {
	version := "unknown"
	goVersion := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		goVersion = info.GoVersion
	}
	fmt.Fprintf(env.Stdout, "basilmoor %s (%s)\n", version, goVersion)
	return ExitOK
}
