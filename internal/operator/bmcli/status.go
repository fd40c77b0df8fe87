package bmcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"basilmoor.example/basilmoor/internal/node/bmadmin"
	"basilmoor.example/basilmoor/internal/node/bmsettings"
)

// remoteFlags holds the settings shared by the subcommands that call the
// administration API of a node.
type remoteFlags struct {
	url   string
	token string
	json  bool
}

func declareRemoteFlags(s *bmsettings.FlagSet) *remoteFlags {
	r := &remoteFlags{}
	s.URL(&r.url, "admin-url", "http://127.0.0.1:8082", "base URL of the administration API of any node")
	s.Secret(&r.token, "operator-token", "token of the operator")
	s.Bool(&r.json, "json", "print JSON")
	return r
}

func (r *remoteFlags) client() *bmadmin.Client {
	return bmadmin.NewClient(r.url, r.token)
}

func runStatus(ctx context.Context, args []string, env Env) int {
	s := bmsettings.NewSet("status", "Shows the configuration version, hosts and targets as one node sees them.")
	r := declareRemoteFlags(s)
	if _, code, ok := parseSettings(s, args, env); !ok {
		return code
	}
	status, err := r.client().Status(ctx)
	if err != nil {
		fmt.Fprintf(env.Stderr, "basilmoor: %v\n", err)
		return ExitFailure
	}
	if r.json {
		return printJSON(env.Stdout, status)
	}
	printStatus(env.Stdout, status)
	return ExitOK
}

func printStatus(w io.Writer, s bmadmin.Status) {
	fmt.Fprintf(w, "host %s: ready=%t in-progress=%d\n", s.Host, s.Ready, s.InProgress)
	fmt.Fprintf(w, "configuration: version %d, note %q, %s", s.ConfigVersion, s.ConfigNote, s.ConfigMode)
	if len(s.ConfigReasons) > 0 {
		fmt.Fprintf(w, " (%s)", strings.Join(s.ConfigReasons, "; "))
	}
	fmt.Fprintf(w, "\n\n")
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "HOST\tPLACE\tVERSION\tNOTE\tLOAD\tLEAVING")
	for _, host := range s.Hosts {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d\t%t\n", host.Host, host.DataCentre, host.ConfigVersion, host.ConfigNote, host.Load, host.Leaving)
	}
	fmt.Fprintln(table, "\t\t\t\t\t")
	fmt.Fprintln(table, "TARGET\tPOOL\tPLACE\tLEAVING")
	for _, target := range s.Targets {
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\n", target.Name, target.Pool, target.DataCentre, target.Leaving)
	}
	_ = table.Flush()
	if len(s.Lagging) > 0 {
		fmt.Fprintf(w, "\nlagging: %s\n", strings.Join(s.Lagging, ", "))
	}
}

func printJSON(w io.Writer, v any) int {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return ExitFailure
	}
	return ExitOK
}
