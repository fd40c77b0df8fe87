// Package bmstandincmd implements the command line of the stand-ins.
//
// A stand-in writes one line of JSON with its addresses to standard output once
// its listener is open. Logs go to standard error as JSON lines.
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

// envPrefix is the prefix of the environment variables that set flags. The rest
// is the flag's name in upper case with underscores for dashes, as in
// BASILMOOR_STANDIN_LISTEN.
const envPrefix = "BASILMOOR_STANDIN_"

const usage = "usage: basilmoor-standin store|engine|service|hosts [flags]\n"

// Command runs one stand-in.
type Command struct {
	Args      []string // without the program's name
	LookupEnv func(name string) (string, bool)
	Stdout    io.Writer
	Stderr    io.Writer
}

// listenFlags holds the addresses to listen on.
type listenFlags struct {
	address string
	control string
}

// startFunc starts a stand-in after its flags are parsed.
type startFunc func(clock basilmoor.Clock, l listenFlags) (*bmstandin.Server, func(), error)

// flagsOf holds a function for each stand-in that declares its flags.
var flagsOf = map[string]func(*flag.FlagSet) startFunc{
	"store":   storeFlags,
	"engine":  engineFlags,
	"service": serviceFlags,
	"hosts":   hostsFlags,
}

// Run serves until ctx is done and returns the exit code.
func (c Command) Run(ctx context.Context) int {
	logger := zerolog.New(c.Stderr).With().Timestamp().Logger()
	if len(c.Args) == 0 || flagsOf[c.Args[0]] == nil {
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
		logger.Error().Err(err).Msg("failed to write the listening address")
		return exitFailed
	}
	logger.Info().Str("listening", server.Address()).Msg("started")
	<-ctx.Done()
	logger.Info().Msg("stopping")
	return exitOK
}

// announcement is the line written to standard output.
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

// parse reads the flags of a stand-in from the command line and the environment.
func (c Command) parse(name string) (startFunc, listenFlags, error) {
	flags := flag.NewFlagSet("basilmoor-standin "+name, flag.ContinueOnError)
	flags.SetOutput(c.Stderr)
	var l listenFlags
	flags.StringVar(&l.address, "listen", "127.0.0.1:0", "address and port; port 0 picks a free one")
	start := flagsOf[name](flags)
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

// readEnv sets the flags that the command line leaves unset from the
// environment. It returns the first error.
func (c Command) readEnv(flags *flag.FlagSet) error {
	given := make(map[string]bool)
	flags.Visit(func(f *flag.Flag) { given[f.Name] = true })
	var firstErr error
	flags.VisitAll(func(f *flag.Flag) {
		name := envPrefix + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))
		value, ok := c.LookupEnv(name)
		if given[f.Name] || !ok {
			return
		}
		if err := flags.Set(f.Name, value); err != nil && firstErr == nil {
			firstErr = errors.Wrap(err, name)
		}
	})
	return firstErr
}

// FromProcess returns the command given by the arguments and environment of this
// process. It also makes the standard library's logger, which net/http uses,
// write JSON lines.
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
