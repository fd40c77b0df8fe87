package bmscheduler

import (
	"google.golang.org/protobuf/proto"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

// sampleCodec and sampleRequestNumber give request numbers the encoded size that
// they have on a host that has served about 100,000 requests.
var sampleCodec = newCodec("entry-1", 1)

const sampleRequestNumber = 123456

// DemandBytes returns the encoded size of a demand, without framing.
func DemandBytes(d basilmoor.Demand) int {
	d.Request = sampleCodec.requestID(sampleRequestNumber)
	return proto.Size(&bmpeerpb.ScheduleRequest{
		Message: &bmpeerpb.ScheduleRequest_Demand{
			Demand: sampleCodec.encodeDemand(d),
		},
	})
}

// CancelBytes returns the encoded size of a cancellation, without framing.
func CancelBytes() int {
	return proto.Size(&bmpeerpb.ScheduleRequest{
		Message: &bmpeerpb.ScheduleRequest_Cancel{
			Cancel: sampleRequestNumber,
		},
	})
}

// ObservationBytes returns the encoded size of an observation, without framing.
func ObservationBytes(o basilmoor.Observation) int {
	o.Request = sampleCodec.requestID(sampleRequestNumber)
	return proto.Size(&bmpeerpb.ScheduleRequest{
		Message: &bmpeerpb.ScheduleRequest_Observation{
			Observation: sampleCodec.encodeObservation(o),
		},
	})
}

// DecisionBytes returns the encoded size of a decision, without framing.
func DecisionBytes(d basilmoor.Decision) int {
	if d.Grant != nil {
		g := *d.Grant
		g.Request = sampleCodec.requestID(sampleRequestNumber)
		d.Grant = &g
	}
	if d.Refusal != nil {
		r := *d.Refusal
		r.Request = sampleCodec.requestID(sampleRequestNumber)
		d.Refusal = &r
	}
	return proto.Size(sampleCodec.encodeDecision(d))
}
