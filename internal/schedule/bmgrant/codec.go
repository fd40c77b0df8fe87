package bmgrant

import (
	"strconv"
	"strings"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

// requestID names a demand of a host in the whole fleet.
func requestID(host string, number uint64) basilmoor.RequestID {
	return basilmoor.RequestID(host + "/" + strconv.FormatUint(number, 10))
}

// splitID is the inverse of requestID.
func splitID(id basilmoor.RequestID) (host string, number uint64) {
	i := strings.LastIndexByte(string(id), '/')
	if i < 0 {
		return "", 0
	}
	number, err := strconv.ParseUint(string(id[i+1:]), 10, 64)
	if err != nil {
		return "", 0
	}
	return string(id[:i]), number
}

func encodeDemand(number uint64, d basilmoor.Demand) *bmgrantpb.Demand {
	return &bmgrantpb.Demand{
		Number:       number,
		Pool:         d.Pool,
		Kind:         d.Kind,
		Workspace:    d.Workspace,
		Rank:         int32(d.Tier),
		PromptTokens: int32(d.PromptTokens),
		OutputTokens: int32(d.OutputTokens),
		Charge:       int32(d.Charge),
		AgeMs:        int32(d.Age),
		ObjectiveMs:  int32(d.Objective),
		PatienceMs:   int32(d.Patience),
		DeadlineMs:   int32(d.Deadline),
		Excluded:     d.Excluded,
	}
}

func decodeDemand(host, dataCentre string, d *bmgrantpb.Demand) basilmoor.Demand {
	return basilmoor.Demand{
		Request:      requestID(host, d.GetNumber()),
		Host:         host,
		Place:        dataCentre,
		Pool:         d.GetPool(),
		Kind:         d.GetKind(),
		Workspace:    d.GetWorkspace(),
		Weight:       1,
		Tier:         int(d.GetRank()),
		PromptTokens: int(d.GetPromptTokens()),
		OutputTokens: int(d.GetOutputTokens()),
		Charge:       int(d.GetCharge()),
		Age:          basilmoor.Millis(d.GetAgeMs()),
		Objective:    basilmoor.Millis(d.GetObjectiveMs()),
		Patience:     basilmoor.Millis(d.GetPatienceMs()),
		Deadline:     basilmoor.Millis(d.GetDeadlineMs()),
		Excluded:     d.GetExcluded(),
	}
}

func encodeObservation(number uint64, o basilmoor.Observation) *bmgrantpb.Observation {
	encoded := &bmgrantpb.Observation{
		Number:    number,
		Stage:     string(o.Stage),
		Tokens:    int32(o.Tokens),
		ElapsedMs: int32(o.Elapsed),
		Target:    o.Target,
	}
	if o.Demand != nil {
		encoded.Demand = encodeDemand(number, *o.Demand)
	}
	return encoded
}

func decodeObservation(host, dataCentre string, o *bmgrantpb.Observation) basilmoor.Observation {
	decoded := basilmoor.Observation{
		Request: requestID(host, o.GetNumber()),
		Target:  o.GetTarget(),
		Stage:   basilmoor.Stage(o.GetStage()),
		Tokens:  int(o.GetTokens()),
		Elapsed: basilmoor.Millis(o.GetElapsedMs()),
	}
	if o.GetDemand() != nil {
		d := decodeDemand(host, dataCentre, o.GetDemand())
		decoded.Demand = &d
	}
	return decoded
}
