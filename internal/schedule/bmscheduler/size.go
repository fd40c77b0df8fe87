package bmscheduler

import (
	"google.golang.org/protobuf/proto"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

// sizeCodec numbers requests like a host that has served a hundred thousand.
var sizeCodec = newCodec("entry-1", 1)

const sizeNumber = 123456

// DemandBytes returns the size of a demand on the wire without framing.
func DemandBytes(d basilmoor.Demand) int {
	d.Request = sizeCodec.id(sizeNumber)
	return proto.Size(&bmpeerpb.ScheduleRequest{
		Message: &bmpeerpb.ScheduleRequest_Demand{
			Demand: sizeCodec.encodeDemand(d),
		},
	})
}

// CancelBytes returns the size of a cancellation on the wire without framing.
func CancelBytes() int {
	return proto.Size(&bmpeerpb.ScheduleRequest{
		Message: &bmpeerpb.ScheduleRequest_Cancel{
			Cancel: sizeNumber,
		},
	})
}

// ObservationBytes returns the size of an observation on the wire without
// framing.
func ObservationBytes(o basilmoor.Observation) int {
	o.Request = sizeCodec.id(sizeNumber)
	return proto.Size(&bmpeerpb.ScheduleRequest{
		Message: &bmpeerpb.ScheduleRequest_Observation{
			Observation: sizeCodec.encodeObservation(o),
		},
	})
}

// DecisionBytes returns the size of a decision on the wire without framing.
func DecisionBytes(d basilmoor.Decision) int {
	if d.Grant != nil {
		g := *d.Grant
		g.Request = sizeCodec.id(sizeNumber)
		d.Grant = &g
	}
	if d.Refusal != nil {
		r := *d.Refusal
		r.Request = sizeCodec.id(sizeNumber)
		d.Refusal = &r
	}
	return proto.Size(sizeCodec.encodeDecision(d))
}
