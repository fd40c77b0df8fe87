package bmbench

import (
	"flag"
	"testing"
)

var seedFlag = flag.Uint64("seed", 1, "seed of arrivals and slow targets")

// BenchmarkScheduling runs each scheme with the same arrivals and reports its
// metrics.
func BenchmarkScheduling(b *testing.B) {
	for _, d := range []*Deployment{Seedleaf(), Gonder()} {
		schemes := append([]Scheme{Broker(), Clairvoyant()}, Baselines()...)
		for _, scheme := range schemes {
			b.Run(d.Name+"/"+scheme.Name, func(b *testing.B) {
				var r Result
				for b.Loop() {
					r = Run(d, scheme, *seedFlag)
				}
				report(b, r)
			})
		}
	}
}

func report(b *testing.B, r Result) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(r.GoodputByTier[0], "goodput-tier-0")
	b.ReportMetric(r.GoodputByTier[1], "goodput-tier-1")
	b.ReportMetric(r.GoodputByTier[2], "goodput-tier-2")
	b.ReportMetric(r.Goodput, "goodput-all")
	b.ReportMetric(r.PeakServed, "crest-served")
	b.ReportMetric(r.WastedPrefill, "wasted-prefill-tokens")
	b.ReportMetric(r.LatePrefill, "missed-prefill-tokens")
	b.ReportMetric(r.Prefill, "prefill-tokens")
	b.ReportMetric(r.SlowTargetTTFTP99, "straggler-p99-ms")
	b.ReportMetric(100*r.IdleTargets, "idle-target-%")
	b.ReportMetric(100*r.IdleSlots, "idle-slot-%")
	b.ReportMetric(float64(r.Inversions), "inversions")
	b.ReportMetric(float64(r.LateAdmissions), "late-admissions")
	b.ReportMetric(r.MessagesPerRequest, "messages/request")
	b.ReportMetric(r.BytesPerRequest, "bytes/request")
	b.ReportMetric(r.BytesPerHostPerSecond, "bytes/host/s")
}
