package bmdispatch

import (
	"bytes"

	"github.com/pkg/errors"
)

// maxEventBytes limits the buffered bytes of an incomplete server-sent event.
const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("server-sent event is too long")

// event is a complete server-sent event or comment block.
type event struct {
	raw     []byte // all lines, including the blank line at the end
	hasData bool   // has at least one data field
	isDone  bool   // the last data field is [DONE]
	payload []byte // value of the last data field
}

// eventScanner splits a byte stream into server-sent events. Lines end with a
// line feed, optionally preceded by a carriage return.
type eventScanner struct {
	pending []byte
	scanPos int // length of the prefix of pending that consists of complete, non-blank lines
}

// push appends p to the stream and returns the events that are now complete.
// They are valid until the next call.
func (s *eventScanner) push(p []byte) ([]event, error) {
	s.pending = append(s.pending, p...)
	var events []event
	start := 0
	pos := s.scanPos
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
	// Copy the rest, because the returned events alias the old buffer.
	s.pending = append([]byte(nil), rest...)
	s.scanPos = pos - start
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
		e.hasData = true
		e.payload = bytes.TrimPrefix(value, []byte(" "))
		e.isDone = string(e.payload) == "[DONE]"
	}
	return e
}
