package bmdemo

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/proof/bmcaller"
	"basilmoor.example/basilmoor/internal/proof/bmcheck"
)

// TierReport holds the number of requests of a tier by outcome, and percentiles
// of the time to the first byte of those that were done.
type TierReport struct {
	Tier            string                   `json:"tier"`
	Sent            int                      `json:"sent"`
	Done            int                      `json:"done"`
	NotRun          int                      `json:"not-run"`
	NotRunByReason  map[basilmoor.Reason]int `json:"not-run-by-reason"`
	Unknown         int                      `json:"unknown"`
	Incomplete      int                      `json:"incomplete"`
	NoResponse      int                      `json:"no-response"`
	DispatchedTwice int                      `json:"dispatched-twice"`
	FirstTokenP50   basilmoor.Millis         `json:"first-token-p50-ms"`
	FirstTokenP95   basilmoor.Millis         `json:"first-token-p95-ms"`
}

// Promise is a promise of the system and whether it held during the run.
type Promise struct {
	Name   string `json:"name"`
	Held   bool   `json:"held"`
	Detail string `json:"detail,omitempty"`
}

// Report is the result of a run.
type Report struct {
	Tiers    []TierReport `json:"tiers"`
	Promises []Promise    `json:"promises"`
}

// Broken returns the names of the promises that did not hold.
func (r Report) Broken() []string {
	var names []string
	for _, p := range r.Promises {
		if !p.Held {
			names = append(names, p.Name)
		}
	}
	return names
}

func tierReports(responses []bmcaller.Response, executions []bmcheck.Execution) []TierReport {
	executionCounts := make(map[basilmoor.RequestID]int)
	for _, x := range executions {
		executionCounts[x.Request]++
	}
	var list []TierReport
	for _, tier := range []string{tierTop, tierMiddle, tierLow} {
		list = append(list, tierReport(tier, responses, executionCounts))
	}
	return list
}

func tierReport(tier string, responses []bmcaller.Response, executionCounts map[basilmoor.RequestID]int) TierReport {
	t := TierReport{
		Tier:           tier,
		NotRunByReason: make(map[basilmoor.Reason]int),
	}
	var firstTokenTimes []basilmoor.Millis
	for _, r := range responses {
		if r.Tier != tier {
			continue
		}
		t.Sent++
		if executionCounts[r.Request] > 1 {
			t.DispatchedTwice++
		}
		switch r.Outcome {
		case basilmoor.OutcomeDone:
			t.Done++
			firstTokenTimes = append(firstTokenTimes, r.FirstByte)
		case basilmoor.OutcomeNotRun:
			t.NotRun++
			t.NotRunByReason[r.Reason]++
		case basilmoor.OutcomeUnknown:
			t.Unknown++
		case basilmoor.OutcomeIncomplete:
			t.Incomplete++
		default:
			t.NoResponse++
		}
	}
	t.FirstTokenP50 = percentile(firstTokenTimes, 50)
	t.FirstTokenP95 = percentile(firstTokenTimes, 95)
	return t
}

// percentile returns the nearest-rank percentile: the smallest value that at
// least p percent of the values don't exceed. It returns 0 for no values and
// sorts the slice.
func percentile(values []basilmoor.Millis, p int) basilmoor.Millis {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[(len(values)*p+99)/100-1]
}

// Print writes the report as aligned text.
func (r Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "tier\tsent\tdone\tnot run\tunknown\tincomplete\tno response\tdispatched twice\tfirst token p50/p95 ms\tnot run by reason")
	for _, tier := range r.Tiers {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d/%d\t%s\n", tier.Tier, tier.Sent, tier.Done, tier.NotRun, tier.Unknown,
			tier.Incomplete, tier.NoResponse, tier.DispatchedTwice, tier.FirstTokenP50, tier.FirstTokenP95, formatReasons(tier.NotRunByReason))
	}
	fmt.Fprintln(t)
	for _, p := range r.Promises {
		state := "held"
		if !p.Held {
			state = "BROKEN"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\n", state, p.Name, p.Detail)
	}
	return t.Flush()
}

// formatReasons formats the counts as reason=count, sorted by reason.
func formatReasons(counts map[basilmoor.Reason]int) string {
	var list []string
	for r, n := range counts {
		list = append(list, fmt.Sprintf("%s=%d", r, n))
	}
	sort.Strings(list)
	return strings.Join(list, " ")
}
