package bmpeer

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmmember"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

// EncodeHeartbeat converts a heartbeat to its protobuf message.
func EncodeHeartbeat(b bmmember.Heartbeat) *bmpeerpb.Heartbeat {
	out := &bmpeerpb.Heartbeat{
		Self:           encodeMember(b.Self),
		Sequence:       b.Sequence,
		Introduce:      b.Introduce,
		Large:          b.Large,
		DataCentreTick: b.DataCentreTick,
		MeshDigest:     b.MeshDigest,
		MeshTicks:      b.MeshTicks,
		RosterDigest:   b.RosterDigest,
		RosterTicks:    b.RosterTicks,
		Want:           b.Want,
	}
	out.Self.Tick = b.Tick
	for _, k := range b.Known {
		m := encodeMember(k.Member)
		m.Tick = k.Tick
		m.AgeMs = int64(k.Age)
		out.Known = append(out.Known, m)
	}
	for _, s := range b.Summaries {
		out.Summaries = append(out.Summaries, &bmpeerpb.Summary{
			DataCentre: s.DataCentre,
			Digest:     s.Digest,
			Tick:       s.Tick,
		})
	}
	for _, r := range b.Rosters {
		out.Rosters = append(out.Rosters, encodeRoster(r))
	}
	out.Crashes = EncodeCrashes(b.Crashes)
	return out
}

// EncodeCrashes converts crashes to their protobuf messages.
func EncodeCrashes(crashes []basilmoor.Crash) []*bmpeerpb.Crash {
	var out []*bmpeerpb.Crash
	for _, c := range crashes {
		out = append(out, &bmpeerpb.Crash{
			Digest:  c.Digest,
			Targets: c.Targets,
			AgeMs:   int64(c.Age),
			Lifted:  c.Lifted,
		})
	}
	return out
}

// DecodeCrashes is the inverse of EncodeCrashes.
func DecodeCrashes(in []*bmpeerpb.Crash) []basilmoor.Crash {
	var crashes []basilmoor.Crash
	for _, c := range in {
		crashes = append(crashes, basilmoor.Crash{
			Digest:  c.GetDigest(),
			Targets: c.GetTargets(),
			Age:     basilmoor.Millis(c.GetAgeMs()),
			Lifted:  c.GetLifted(),
		})
	}
	return crashes
}

// DecodeHeartbeat is the inverse of EncodeHeartbeat.
func DecodeHeartbeat(in *bmpeerpb.Heartbeat) bmmember.Heartbeat {
	b := bmmember.Heartbeat{
		Self:           decodeMember(in.GetSelf()),
		Sequence:       in.GetSequence(),
		Tick:           in.GetSelf().GetTick(),
		Introduce:      in.GetIntroduce(),
		Large:          in.GetLarge(),
		DataCentreTick: in.GetDataCentreTick(),
		MeshDigest:     in.GetMeshDigest(),
		MeshTicks:      in.GetMeshTicks(),
		RosterDigest:   in.GetRosterDigest(),
		RosterTicks:    in.GetRosterTicks(),
		Want:           in.GetWant(),
	}
	for _, m := range in.GetKnown() {
		b.Known = append(b.Known, bmmember.MemberReport{
			Member: decodeMember(m),
			Tick:   m.GetTick(),
			Age:    basilmoor.Millis(m.GetAgeMs()),
		})
	}
	for _, s := range in.GetSummaries() {
		b.Summaries = append(b.Summaries, bmmember.Summary{
			DataCentre: s.GetDataCentre(),
			Digest:     s.GetDigest(),
			Tick:       s.GetTick(),
		})
	}
	for _, r := range in.GetRosters() {
		b.Rosters = append(b.Rosters, decodeRoster(r))
	}
	b.Crashes = DecodeCrashes(in.GetCrashes())
	return b
}

// encodeRoster omits the data centre and region from the members, because all
// members share those of the roster.
func encodeRoster(r bmmember.Roster) *bmpeerpb.Roster {
	out := &bmpeerpb.Roster{
		DataCentre: r.DataCentre,
		Region:     r.Region,
		Tick:       r.Tick,
		AgeMs:      int64(r.Age),
	}
	for _, m := range r.Members {
		e := encodeMember(m)
		e.DataCentre = ""
		e.Region = ""
		out.Members = append(out.Members, e)
	}
	return out
}

// decodeRoster restores the data centre and region of the members.
func decodeRoster(in *bmpeerpb.Roster) bmmember.Roster {
	r := bmmember.Roster{
		DataCentre: in.GetDataCentre(),
		Region:     in.GetRegion(),
		Tick:       in.GetTick(),
		Age:        basilmoor.Millis(in.GetAgeMs()),
	}
	for _, e := range in.GetMembers() {
		m := decodeMember(e)
		m.DataCentre = r.DataCentre
		m.Region = r.Region
		r.Members = append(r.Members, m)
	}
	return r
}

func encodeMember(m basilmoor.Member) *bmpeerpb.Member {
	return &bmpeerpb.Member{
		Host:          m.Host,
		Address:       m.Address,
		DataCentre:    m.DataCentre,
		Region:        m.Region,
		Incarnation:   m.Incarnation,
		ConfigVersion: m.ConfigVersion,
		ConfigNote:    m.ConfigNote,
		Load:          int32(m.Load),
		Leaving:       m.Leaving,
	}
}

func decodeMember(in *bmpeerpb.Member) basilmoor.Member {
	return basilmoor.Member{
		Host:          in.GetHost(),
		Address:       in.GetAddress(),
		DataCentre:    in.GetDataCentre(),
		Region:        in.GetRegion(),
		Incarnation:   in.GetIncarnation(),
		ConfigVersion: in.GetConfigVersion(),
		ConfigNote:    in.GetConfigNote(),
		Load:          int(in.GetLoad()),
		Leaving:       in.GetLeaving(),
	}
}
