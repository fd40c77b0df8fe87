package bmclaim

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

const schema = 1

// segment is one entry of a slot's log.
type segment struct {
	Schema   int     `json:"schema"`
	Batch    string  `json:"batch"`    // unique
	Previous string  `json:"previous"` // batch of the segment before; empty for the first
	Entries  []entry `json:"entries"`
}

// entry is a claim or the end of one. Exactly one field is set.
type entry struct {
	Claim  *claimEntry  `json:"claim,omitempty"`
	Record *recordEntry `json:"record,omitempty"`
}

type claimEntry struct {
	Workspace  string              `json:"workspace"`
	Key        string              `json:"key"`
	BodyDigest digest              `json:"body-digest"`
	Host       string              `json:"host"`
	Request    basilmoor.RequestID `json:"request"`
}

type recordEntry struct {
	Workspace string               `json:"workspace"`
	Key       string               `json:"key"`
	Request   basilmoor.RequestID  `json:"request"`
	State     basilmoor.ClaimState `json:"state"`
	Answer    *answerEntry         `json:"answer,omitempty"`
}

type answerEntry struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// digest is a SHA-256 in lower-case hexadecimal.
type digest [32]byte

// MarshalText encodes d.
func (d digest) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%x", d[:]), nil
}

// UnmarshalText decodes d.
func (d *digest) UnmarshalText(p []byte) error {
	if len(p) != 2*len(d) {
		return errors.Errorf("digest has %d characters", len(p))
	}
	for i := range d {
		b, err := strconv.ParseUint(string(p[2*i:2*i+2]), 16, 8)
		if err != nil {
			return errors.Wrap(err, "digest")
		}
		d[i] = byte(b)
	}
	return nil
}

func (s segment) encode() ([]byte, error) {
	return json.Marshal(s)
}

// decodeSegment reads a segment. A segment of another schema is an error: it
// may hold claims that this version can't see.
func decodeSegment(p []byte) (segment, error) {
	var s segment
	if err := json.Unmarshal(p, &s); err != nil {
		return segment{}, errors.Wrap(err, "claim segment")
	}
	if s.Schema != schema {
		return segment{}, errors.Errorf("claim segment has schema %d, want %d", s.Schema, schema)
	}
	if s.Batch == "" {
		return segment{}, errors.New("claim segment has no batch")
	}
	for _, e := range s.Entries {
		if (e.Claim == nil) == (e.Record == nil) {
			return segment{}, errors.New("claim segment has an entry that is not exactly one of claim and record")
		}
		if e.Record != nil && !final(e.Record.State) {
			return segment{}, errors.Errorf("claim segment records state %q", e.Record.State)
		}
	}
	return s, nil
}

func final(s basilmoor.ClaimState) bool {
	switch s {
	case basilmoor.ClaimDone, basilmoor.ClaimUnknown, basilmoor.ClaimReleased:
		return true
	}
	return false
}

func slotPrefix(slot int) string {
	return fmt.Sprintf("claims/%02d/", slot)
}

// segmentKey pads the sequence, so that key order is the order of the log.
func segmentKey(slot int, sequence int64) string {
	return fmt.Sprintf("%s%016d", slotPrefix(slot), sequence)
}

func sequenceOf(slot int, key string) (int64, error) {
	n, err := strconv.ParseInt(strings.TrimPrefix(key, slotPrefix(slot)), 10, 64)
	if err != nil || n < 1 {
		return 0, errors.Errorf("claim segment has key %q", key)
	}
	return n, nil
}
