package bmscheduler

import (
	"strconv"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

// codec converts between messages and their wire format for the requests of one
// incarnation of a host. On the wire, requests are identified by numbers, since
// full IDs would make up half of all control traffic.
type codec struct {
	prefix string
}

func newCodec(host string, incarnation uint64) codec {
	return codec{
		prefix: host + "#" + strconv.FormatUint(incarnation, 36) + "/",
	}
}

func (c codec) requestID(number uint64) basilmoor.RequestID {
	return basilmoor.RequestID(c.prefix + strconv.FormatUint(number, 10))
}

// requestNumber returns the number in an ID built by this codec, or 0 if it
// can't be parsed.
func (c codec) requestNumber(id basilmoor.RequestID) uint64 {
	n, err := strconv.ParseUint(string(id[len(c.prefix):]), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

var stageCodes = map[basilmoor.Stage]bmpeerpb.Stage{
	basilmoor.StageReturned:    bmpeerpb.Stage_STAGE_RETURNED,
	basilmoor.StageDispatched:  bmpeerpb.Stage_STAGE_DISPATCHED,
	basilmoor.StageFirstToken:  bmpeerpb.Stage_STAGE_FIRST_TOKEN,
	basilmoor.StageProgress:    bmpeerpb.Stage_STAGE_PROGRESS,
	basilmoor.StageFinished:    bmpeerpb.Stage_STAGE_FINISHED,
	basilmoor.StageFailed:      bmpeerpb.Stage_STAGE_FAILED,
	basilmoor.StageUnreachable: bmpeerpb.Stage_STAGE_UNREACHABLE,
}

// decodeStage treats a stage that is unknown here, as a newer version may send,
// as progress.
func decodeStage(code bmpeerpb.Stage) basilmoor.Stage {
	for stage, c := range stageCodes {
		if c == code {
			return stage
		}
	}
	return basilmoor.StageProgress
}

func (c codec) encodeDemand(d basilmoor.Demand) *bmpeerpb.Demand {
	return &bmpeerpb.Demand{
		Number:        c.requestNumber(d.Request),
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

// decodeDemand leaves Host, DataCentre and Pool empty. They are properties of
// the stream, and the broker fills them in.
func (c codec) decodeDemand(in *bmpeerpb.Demand) basilmoor.Demand {
	return basilmoor.Demand{
		Request:       c.requestID(in.GetNumber()),
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

func (c codec) encodeObservation(o basilmoor.Observation) *bmpeerpb.Observation {
	out := &bmpeerpb.Observation{
		Number:       c.requestNumber(o.Request),
		Stage:        stageCodes[o.Stage],
		Tokens:       int32(o.Tokens),
		ElapsedMs:    int64(o.Elapsed),
		CachedTokens: int32(o.CachedTokens),
	}
	if o.Demand != nil {
		out.Target = o.Target
		out.Demand = c.encodeDemand(*o.Demand)
		out.Demand.Number = 0
	}
	return out
}

func (c codec) decodeObservation(in *bmpeerpb.Observation) basilmoor.Observation {
	o := basilmoor.Observation{
		Request:      c.requestID(in.GetNumber()),
		Target:       in.GetTarget(),
		Stage:        decodeStage(in.GetStage()),
		Tokens:       int(in.GetTokens()),
		Elapsed:      basilmoor.Millis(in.GetElapsedMs()),
		CachedTokens: int(in.GetCachedTokens()),
	}
	if in.GetDemand() != nil {
		d := c.decodeDemand(in.GetDemand())
		d.Request = o.Request
		o.Demand = &d
	}
	return o
}

func (c codec) encodeDecision(d basilmoor.Decision) *bmpeerpb.ScheduleResponse {
	if d.Grant != nil {
		return &bmpeerpb.ScheduleResponse{
			Message: &bmpeerpb.ScheduleResponse_Grant{
				Grant: &bmpeerpb.Grant{
					Number: c.requestNumber(d.Grant.Request),
					Target: d.Grant.Target.Name,
					TtlMs:  int64(d.Grant.TTL),
				},
			},
		}
	}
	return &bmpeerpb.ScheduleResponse{
		Message: &bmpeerpb.ScheduleResponse_Refusal{
			Refusal: &bmpeerpb.Refusal{
				Number:       c.requestNumber(d.Refusal.Request),
				Reason:       string(d.Refusal.Reason),
				RetryAfterMs: int64(d.Refusal.RetryAfter),
			},
		},
	}
}

// decodeDecision returns false for a keepalive. Of a grant's target it sets only
// the name.
func (c codec) decodeDecision(in *bmpeerpb.ScheduleResponse) (basilmoor.Decision, bool) {
	switch m := in.GetMessage().(type) {
	case *bmpeerpb.ScheduleResponse_Grant:
		return basilmoor.Decision{
			Grant: &basilmoor.Grant{
				Request: c.requestID(m.Grant.GetNumber()),
				Target: basilmoor.Target{
					Name: m.Grant.GetTarget(),
				},
				TTL: basilmoor.Millis(m.Grant.GetTtlMs()),
			},
		}, true
	case *bmpeerpb.ScheduleResponse_Refusal:
		return basilmoor.Decision{
			Refusal: &basilmoor.Refusal{
				Request:    c.requestID(m.Refusal.GetNumber()),
				Reason:     basilmoor.Reason(m.Refusal.GetReason()),
				RetryAfter: basilmoor.Millis(m.Refusal.GetRetryAfterMs()),
			},
		}, true
	default:
		return basilmoor.Decision{}, false
	}
}
