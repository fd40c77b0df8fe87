package bmcli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor/internal/node/bmsettings"
)

// Exit codes of the program.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2 // invalid usage or settings
	ExitRefused = 3 // a release note was refused
	ExitPending = 4 // a release note's acceptance is unknown, or it is not in effect on every host
)

// Env holds the standard streams of a subcommand and the function that looks up
// its environment variables.
type Env struct {
	Stdin     io.Reader
	Stdout    io.Writer
	Stderr    io.Writer
	LookupEnv func(string) (string, bool)
}

// ProcessEnv returns the Env of the running process.
func ProcessEnv() Env {
	return Env{
		Stdin:     os.Stdin,
		Stdout:    os.Stdout,
		Stderr:    os.Stderr,
		LookupEnv: os.LookupEnv,
	}
}

// command is one subcommand. Its run function returns the exit code.
type command struct {
	name     string
	synopsis string
	run      func(ctx context.Context, args []string, env Env) int
}

func commands() []command {
	return []command{
		{
			name:     "node",
			synopsis: "run one entry host",
			run:      runNode,
		},
		{
			name:     "entry",
			synopsis: "run one entry host on the users' platform",
			run:      runEntry,
		},
		{
			name:     "apply",
			synopsis: "apply a release note and wait until it is in effect",
			run:      runApply,
		},
		{
			name:     "check",
			synopsis: "check a release note without sending it",
			run:      runCheck,
		},
		{
			name:     "check-state",
			synopsis: "check a desired state of the users' platform without sending it",
			run:      runCheckState,
		},
		{
			name:     "status",
			synopsis: "show versions, hosts and targets",
			run:      runStatus,
		},
		{
			name:     "restore",
			synopsis: "update a store that was restored from an old backup to the configuration of a node",
			run:      runRestore,
		},
		{
			name:     "demo",
			synopsis: "run a small fleet in this process and check its promises",
			run:      runDemo,
		},
		{
			name:     "version",
			synopsis: "print the version of the program",
			run:      runVersion,
		},
	}
}

// Main runs the subcommand that args[0] names and returns the exit code.
func Main(args []string, env Env) int {
	if len(args) == 0 {
		usage(env.Stderr)
		return ExitUsage
	}
	if args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		usage(env.Stdout)
		return ExitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.run(context.Background(), args[1:], env)
		}
	}
	fmt.Fprintf(env.Stderr, "basilmoor: unknown command %q\n\n", args[0])
	usage(env.Stderr)
	return ExitUsage
}

func usage(w io.Writer) {
	fmt.Fprintf(w, "basilmoor schedules requests from many workspaces onto targets of different kinds.\n\n")
	fmt.Fprintf(w, "usage: basilmoor COMMAND [flags]\n\ncommands:\n")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-11s  %s\n", c.name, c.synopsis)
	}
	fmt.Fprintf(w, "\nbasilmoor COMMAND -h lists the flags and environment variables of a command.\n")
}

// parseSettings reads the settings of a subcommand and returns the arguments
// that are not flags. If ok is false, the subcommand must exit with code.
func parseSettings(s *bmsettings.FlagSet, args []string, env Env) (rest []string, code int, ok bool) {
	rest, err := s.Parse(args, env.LookupEnv, env.Stderr)
	if err == nil {
		return rest, ExitOK, true
	}
	if errors.Is(err, flag.ErrHelp) {
		return nil, ExitOK, false
	}
	var invalid *bmsettings.InvalidError
	if errors.As(err, &invalid) {
		fmt.Fprintf(env.Stderr, "basilmoor: %v\n", invalid)
	}
	return nil, ExitUsage, false
}
