package bmrollout

import (
	"encoding/json"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// Stage is the stage of a rollout.
type Stage string

// Stages.
const (
	StageCanary     Stage = "canary"
	StageShifting   Stage = "shifting"
	StageDraining   Stage = "draining"
	StageCompleted  Stage = "completed"
	StageRolledBack Stage = "rolled-back"
)

// Decided reports whether the stage is the last one.
func (s Stage) Decided() bool {
	return s == StageCompleted || s == StageRolledBack
}

func (s Stage) valid() bool {
	switch s {
	case StageCanary, StageShifting, StageDraining, StageCompleted, StageRolledBack:
		return true
	}
	return false
}

// State returns the state that the operator sees.
func (s Stage) State() State {
	switch s {
	case StageCompleted:
		return StateCompleted
	case StageRolledBack:
		return StateRolledBack
	}
	return StateServing
}

// Record is the stored state of a rollout.
type Record struct {
	Version    string           `json:"version"`
	Order      int64            `json:"order"`      // revision of the order
	Generation int64            `json:"generation"` // of the owner, from 1
	Owner      string           `json:"owner"`      // host
	Stage      Stage            `json:"stage"`
	Reason     Reason           `json:"reason,omitempty"` // of the rollback
	Reserved   int              `json:"reserved"`         // requests that may have gone to the new version
	Total      int              `json:"total"`            // requests of the pool since the order, at least
	Answers    int              `json:"answers"`          // of the new version
	Score      float64          `json:"score"`            // evidence against the new version
	Elapsed    basilmoor.Millis `json:"elapsed-ms"`       // since the order
}

// Of reports whether the record belongs to an order.
func (r Record) Of(o Order) bool {
	return r.Order == o.At.Revision && r.Version == o.Version
}

// Encode returns the stored form of the record.
func (r Record) Encode() ([]byte, error) {
	raw, err := json.Marshal(r)
	return raw, errors.Wrap(err, "encode record of a rollout")
}

// DecodeRecord is the inverse of Encode.
func DecodeRecord(raw []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return Record{}, errors.Wrap(err, "decode record of a rollout")
	}
	if !r.Stage.valid() || r.Generation < 1 || r.Reserved < 0 || r.Total < 0 || r.Answers < 0 || r.Elapsed < 0 {
		return Record{}, errors.Errorf("record of a rollout: stage %q, generation %d, %d of %d requests after %d ms", r.Stage, r.Generation, r.Reserved, r.Total, r.Elapsed)
	}
	return r, nil
}
