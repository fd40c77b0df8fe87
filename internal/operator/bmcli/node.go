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

// runNode prints the node's addresses as one JSON object on standard output
// and logs to standard error.
func runNode(ctx context.Context, args []string, env Env) int {
	set, settings := bmsettings.NodeSet()
	if _, code, ok := parse(set, args, env); !ok {
		return code
	}
	level, _ := zerolog.ParseLevel(settings.LogLevel)
	log := zerolog.New(env.Stderr).Level(level).With().Timestamp().Logger()
	n, cleanup, err := bmnode.New(*settings, log)
	if err != nil {
		log.Error().Err(err).Msg("node not started")
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
		log.Error().Err(err).Msg("node ended with an error")
		return ExitFailure
	}
	return ExitOK
}

// signals turns the first SIGTERM or SIGINT into the end of stop and the
// second one into the end of cut.
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
