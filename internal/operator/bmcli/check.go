package bmcli

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor/internal/config/bmcatalog"
	"basilmoor.example/basilmoor/internal/config/bmnote"
	"basilmoor.example/basilmoor/internal/node/bmsettings"
)

func runCheck(_ context.Context, args []string, env Env) int {
	s := bmsettings.NewSet("check", "Checks release notes without a node and shows the plan of the last one.\nSeveral files are taken as notes that follow each other, starting from an empty configuration.")
	var asJSON bool
	s.Bool(&asJSON, "json", "print JSON")
	rest, code, ok := parseSettings(s, args, env)
	if !ok {
		return code
	}
	if len(rest) == 0 {
		fmt.Fprintln(env.Stderr, "basilmoor: at least one release note is needed, as a file name or -")
		return ExitUsage
	}
	var content bmcatalog.Content
	var plan bmnote.Plan
	for i, name := range rest {
		text, err := readNote(rest[i:i+1], env.Stdin)
		if err != nil {
			fmt.Fprintf(env.Stderr, "basilmoor: %v\n", err)
			return ExitUsage
		}
		plan, content, err = planNote(content, int64(i), text)
		if err != nil {
			reportFaults(env, name, err, asJSON)
			return ExitRefused
		}
	}
	if asJSON {
		return printJSON(env.Stdout, plan)
	}
	fmt.Fprint(env.Stdout, plan.Text())
	return ExitOK
}

func planNote(c bmcatalog.Content, version int64, text []byte) (bmnote.Plan, bmcatalog.Content, error) {
	note, err := bmnote.Validate(text, c, version)
	if err != nil {
		return bmnote.Plan{}, c, err
	}
	return bmnote.NewPlan(c, version, note)
}

func reportFaults(env Env, name string, err error, asJSON bool) {
	var invalid *bmnote.InvalidError
	if !errors.As(err, &invalid) {
		fmt.Fprintf(env.Stderr, "%s: %v\n", name, err)
		return
	}
	if asJSON {
		printJSON(env.Stdout, invalid)
		return
	}
	for _, f := range invalid.Faults {
		fmt.Fprintf(env.Stderr, "%s: %s\n", name, f)
	}
}
