package bmcli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmlog"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/node/bmentrynode"
	"basilmoor.example/basilmoor/internal/schedule/bmgrant"
	bmplatform "basilmoor.example/basilmoor/platform"
)

// runEntry runs an entry host with the platform's settings file and logs to
// standard output.
func runEntry(ctx context.Context, args []string, env Env) int {
	flags := flag.NewFlagSet("entry", flag.ContinueOnError)
	flags.SetOutput(env.Stderr)
	path, _ := env.LookupEnv(bmplatform.SettingsVariable)
	flags.StringVar(&path, "settings", path, "settings file of the platform; the default is $"+bmplatform.SettingsVariable)
	level := flags.String("log-level", "info", "lowest level that is logged: debug, info, warn or error")
	localScheduling := flags.Bool("local-scheduling", false, "schedule on this host's share of the slots, without a broker")
	prefillLimits := flags.Bool("prefill-limits", false, "keep prompts that would make running streams late from slow targets, where the settings say that targets differ")
	metricsPort := flags.Int("metrics-port", 0, "port of the metrics; 0 selects the second port of port_range")
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
	settings.LocalScheduling = *localScheduling
	settings.MetricsPort = *metricsPort
	settings.PrefillLimits = settings.PrefillLimits && *prefillLimits
	clock := bmclock.NewSystem()
	metrics := bmmetrics.NewRegistry()
	logWriter, closeLog := bmlog.New(clock, env.Stdout, metrics)
	defer closeLog()
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	log := zerolog.New(logWriter).Level(logLevel).With().Timestamp().Str("host", settings.Host).Logger()
	store, closeStore, err := bmplatform.NewStore(clock, settings.StoreAddress)
	if err != nil {
		log.Error().Err(err).Msg("failed to start the entry host")
		return ExitFailure
	}
	defer closeStore()
	n, cleanup, err := bmentrynode.New(settings, bmentrynode.Dependencies{
		Clock:        clock,
		Metrics:      metrics,
		Store:        store,
		Feed:         bmplatform.NewFeed(store, log),
		Protocol:     bmplatform.Headers{},
		Inspector:    bmplatform.Headers{},
		Registration: bmplatform.Registration,
		RecordKeys: bmgrant.RecordKeys{
			Spending:   bmplatform.KeySpending,
			SettledEra: bmplatform.KeySettledEra,
		},
		RolloutKeys: bmgrant.RolloutKeys{
			Record: bmplatform.RolloutRecordKey,
			Status: bmplatform.RolloutStatus,
		},
	}, log)
	if err != nil {
		log.Error().Err(err).Msg("failed to start the entry host")
		return ExitFailure
	}
	defer cleanup()
	reload := newReloader(n, path, log)
	defer reload.close()
	s := newSignals(ctx)
	defer s.close()
	if err := n.Serve(s.stop); err != nil {
		log.Error().Err(err).Msg("entry host failed")
		return ExitFailure
	}
	return ExitOK
}

// reloader reloads the settings file on each SIGHUP.
type reloader struct {
	node *bmentrynode.Node
	path string
	log  zerolog.Logger
	ch   chan os.Signal
}

func newReloader(n *bmentrynode.Node, path string, log zerolog.Logger) *reloader {
	r := &reloader{
		node: n,
		path: path,
		log:  log,
		ch:   make(chan os.Signal, 1),
	}
	signal.Notify(r.ch, syscall.SIGHUP)
	go r.run()
	return r
}

func (r *reloader) run() {
	for range r.ch {
		settings, err := bmplatform.ReadSettings(r.path)
		if err != nil {
			r.log.Error().Err(err).Msg("failed to reload the settings")
			continue
		}
		r.node.Reload(settings)
	}
}

func (r *reloader) close() {
	signal.Stop(r.ch)
	close(r.ch)
}
