package bmcli

import "context"

func runDemo(_ context.Context, _ []string, _ Env) int { return ExitFailure }
