// Package bmstandincmd is the command line of the stand-ins.
//
// Invariants: standard output carries one JSON line with the address, written
// after the listener is open; logs go to standard error as JSON lines.
package bmstandincmd

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"log"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// envPrefix precedes the name of a flag in the environment, where dashes are
// underscores: BASILMOOR_STANDIN_LISTEN.
const envPrefix = "BASILMOOR_STANDIN_"

const usage = "usage: basilmoor-standin store|engine|service|hosts [flags]\n"

// Command runs one stand-in.
type Command struct {
	Args      []string // without the program's name
	LookupEnv func(name string) (string, bool)
	Stdout    io.Writer
	Stderr    io.Writer
}

// listeners are the flags that all stand-ins share.
type listeners struct {
	address string
	control string
}

// starter starts a stand-in after its flags were read.
type starter func(clock basilmoor.Clock, l listeners) (*bmstandin.Server, func(), error)

// kinds declares the flags of each stand-in.
var kinds = map[string]func(*flag.FlagSet) starter{
	"store":   storeFlags,
	"engine":  engineFlags,
	"service": serviceFlags,
	"hosts":   hostsFlags,
}

// Run serves until ctx ends and returns the exit code.
func (c Command) Run(ctx context.Context) int {
	logger := zerolog.New(c.Stderr).With().Timestamp().Logger()
	if len(c.Args) == 0 || kinds[c.Args[0]] == nil {
		_, _ = io.WriteString(c.Stderr, usage)
		return exitUsage
	}
	name := c.Args[0]
	logger = logger.With().Str("standin", name).Logger()
	start, l, err := c.parse(name)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		logger.Error().Err(err).Msg("invalid settings")
		return exitUsage
	}
	server, cleanup, err := start(bmclock.NewSystem(), l)
	if err != nil {
		logger.Error().Err(err).Msg("start failed")
		return exitFailed
	}
	defer cleanup()
	if err := c.announce(server); err != nil {
		logger.Error().Err(err).Msg("write of the address failed")
		return exitFailed
	}
	logger.Info().Str("listening", server.Address()).Msg("started")
	<-ctx.Done()
	logger.Info().Msg("stopping")
	return exitOK
}

// announcement is the line on standard output.
type announcement struct {
	Listening string `json:"listening"`
	Control   string `json:"control,omitempty"`
}

func (c Command) announce(s *bmstandin.Server) error {
	line, err := json.Marshal(announcement{
		Listening: s.Address(),
		Control:   s.ControlAddress(),
	})
	if err != nil {
		return errors.Wrap(err, "encode address")
	}
	_, err = c.Stdout.Write(append(line, '\n'))
	return errors.Wrap(err, "write address")
}

func (c Command) parse(name string) (starter, listeners, error) {
	flags := flag.NewFlagSet("basilmoor-standin "+name, flag.ContinueOnError)
	flags.SetOutput(c.Stderr)
	var l listeners
	flags.StringVar(&l.address, "listen", "127.0.0.1:0", "address and port; port 0 picks a free one")
	start := kinds[name](flags)
	if name == "engine" || name == "service" {
		flags.StringVar(&l.control, "control-listen", "127.0.0.1:0",
			"address and port that stay reachable while the target is crashed; empty for none")
	}
	if err := flags.Parse(c.Args[1:]); err != nil {
		return nil, l, err
	}
	if flags.NArg() > 0 {
		return nil, l, errors.Errorf("unexpected argument %q", flags.Arg(0))
	}
	return start, l, c.readEnv(flags)
}

// readEnv sets the flags that the command line does not set.
func (c Command) readEnv(flags *flag.FlagSet) error {
	given := make(map[string]bool)
	flags.Visit(func(f *flag.Flag) { given[f.Name] = true })
	var failure error
	flags.VisitAll(func(f *flag.Flag) {
		name := envPrefix + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))
		value, ok := c.LookupEnv(name)
		if given[f.Name] || !ok {
			return
		}
		if err := flags.Set(f.Name, value); err != nil && failure == nil {
			failure = errors.Wrap(err, name)
		}
	})
	return failure
}

// FromProcess returns the command of this process. It makes the messages of
// net/http, which go to the standard library's logger, JSON lines too.
func FromProcess() Command {
	log.SetFlags(0)
	log.SetOutput(zerolog.New(os.Stderr).With().Timestamp().Logger())
	return Command{
		Args:      os.Args[1:],
		LookupEnv: os.LookupEnv,
		Stdout:    os.Stdout,
		Stderr:    os.Stderr,
	}
}
