package bmmeasure

import (
	"google.golang.org/protobuf/proto"

	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
	"basilmoor.example/basilmoor/internal/schedule/bmcapacity"
)

// framing is what gRPC and HTTP/2 add to a message on an open stream: 5 bytes
// of message prefix and 9 of frame header. TCP and IP headers are shared by
// the messages that are sent together and are not counted here.
const framing = 14

// targetsPerHost bounds the targets on which a host has streams: 2 million
// tokens a second on 390 hosts at 31 ms between tokens make 159 streams a host,
// each on a target of its own in the worst case.
const targetsPerHost = 159

// Control measures the bytes that one request puts on the streams between an
// entry host and its broker.
func Control() []Series {
	byPrompt := Series{
		Role:      "entry and broker",
		Cost:      "control bytes per request without progress reports",
		Size:      "prefix digests of the prompt (64 tokens each)",
		Mechanism: "demand, grant, dispatched, first token, finished on gRPC streams",
		Exact:     true,
		Target:    8,
	}
	for _, n := range []int{0, 4, 16, 64, 128} {
		byPrompt.Points = append(byPrompt.Points, point(n, float64(requestBytes(n))))
	}
	byTargets := Series{
		Role:      "entry and broker",
		Cost:      "control bytes per second for progress reports at steady speeds",
		Size:      "targets with a stream of the host",
		Mechanism: "one stream a target is sampled, two points every 4 s or when its speed changes",
		Exact:     true,
		Target:    targetsPerHost,
	}
	for _, n := range []int{20, 40, 80, 160} {
		byTargets.Points = append(byTargets.Points, point(n, float64(2*n*progressBytes())/bmcapacity.SamplePeriod.Duration().Seconds()))
	}
	return []Series{byPrompt, byTargets}
}

// typicalNumber stands for the number of a request, which takes as many bytes
// as that of the hundred thousandth request of a host.
const typicalNumber = 123456

func requestBytes(prefixes int) int {
	digests := make([]uint64, prefixes)
	for i := range digests {
		digests[i] = uint64(i) << 40
	}
	messages := []proto.Message{
		&bmpeerpb.ScheduleRequest{
			Message: &bmpeerpb.ScheduleRequest_Demand{
				Demand: &bmpeerpb.Demand{
					Number:        typicalNumber,
					Workspace:     "workspace-12345",
					Weight:        3,
					Tier:          1,
					Kind:          "label-reviews",
					Model:         "label-review",
					PrefixDigests: digests,
					PromptTokens:  500,
					OutputTokens:  500,
					DeadlineMs:    30000,
					BodyBytes:     4000,
				},
			},
		},
		&bmpeerpb.ScheduleResponse{
			Message: &bmpeerpb.ScheduleResponse_Grant{
				Grant: &bmpeerpb.Grant{
					Number: typicalNumber,
					Target: "engine-kinston-123",
					TtlMs:  1000,
				},
			},
		},
		observation(bmpeerpb.Stage_STAGE_DISPATCHED, 0, 0),
		observation(bmpeerpb.Stage_STAGE_FIRST_TOKEN, 1, 300),
		observation(bmpeerpb.Stage_STAGE_FINISHED, 500, 15000),
	}
	n := 0
	for _, m := range messages {
		n += proto.Size(m) + framing
	}
	return n
}

func progressBytes() int {
	return proto.Size(observation(bmpeerpb.Stage_STAGE_PROGRESS, 250, 7750)) + framing
}

func observation(stage bmpeerpb.Stage, tokens, elapsed int) *bmpeerpb.ScheduleRequest {
	return &bmpeerpb.ScheduleRequest{
		Message: &bmpeerpb.ScheduleRequest_Observation{
			Observation: &bmpeerpb.Observation{
				Number:    typicalNumber,
				Stage:     stage,
				Tokens:    int32(tokens),
				ElapsedMs: int64(elapsed),
			},
		},
	}
}
