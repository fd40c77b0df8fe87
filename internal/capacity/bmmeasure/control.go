package bmmeasure

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmcapacity"
	"basilmoor.example/basilmoor/internal/schedule/bmscheduler"
)

// framingBytes is the overhead of a message on an open gRPC stream: 5 bytes of
// gRPC message prefix and 9 of HTTP/2 frame header. TCP and IP headers are not
// counted, as messages that are sent together share them.
const framingBytes = 14

// targetsPerHost is the largest number of targets on which a host has streams at
// the design size: 2 million tokens per second over 390 hosts with 31 ms between
// tokens make 159 streams per host, in the worst case each on its own target.
const targetsPerHost = 159

// Control measures the bytes of control messages between an entry host and its
// broker, per request and for progress reports.
func Control() []Series {
	byPrompt := Series{
		Role:       "entry and broker",
		Cost:       "control bytes per request without progress reports",
		Size:       "prefix digests of the prompt (64 tokens each)",
		Mechanism:  "demand, grant, dispatched, first token, finished on gRPC streams",
		Exact:      true,
		DesignSize: 8,
	}
	for _, n := range []int{0, 4, 16, 64, 128} {
		byPrompt.Points = append(byPrompt.Points, newPoint(n, float64(controlBytesPerRequest(n))))
	}
	byTargets := Series{
		Role:       "entry and broker",
		Cost:       "control bytes per second for progress reports at steady speeds",
		Size:       "targets with a stream of the host",
		Mechanism:  "one stream a target is sampled, two points every 4 s or when its speed changes",
		Exact:      true,
		DesignSize: targetsPerHost,
	}
	for _, n := range []int{20, 40, 80, 160} {
		byTargets.Points = append(byTargets.Points, newPoint(n, float64(2*n*bytesPerProgressReport())/bmcapacity.SamplePeriod.Duration().Seconds()))
	}
	return []Series{byPrompt, byTargets}
}

// controlBytesPerRequest returns the bytes of a request's control messages,
// without progress reports, for a prompt with the given prefix digests.
func controlBytesPerRequest(prefixes int) int {
	digests := make([]uint64, prefixes)
	for i := range digests {
		digests[i] = uint64(i) << 40
	}
	sizes := []int{
		bmscheduler.DemandBytes(basilmoor.Demand{
			Workspace:     "workspace-12345",
			Weight:        3,
			Tier:          1,
			Kind:          "label-reviews",
			Model:         "label-review",
			PrefixDigests: digests,
			PromptTokens:  500,
			OutputTokens:  500,
			Deadline:      30 * basilmoor.Second,
			BodyBytes:     4000,
		}),
		bmscheduler.DecisionBytes(basilmoor.Decision{
			Grant: &basilmoor.Grant{
				Target: basilmoor.Target{
					Name: "engine-kinston-123",
				},
				TTL: basilmoor.Second,
			},
		}),
		observationBytes(basilmoor.StageDispatched, 0, 0),
		observationBytes(basilmoor.StageFirstToken, 1, 300),
		observationBytes(basilmoor.StageFinished, 500, 15000),
	}
	n := 0
	for _, size := range sizes {
		n += size + framingBytes
	}
	return n
}

func bytesPerProgressReport() int {
	return observationBytes(basilmoor.StageProgress, 250, 7750) + framingBytes
}

func observationBytes(stage basilmoor.Stage, tokens int, elapsed basilmoor.Millis) int {
	return bmscheduler.ObservationBytes(basilmoor.Observation{
		Target:  "engine-kinston-123",
		Stage:   stage,
		Tokens:  tokens,
		Elapsed: elapsed,
	})
}
