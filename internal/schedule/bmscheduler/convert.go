package bmscheduler

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

func encodeDemand(d basilmoor.Demand) *bmpeerpb.Demand {
	return &bmpeerpb.Demand{
		Request:       string(d.Request),
		Workspace:     d.Workspace,
		Weight:        int32(d.Weight),
		Tier:          int32(d.Tier),
		Kind:          d.Kind,
		Model:         d.Model,
		PrefixDigests: d.PrefixDigests,
		PromptTokens:  int32(d.PromptTokens),
		OutputTokens:  int32(d.OutputTokens),
		AgeMs:         int64(d.Age),
		DeadlineMs:    int64(d.Deadline),
		BodyBytes:     int64(d.BodyBytes),
		Excluded:      d.Excluded,
	}
}

// decodeDemand leaves out host, place and pool, which belong to the stream.
func decodeDemand(in *bmpeerpb.Demand) basilmoor.Demand {
	return basilmoor.Demand{
		Request:       basilmoor.RequestID(in.GetRequest()),
		Workspace:     in.GetWorkspace(),
		Weight:        int(in.GetWeight()),
		Tier:          int(in.GetTier()),
		Kind:          in.GetKind(),
		Model:         in.GetModel(),
		PrefixDigests: in.GetPrefixDigests(),
		PromptTokens:  int(in.GetPromptTokens()),
		OutputTokens:  int(in.GetOutputTokens()),
		Age:           basilmoor.Millis(in.GetAgeMs()),
		Deadline:      basilmoor.Millis(in.GetDeadlineMs()),
		BodyBytes:     int(in.GetBodyBytes()),
		Excluded:      in.GetExcluded(),
	}
}

func encodeObservation(o basilmoor.Observation) *bmpeerpb.Observation {
	out := &bmpeerpb.Observation{
		Request:      string(o.Request),
		Stage:        string(o.Stage),
		Tokens:       int32(o.Tokens),
		ElapsedMs:    int64(o.Elapsed),
		CachedTokens: int32(o.CachedTokens),
	}
	if o.Demand != nil {
		out.Target = o.Target
		out.Demand = encodeDemand(*o.Demand)
		out.Demand.Request = ""
	}
	return out
}

func decodeObservation(in *bmpeerpb.Observation) basilmoor.Observation {
	o := basilmoor.Observation{
		Request:      basilmoor.RequestID(in.GetRequest()),
		Target:       in.GetTarget(),
		Stage:        basilmoor.Stage(in.GetStage()),
		Tokens:       int(in.GetTokens()),
		Elapsed:      basilmoor.Millis(in.GetElapsedMs()),
		CachedTokens: int(in.GetCachedTokens()),
	}
	if in.GetDemand() != nil {
		d := decodeDemand(in.GetDemand())
		d.Request = o.Request
		o.Demand = &d
	}
	return o
}

func encodeDecision(d basilmoor.Decision) *bmpeerpb.ScheduleResponse {
	if d.Grant != nil {
		return &bmpeerpb.ScheduleResponse{
			Message: &bmpeerpb.ScheduleResponse_Grant{
				Grant: &bmpeerpb.Grant{
					Request: string(d.Grant.Request),
					Target:  d.Grant.Target.Name,
					TtlMs:   int64(d.Grant.TTL),
				},
			},
		}
	}
	return &bmpeerpb.ScheduleResponse{
		Message: &bmpeerpb.ScheduleResponse_Refusal{
			Refusal: &bmpeerpb.Refusal{
				Request:      string(d.Refusal.Request),
				Reason:       string(d.Refusal.Reason),
				RetryAfterMs: int64(d.Refusal.RetryAfter),
			},
		},
	}
}

// decodeDecision returns a grant whose target has only its name; false for a
// keepalive.
func decodeDecision(in *bmpeerpb.ScheduleResponse) (basilmoor.Decision, bool) {
	switch m := in.GetMessage().(type) {
	case *bmpeerpb.ScheduleResponse_Grant:
		return basilmoor.Decision{
			Grant: &basilmoor.Grant{
				Request: basilmoor.RequestID(m.Grant.GetRequest()),
				Target: basilmoor.Target{
					Name: m.Grant.GetTarget(),
				},
				TTL: basilmoor.Millis(m.Grant.GetTtlMs()),
			},
		}, true
	case *bmpeerpb.ScheduleResponse_Refusal:
		return basilmoor.Decision{
			Refusal: &basilmoor.Refusal{
				Request:    basilmoor.RequestID(m.Refusal.GetRequest()),
				Reason:     basilmoor.Reason(m.Refusal.GetReason()),
				RetryAfter: basilmoor.Millis(m.Refusal.GetRetryAfterMs()),
			},
		}, true
	default:
		return basilmoor.Decision{}, false
	}
}
