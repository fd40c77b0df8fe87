// Package bmmetrics provides the counters, gauges and histograms of a node. It is
// based on go-metrics.
//
// Invariants: counters never decrease. A metric name consists of a fixed prefix
// and a reason or source of the root package, or a pool and a rank, which bounds the number
// of metrics.
package bmmetrics

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"

	"basilmoor.example/basilmoor"
)

// Registry holds the metrics of one node. It is safe for concurrent use.
type Registry struct {
	registry metrics.Registry
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		registry: metrics.NewRegistry(),
	}
}

// Refusal counts a refused request.
func (r *Registry) Refusal(reason basilmoor.Reason) {
	r.Add("refusals."+string(reason), 1)
}

// RefusalSource counts a refused request by the source of the refusal, if it has one.
func (r *Registry) RefusalSource(source basilmoor.RefusalSource) {
	if source != "" {
		r.Add("refusals.source."+string(source), 1)
	}
}

// Retry counts another attempt before dispatch.
func (r *Registry) Retry(reason basilmoor.Reason) {
	r.Add("retries."+string(reason), 1)
}

// Outcome counts a finished request by its outcome.
func (r *Registry) Outcome(o basilmoor.Outcome) {
	r.Add("outcomes."+string(o), 1)
}

// Add adds n to the counter with the given name.
func (r *Registry) Add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, r.registry).Inc(n)
}

// Set sets the gauge with the given name.
func (r *Registry) Set(name string, n int64) {
	metrics.GetOrRegisterGauge(name, r.registry).Update(n)
}

// histogramSampleSize and histogramDecayAlpha are the parameters of the
// exponentially decaying sample of a histogram. The sample represents the last
// minutes, with an error of a few per cent at the 99th percentile.
const (
	histogramSampleSize = 512
	histogramDecayAlpha = 0.015
)

// Observe adds a duration in milliseconds to the histogram with the given name.
func (r *Registry) Observe(name string, d basilmoor.Millis) {
	h := r.registry.GetOrRegister(name, newHistogram)
	if h, ok := h.(metrics.Histogram); ok {
		h.Update(int64(d))
	}
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSampleSize, histogramDecayAlpha))
}

// quantiles are the quantiles of a histogram that WriteText writes.
var quantiles = []float64{0.5, 0.95, 0.99}

// WriteText writes all counters, gauges and histograms in the Prometheus text
// format, sorted by name.
func (r *Registry) WriteText(w io.Writer) error {
	var lines []string
	r.registry.Each(func(name string, m any) {
		name = prometheusName(name)
		switch m := m.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.Histogram:
			lines = append(lines, histogramLines(name, m.Snapshot())...)
		}
	})
	sort.Strings(lines)
	_, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return err
}

func histogramLines(name string, h metrics.Histogram) []string {
	lines := []string{
		fmt.Sprintf("%s_count %d", name, h.Count()),
		fmt.Sprintf("%s_max %d", name, h.Max()),
	}
	for i, v := range h.Percentiles(quantiles) {
		lines = append(lines, fmt.Sprintf("%s{quantile=\"%g\"} %.0f", name, quantiles[i], v))
	}
	return lines
}

// prometheusName converts a name to one that is valid in the Prometheus text format.
func prometheusName(name string) string {
	return "basilmoor_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
}

// Snapshot returns all counters and gauges by name.
func (r *Registry) Snapshot() map[string]int64 {
	values := make(map[string]int64)
	r.registry.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			values[name] = m.Count()
		case metrics.Gauge:
			values[name] = m.Value()
		}
	})
	return values
}
