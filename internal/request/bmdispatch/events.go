package bmdispatch

import (
	"bytes"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("server-sent event is too long")

// event is one complete server-sent event or comment block.
type event struct {
	raw  []byte // with the blank line that ends it
	data bool   // has at least one data field
	done bool   // its data is [DONE]
	text []byte // value of the last data field
}

// eventScanner cuts a byte stream into server-sent events. Lines end with a
// line feed, optionally preceded by a carriage return.
type eventScanner struct {
	pending []byte
	scanned int // bytes of pending that hold complete lines without a blank one
}

// push adds bytes of the stream and returns the events that became complete.
// The result is valid until the next call.
func (s *eventScanner) push(p []byte) ([]event, error) {
	s.pending = append(s.pending, p...)
	var events []event
	start := 0
	pos := s.scanned
	for {
		i := bytes.IndexByte(s.pending[pos:], '\n')
		if i < 0 {
			break
		}
		blank := isBlank(s.pending[pos : pos+i])
		pos += i + 1
		if blank {
			events = append(events, parseEvent(s.pending[start:pos]))
			start = pos
		}
	}
	rest := s.pending[start:]
	if len(rest) > maxEventBytes {
		return events, errEventTooLong
	}
	// The rest is copied, because the events alias the old buffer.
	s.pending = append([]byte(nil), rest...)
	s.scanned = pos - start
	return events, nil
}

func isBlank(line []byte) bool {
	return len(bytes.TrimSuffix(line, []byte("\r"))) == 0
}

func parseEvent(raw []byte) event {
	e := event{
		raw: raw,
	}
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		if string(name) != "data" {
			continue
		}
		e.data = true
		e.text = bytes.TrimPrefix(value, []byte(" "))
		e.done = string(e.text) == "[DONE]"
	}
	return e
}
