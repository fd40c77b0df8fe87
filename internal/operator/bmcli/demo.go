package bmcli

import (
	"context"
	"fmt"
	"strings"

	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor/internal/demo/bmdemo"
	"basilmoor.example/basilmoor/internal/node/bmsettings"
)

func runDemo(ctx context.Context, args []string, env Env) int {
	s := bmsettings.NewSet("demo", "Runs three nodes, the platform's stand-ins, three engines of two speeds and one plain service\nin this process, sends a mixed load and checks the promises.")
	var (
		asJSON bool
		seed   int
		level  string
	)
	s.Bool(&asJSON, "json", "print JSON")
	s.Int(&seed, "seed", 1, 0, 1<<31-1, "seed of the load")
	s.OneOf(&level, "log-level", "error", []string{"debug", "info", "warn", "error"}, "lowest level that the nodes log")
	if _, code, ok := parseSettings(s, args, env); !ok {
		return code
	}
	logLevel, _ := zerolog.ParseLevel(level)
	log := zerolog.New(env.Stderr).Level(logLevel).With().Timestamp().Logger()
	r, err := bmdemo.Run(ctx, uint64(seed), log)
	if err != nil {
		fmt.Fprintf(env.Stderr, "basilmoor: %v\n", err)
		return ExitFailure
	}
	if asJSON {
		printJSON(env.Stdout, r)
	} else if err := r.Print(env.Stdout); err != nil {
		return ExitFailure
	}
	if broken := r.Broken(); len(broken) > 0 {
		fmt.Fprintf(env.Stderr, "basilmoor: broken promises: %s\n", strings.Join(broken, "; "))
		return ExitFailure
	}
	return ExitOK
}
