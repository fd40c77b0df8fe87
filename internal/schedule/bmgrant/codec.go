package bmgrant

import (
	"bytes"
	"compress/flate"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmview"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

// requestID returns the fleet-wide ID of a demand, given the number that is
// unique on its host.
func requestID(host string, number uint64) basilmoor.RequestID {
	return basilmoor.RequestID(host + "/" + strconv.FormatUint(number, 10))
}

// parseRequestID is the inverse of requestID. It returns zero values for a
// malformed ID.
func parseRequestID(id basilmoor.RequestID) (host string, number uint64) {
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
		Number:        number,
		Pool:          d.Pool,
		Kind:          d.Kind,
		Workspace:     d.Workspace,
		Rank:          int32(d.Tier),
		WorkspaceRank: int32(d.WorkspaceRank),
		PromptTokens:  int32(d.PromptTokens),
		OutputTokens:  int32(d.OutputTokens),
		Charge:        int32(d.Charge),
		AgeMs:         int32(d.Age),
		ObjectiveMs:   int32(d.Objective),
		PatienceMs:    int32(d.FirstByteTimeout),
		DeadlineMs:    int32(d.Deadline),
		Excluded:      d.Excluded,
		CrashKeys:     d.CrashKeys,
		OnlyInTime:    d.OnlyInTime,
		MaxPauseMs:    int32(d.MaxPause),
	}
}

func decodeDemand(host, dataCentre string, d *bmgrantpb.Demand) basilmoor.Demand {
	return basilmoor.Demand{
		Request:          requestID(host, d.GetNumber()),
		Host:             host,
		DataCentre:       dataCentre,
		Pool:             d.GetPool(),
		Kind:             d.GetKind(),
		Workspace:        d.GetWorkspace(),
		Weight:           1,
		Tier:             int(d.GetRank()),
		WorkspaceRank:    int(d.GetWorkspaceRank()),
		PromptTokens:     int(d.GetPromptTokens()),
		OutputTokens:     int(d.GetOutputTokens()),
		Charge:           int(d.GetCharge()),
		Age:              basilmoor.Millis(d.GetAgeMs()),
		Objective:        basilmoor.Millis(d.GetObjectiveMs()),
		FirstByteTimeout: basilmoor.Millis(d.GetPatienceMs()),
		Deadline:         basilmoor.Millis(d.GetDeadlineMs()),
		Excluded:         d.GetExcluded(),
		CrashKeys:        d.GetCrashKeys(),
		OnlyInTime:       d.GetOnlyInTime(),
		MaxPause:         basilmoor.Millis(d.GetMaxPauseMs()),
	}
}

func encodeObservation(number uint64, o basilmoor.Observation) *bmgrantpb.Observation {
	encoded := &bmgrantpb.Observation{
		Number:         number,
		Stage:          string(o.Stage),
		Tokens:         int32(o.Tokens),
		ElapsedMs:      int32(o.Elapsed),
		Target:         o.Target,
		TargetDied:     o.TargetDied,
		Answered:       o.Answered,
		LongestPauseMs: int32(o.LongestPause),
		BadAnswer:      o.BadAnswer,
	}
	if o.Demand != nil {
		encoded.Demand = encodeDemand(number, *o.Demand)
	}
	return encoded
}

func decodeObservation(host, dataCentre string, o *bmgrantpb.Observation) basilmoor.Observation {
	decoded := basilmoor.Observation{
		Request:      requestID(host, o.GetNumber()),
		Target:       o.GetTarget(),
		Stage:        basilmoor.Stage(o.GetStage()),
		Tokens:       int(o.GetTokens()),
		Elapsed:      basilmoor.Millis(o.GetElapsedMs()),
		TargetDied:   o.GetTargetDied(),
		Answered:     o.GetAnswered(),
		LongestPause: basilmoor.Millis(o.GetLongestPauseMs()),
		BadAnswer:    o.GetBadAnswer(),
	}
	if o.GetDemand() != nil {
		d := decodeDemand(host, dataCentre, o.GetDemand())
		decoded.Demand = &d
	}
	return decoded
}

