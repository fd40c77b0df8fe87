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

// remote is the settings of subcommands that call a node.
type remote struct {
	url   string
	token string
	json  bool
}

func declareRemote(s *bmsettings.Set) *remote {
	r := &remote{}
	s.URL(&r.url, "admin-url", "http://127.0.0.1:8082", "base URL of the administration API of any node")
	s.Secret(&r.token, "operator-token", "token of the operator")
	s.Bool(&r.json, "json", "print JSON")
	return r
}

func (r *remote) client() *bmadmin.Client {
	return bmadmin.NewClient(r.url, r.token)
}

func runStatus(ctx context.Context, args []string, env Env) int {
	s := bmsettings.NewSet("status", "Shows the configuration version, hosts and targets as one node sees them.")
	r := declareRemote(s)
	if _, code, ok := parse(s, args, env); !ok {
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
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "HOST\tPLACE\tVERSION\tNOTE\tLOAD\tLEAVING")
	for _, h := range s.Hosts {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%d\t%t\n", h.Host, h.DataCentre, h.ConfigVersion, h.ConfigNote, h.Load, h.Leaving)
	}
	fmt.Fprintln(t, "\t\t\t\t\t")
	fmt.Fprintln(t, "TARGET\tPOOL\tPLACE\tLEAVING")
	for _, g := range s.Targets {
		fmt.Fprintf(t, "%s\t%s\t%s\t%t\n", g.Name, g.Pool, g.DataCentre, g.Leaving)
	}
	_ = t.Flush()
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
