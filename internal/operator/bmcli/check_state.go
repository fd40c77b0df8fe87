package bmcli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmstatecheck"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/node/bmsettings"
	bmplatform "basilmoor.example/basilmoor/platform"
)

// readStateTimeout limits the read of the desired state in effect.
const readStateTimeout = 5 * basilmoor.Second

// runCheckState prints one finding a line. The exit code is ExitFailure if one of them
// is an error, and ExitUsage if the state could not be checked.
func runCheckState(ctx context.Context, args []string, env Env) int {
	s := bmsettings.NewSet("check-state", "Checks a desired state of the platform before it is sent, and compares it with the one in effect.\nThe state is given as the name of a JSON file, or - for standard input.")
	var source inEffectSource
	s.OptionalFile(&source.file, "in-effect", "file that holds the desired state in effect")
	s.OptionalAddress(&source.storeAddress, "store", "platform's store, from which the desired state in effect is read")
	rest, code, ok := parseSettings(s, args, env)
	if !ok {
		return code
	}
	findings, err := checkState(ctx, rest, env.Stdin, source)
	printFindings(env.Stdout, findings)
	switch {
	case err != nil:
		fmt.Fprintf(env.Stderr, "basilmoor: %v\n", err)
		return ExitUsage
	case bmstatecheck.HasErrors(findings):
		return ExitFailure
	}
	return ExitOK
}

func checkState(ctx context.Context, args []string, stdin io.Reader, source inEffectSource) ([]bmstatecheck.Finding, error) {
	if len(args) != 1 {
		return nil, errors.New("exactly one desired state is needed, as a file name or -")
	}
	raw, err := readInput(args[0], stdin)
	if err != nil {
		return nil, err
	}
	inEffect, err := source.read(ctx)
	if err != nil {
		return nil, err
	}
	return bmplatform.CheckState(raw, inEffect)
}

func printFindings(w io.Writer, findings []bmstatecheck.Finding) {
	for _, f := range findings {
		fmt.Fprintln(w, f)
	}
}

// inEffectSource names where the desired state in effect is read; both fields are
// empty if it is not compared.
type inEffectSource struct {
	file         string
	storeAddress string
}

// read returns the desired state in effect, or nil if there is no source.
func (s inEffectSource) read(ctx context.Context) ([]byte, error) {
	switch {
	case s.file != "" && s.storeAddress != "":
		return nil, errors.New("-in-effect and -store can't be given together")
	case s.file != "":
		return os.ReadFile(s.file)
	case s.storeAddress == "":
		return nil, nil
	}
	clock := bmclock.NewSystem()
	store, closeStore, err := bmplatform.NewStore(clock, s.storeAddress)
	if err != nil {
		return nil, err
	}
	defer closeStore()
	ctx, cancel := bmclock.WithTimeout(ctx, clock, readStateTimeout)
	defer cancel()
	raw, err := store.DesiredState(ctx)
	return raw, errors.Wrap(err, "read the desired state in effect")
}
