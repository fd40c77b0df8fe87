package bmclaim

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

const segmentSchema = 1

// segment is one stored record of a slot's log, written as a single batch.
type segment struct {
	Schema   int     `json:"schema"`
	Batch    string  `json:"batch"`    // unique ID of the batch
	Previous string  `json:"previous"` // batch of the preceding segment; empty for the first
	Entries  []entry `json:"entries"`
}

// entry is a new claim or the final state of one. Exactly one field is set.
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
	// Age and Origin are set in a claim that is written again because the store had
	// lost it: how long it had existed at least, and the segment that held it first.
	Age    basilmoor.Millis `json:"age-ms,omitempty"`
	Origin int64            `json:"origin,omitempty"`
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

// digest is a SHA-256 digest, encoded as lower-case hexadecimal.
type digest [32]byte

// MarshalText encodes d as lower-case hexadecimal.
func (d digest) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%x", d[:]), nil
}

// UnmarshalText decodes d from hexadecimal.
func (d *digest) UnmarshalText(p []byte) error {
	if len(p) != 2*len(d) {
		return errors.Errorf("digest has %d characters, want 64", len(p))
	}
	for i := range d {
		b, err := strconv.ParseUint(string(p[2*i:2*i+2]), 16, 8)
		if err != nil {
			return errors.Wrap(err, "decode digest")
		}
		d[i] = byte(b)
	}
	return nil
}

func (s segment) encode() ([]byte, error) {
	return json.Marshal(s)
}

// decodeSegment decodes and validates a segment. It rejects other schema
// versions, because they may contain claims that this version can't read.
func decodeSegment(p []byte) (segment, error) {
	var s segment
	if err := json.Unmarshal(p, &s); err != nil {
		return segment{}, errors.Wrap(err, "decode claim segment")
	}
	if s.Schema != segmentSchema {
		return segment{}, errors.Errorf("claim segment has schema %d, want %d", s.Schema, segmentSchema)
	}
	if s.Batch == "" {
		return segment{}, errors.New("claim segment has no batch")
	}
	for _, e := range s.Entries {
		if (e.Claim == nil) == (e.Record == nil) {
			return segment{}, errors.New("claim segment entry must have exactly one of claim and record")
		}
		if e.Claim != nil && (e.Claim.Age < 0 || e.Claim.Age > claimExpiry) {
			return segment{}, errors.Errorf("claim segment has a claim of age %d ms", e.Claim.Age)
		}
		if e.Record != nil && !isFinalState(e.Record.State) {
			return segment{}, errors.Errorf("claim segment records non-final state %q", e.Record.State)
		}
	}
	return s, nil
}

func isFinalState(s basilmoor.ClaimState) bool {
	switch s {
	case basilmoor.ClaimDone, basilmoor.ClaimUnknown, basilmoor.ClaimReleased:
		return true
	}
	return false
}

func slotPrefix(slot int) string {
	return fmt.Sprintf("claims/%02d/", slot)
}

// segmentKey returns the store key of a segment. The sequence number is
// zero-padded, so that keys sort in log order.
func segmentKey(slot int, sequence int64) string {
	return fmt.Sprintf("%s%016d", slotPrefix(slot), sequence)
}

func parseSequence(slot int, key string) (int64, error) {
	n, err := strconv.ParseInt(strings.TrimPrefix(key, slotPrefix(slot)), 10, 64)
	if err != nil || n < 1 {
		return 0, errors.Errorf("malformed claim segment key %q", key)
	}
	return n, nil
}
