package bmcli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/node/bmadmin"
	"basilmoor.example/basilmoor/internal/node/bmsettings"
)

// statusPollPeriod is the interval at which apply reads the status of the fleet.
const statusPollPeriod = 200 * basilmoor.Millis(1)

func runApply(ctx context.Context, args []string, env Env) int {
	s := bmsettings.NewSet("apply", "Shows the plan of a release note, sends it and waits until it is in effect on every host.\nThe note is given as a file name, or - for standard input.")
	r := declareRemoteFlags(s)
	var waitLimit basilmoor.Millis
	s.Millis(&waitLimit, "wait-ms", 10*basilmoor.Second, 0, 10*basilmoor.Minute, "longest wait for all hosts")
	rest, code, ok := parseSettings(s, args, env)
	if !ok {
		return code
	}
	note, err := readNote(rest, env.Stdin)
	if err != nil {
		fmt.Fprintf(env.Stderr, "basilmoor: %v\n", err)
		return ExitUsage
	}
	accepted, err := r.client().AcceptNote(ctx, note)
	if err != nil {
		return reportNoteError(env, err)
	}
	if !r.json {
		fmt.Fprint(env.Stdout, accepted.Plan, describeAcceptance(accepted))
	}
	w := rolloutWaiter{
		client: r.client(),
		clock:  bmclock.NewSystem(),
		out:    env.Stdout,
		quiet:  r.json,
	}
	done, err := w.wait(ctx, accepted.Version, waitLimit)
	if err != nil {
		fmt.Fprintf(env.Stderr, "basilmoor: %v\n", err)
	}
	if r.json {
		printJSON(env.Stdout, struct {
			bmadmin.AcceptResult
			InEffect bool `json:"in-effect-everywhere"`
		}{
			AcceptResult: accepted,
			InEffect:     done,
		})
	}
	if !done {
		return ExitPending
	}
	return ExitOK
}

func describeAcceptance(a bmadmin.AcceptResult) string {
	switch {
	case a.Already:
		return fmt.Sprintf("accepted before: note %s is version %d\n", a.Note, a.Version)
	case a.Rebased:
		return fmt.Sprintf("accepted after another note: note %s is version %d\n", a.Note, a.Version)
	}
	return fmt.Sprintf("accepted: note %s is version %d\n", a.Note, a.Version)
}

// reportNoteError prints the error and returns ExitRefused if the node refused
// the note, or ExitPending if the call failed otherwise and can be repeated.
func reportNoteError(env Env, err error) int {
	var p *bmadmin.ProblemError
	if !errors.As(err, &p) {
		fmt.Fprintf(env.Stderr, "basilmoor: %v\nWhether the note was accepted is unknown. Applying the same note again is safe.\n", err)
		return ExitPending
	}
	fmt.Fprintf(env.Stderr, "basilmoor: %v\n", p)
	for _, f := range p.Problem.Faults {
		fmt.Fprintf(env.Stderr, "  %s\n", f)
	}
	if p.Problem.Status >= 500 {
		return ExitPending
	}
	return ExitRefused
}

func readNote(args []string, stdin io.Reader) ([]byte, error) {
	if len(args) != 1 {
		return nil, errors.New("exactly one release note is needed, as a file name or -")
	}
	return readInput(args[0], stdin)
}

// readInput reads the named file, or standard input if the name is -.
func readInput(name string, stdin io.Reader) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(stdin)
	}
	return os.ReadFile(name)
}

// rolloutWaiter waits until every host of the fleet has a configuration version
// in effect.
type rolloutWaiter struct {
	client *bmadmin.Client
	clock  basilmoor.Clock
	out    io.Writer
	quiet  bool
}

func (w *rolloutWaiter) wait(ctx context.Context, version int64, limit basilmoor.Millis) (bool, error) {
	start := w.clock.Now()
	reported := make(map[string]bool)
	for {
		status, err := w.client.Status(ctx)
		if err == nil && w.reportProgress(status, version, reported, w.clock.Now()-start) {
			return true, nil
		}
		if w.clock.Now()-start >= limit {
			if err != nil {
				return false, errors.Wrap(err, "read status")
			}
			return false, errors.Errorf("version %d is not in effect everywhere after %d ms", version, limit)
		}
		if err := w.clock.Sleep(ctx, statusPollPeriod); err != nil {
			return false, err
		}
	}
}

// reportProgress prints the hosts that have reached the version since the last
// call and reports whether all hosts have.
func (w *rolloutWaiter) reportProgress(s bmadmin.Status, version int64, reported map[string]bool, elapsed basilmoor.Millis) bool {
	all := true
	for _, h := range s.Hosts {
		if h.ConfigVersion < version {
			all = false
			continue
		}
		if !reported[h.Host] && !w.quiet {
			fmt.Fprintf(w.out, "in effect on %s after %d ms\n", h.Host, elapsed)
		}
		reported[h.Host] = true
	}
	return all && len(s.Hosts) > 0
}
