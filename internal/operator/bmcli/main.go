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
	ExitUsage   = 2
	ExitRefused = 3
	ExitPending = 4
)

// Env is what a subcommand uses of the process it runs in.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Lookup func(string) (string, bool)
}

// System returns the environment of the running process.
func System() Env {
	return Env{
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Lookup: os.LookupEnv,
	}
}

// command is one subcommand. run returns the exit code.
type command struct {
	name     string
	synopsis string
	run      func(ctx context.Context, args []string, env Env) int
}

func commands() []command {
	return []command{
		{
			name:     "node",
			synopsis: "run the process of one entry host",
			run:      runNode,
		},
		{
			name:     "entry",
			synopsis: "run the process of one entry host on the users' platform",
			run:      runEntry,
		},
		{
			name:     "apply",
			synopsis: "put a release note into effect",
			run:      runApply,
		},
		{
			name:     "check",
			synopsis: "check a release note without sending it",
			run:      runCheck,
		},
		{
			name:     "status",
			synopsis: "show versions, hosts and targets",
			run:      runStatus,
		},
		{
			name:     "restore",
			synopsis: "bring a store that was set back forward to what a node holds",
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

// Main runs the subcommand that args name and returns the exit code.
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
	fmt.Fprintf(w, "basilmoor schedules requests from many workspaces onto unlike targets.\n\n")
	fmt.Fprintf(w, "usage: basilmoor COMMAND [flags]\n\ncommands:\n")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-8s  %s\n", c.name, c.synopsis)
	}
	fmt.Fprintf(w, "\nbasilmoor COMMAND -h lists the flags and environment variables of a command.\n")
}

// parse reads the settings of a subcommand. If it returns false the
// subcommand ends with the given exit code.
func parse(s *bmsettings.Set, args []string, env Env) (rest []string, code int, ok bool) {
	rest, err := s.Parse(args, env.Lookup, env.Stderr)
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
