package bmcli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor/internal/node/bmnode"
	"basilmoor.example/basilmoor/internal/node/bmsettings"
)

// runNode runs a node. It prints the node's listening addresses as a JSON
// object on standard output and logs to standard error.
func runNode(ctx context.Context, args []string, env Env) int {
	set, settings := bmsettings.NewNodeSet()
	if _, code, ok := parseSettings(set, args, env); !ok {
		return code
	}
	level, _ := zerolog.ParseLevel(settings.LogLevel)
	log := zerolog.New(env.Stderr).Level(level).With().Timestamp().Logger()
	n, cleanup, err := bmnode.New(*settings, log)
	if err != nil {
		log.Error().Err(err).Msg("failed to start the node")
		return ExitFailure
	}
	defer cleanup()
	if err := json.NewEncoder(env.Stdout).Encode(n.Addresses()); err != nil {
		fmt.Fprintf(env.Stderr, "basilmoor: %v\n", err)
		return ExitFailure
	}
	s := newSignals(ctx)
	defer s.close()
	if err := n.Serve(s.stop, s.cut); err != nil {
		log.Error().Err(err).Msg("node failed")
		return ExitFailure
	}
	return ExitOK
}

// signals cancels stop at the first SIGTERM or SIGINT and cut at the second.
type signals struct {
	stop    context.Context
	cut     context.Context
	ch      chan os.Signal
	cancels []context.CancelFunc
}

func newSignals(ctx context.Context) *signals {
	stop, cancelStop := context.WithCancel(ctx)
	cut, cancelCut := context.WithCancel(context.WithoutCancel(ctx))
	s := &signals{
		stop: stop,
		cut:  cut,
		ch:   make(chan os.Signal, 2),
		cancels: []context.CancelFunc{
			cancelStop,
			cancelCut,
		},
	}
	signal.Notify(s.ch, syscall.SIGTERM, os.Interrupt)
	go s.run()
	return s
}

func (s *signals) run() {
	for _, cancel := range s.cancels {
		if _, ok := <-s.ch; !ok {
			return
		}
		cancel()
	}
}

func (s *signals) close() {
	signal.Stop(s.ch)
	close(s.ch)
}