// positioned is a message with the position of its sender's view of the platform.
type positioned interface {
	GetEra() int64
	GetRevision() int64
}

func positionIn(m positioned) basilmoor.Position {
	return basilmoor.Position{
		Era:      m.GetEra(),
		Revision: m.GetRevision(),
	}
}

// encodeProof returns the proof of a view, which echoes a stamp of the receiver's clock,
// or nil if there is none. The receiver has to get the changes that are known afterwards
// with it or before it.
func encodeProof(views ViewSource, stamp uint64) *bmgrantpb.Proof {
	era, age, known := views.Proof()
	if !known {
		return nil
	}
	return &bmgrantpb.Proof{
		Echo:  stamp,
		AgeMs: int64(age),
		Era:   era,
	}
}

// applyProof confirms a view by the proof of another host, which echoes a stamp of
// this host's clock.
func applyProof(views ViewSource, p *bmgrantpb.Proof) {
	views.Confirm(p.GetEra(), basilmoor.Millis(p.GetEcho())-basilmoor.Millis(p.GetAgeMs()))
}

// minCompressBytes is the size from which a value is compressed. Desired states
// are tens to hundreds of kilobytes of JSON.
const minCompressBytes = 2 << 10

// maxDecompressedBytes is the size to which a decompressed value is cut off.
const maxDecompressedBytes = 4 * basilmoor.MaxValueBytes

func encodeUpdate(u bmview.Update) *bmgrantpb.Update {
	encoded := &bmgrantpb.Update{
		From:    u.From.Revision,
		FromEra: u.From.Era,
		To:      u.To.Revision,
		ToEra:   u.To.Era,
	}
	for _, e := range u.Events {
		entry := &bmgrantpb.Entry{
			Key:      e.Entry.Key,
			Value:    e.Entry.Value,
			Revision: e.Entry.Revision,
			Deleted:  e.Deleted,
		}
		if len(entry.Value) >= minCompressBytes {
			entry.Value = compress(entry.Value)
			entry.Compressed = true
		}
		encoded.Entries = append(encoded.Entries, entry)
	}
	return encoded
}

func compress(value []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic("flate level: " + err.Error()) // BestSpeed is a valid level
	}
	// Writes to a bytes.Buffer never fail.
	_, _ = w.Write(value)
	_ = w.Close()
	return b.Bytes()
}

func decodeUpdates(encoded []*bmgrantpb.Update) ([]bmview.Update, error) {
	updates := make([]bmview.Update, 0, len(encoded))
	for _, u := range encoded {
		decoded := bmview.Update{
			From: basilmoor.Position{
				Era:      u.GetFromEra(),
				Revision: u.GetFrom(),
			},
			To: basilmoor.Position{
				Era:      u.GetToEra(),
				Revision: u.GetTo(),
			},
		}
		for _, e := range u.GetEntries() {
			event, err := decodeEntry(e)
			if err != nil {
				return nil, err
			}
			decoded.Events = append(decoded.Events, event)
		}
		updates = append(updates, decoded)
	}
	return updates, nil
}

func decodeEntry(e *bmgrantpb.Entry) (basilmoor.Event, error) {
	value := e.GetValue()
	if e.GetCompressed() {
		r := flate.NewReader(bytes.NewReader(value))
		raw, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes))
		if err != nil {
			return basilmoor.Event{}, errors.Wrapf(err, "decompress entry %q", e.GetKey())
		}
		value = raw
	}
	return basilmoor.Event{
		Entry: basilmoor.Entry{
			Key:      e.GetKey(),
			Value:    value,
			Version:  e.GetRevision(),
			Revision: e.GetRevision(),
		},
		Deleted: e.GetDeleted(),
	}, nil
}
