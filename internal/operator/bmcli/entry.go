package bmcli

import (
	"context"
	"flag"
	"fmt"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/node/bmentrynode"
	bmplatform "basilmoor.example/basilmoor/platform"
)

// runEntry runs an entry host with the settings file that the platform names,
// and logs to standard output.
func runEntry(ctx context.Context, args []string, env Env) int {
	flags := flag.NewFlagSet("entry", flag.ContinueOnError)
	flags.SetOutput(env.Stderr)
	path, _ := env.Lookup(bmplatform.SettingsVariable)
	flags.StringVar(&path, "settings", path, "settings file of the platform; the default is $"+bmplatform.SettingsVariable)
	level := flags.String("log-level", "info", "least level of log lines: debug, info, warn, error")
	local := flags.Bool("local-scheduling", false, "serve with this host's share of the slots, without a broker")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		return ExitUsage
	}
	logLevel, err := zerolog.ParseLevel(*level)
	if err != nil {
		fmt.Fprintf(env.Stderr, "basilmoor: -log-level: %v\n", err)
		return ExitUsage
	}
	settings, err := bmplatform.ReadSettings(path)
	if err != nil {
		fmt.Fprintf(env.Stderr, "basilmoor: %v\n", err)
		return ExitUsage
	}
	settings.LocalScheduling = *local
	log := zerolog.New(env.Stdout).Level(logLevel).With().Timestamp().Str("host", settings.Host).Logger()
	clock := bmclock.NewSystem()
	store, closeStore, err := bmplatform.NewStore(clock, settings.StoreAddress)
	if err != nil {
		log.Error().Err(err).Msg("not started")
		return ExitFailure
	}
	defer closeStore()
	n, cleanup, err := bmentrynode.New(settings, bmentrynode.Parts{
		Clock:        clock,
		Store:        store,
		Feed:         bmplatform.NewFeed(store, log),
		Protocol:     bmplatform.Headers{},
		Contract:     bmplatform.Headers{},
		Registration: bmplatform.Registration,
	}, log)
	if err != nil {
		log.Error().Err(err).Msg("not started")
		return ExitFailure
	}
	defer cleanup()
	s := newSignals(ctx)
	defer s.close()
	if err := n.Serve(s.stop); err != nil {
		log.Error().Err(err).Msg("ended with an error")
		return ExitFailure
	}
	return ExitOK
}
