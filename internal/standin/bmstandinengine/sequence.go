package bmstandinengine

import (
	"strconv"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// phase is the phase of a sequence.
type phase int

const (
	waiting phase = iota
	running
	finished
	cancelled
	lost // with the process, or by a change of role
)

func (p phase) String() string {
	return [...]string{"waiting", "running", "finished", "cancelled", "lost"}[p]
}

func (p phase) ended() bool { return p >= finished }

// sequence is one request in the engine. The engine's mu guards its fields
// that change.
type sequence struct {
	id        string
	model     string
	execution bmstandin.Execution
	crashes   bool // its body holds the crash marker
	prompt    int  // tokens
	blocks    []uint64
	output    int // tokens to generate

	phase     phase
	logged    int // number of its execution
	cached    int // prompt tokens found in the prefix cache
	prefilled int // prompt tokens computed or found
	generated int
	endedAt   basilmoor.Millis
	changed   chan struct{} // closed and replaced at each change
}

// need is the KV cache that the sequence reserves, in tokens.
func (q *sequence) need() int { return q.prompt + q.output }

// notify wakes the readers of the sequence. The caller holds the engine's mu.
func (q *sequence) notify() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// token returns the text of the n-th token, from 0. It depends on the body of
// the request, so that a checker can tell whose response it sees.
func (q *sequence) token(n int) string {
	return Token(q.execution.BodyDigest, n)
}

// Token returns the text of the n-th output token, from 0, of a request with
// the given hexadecimal body digest. The text ends with a space.
func Token(bodyDigest string, n int) string {
	const digits = 8 // tell a few thousand requests apart
	return bodyDigest[:digits] + "." + strconv.Itoa(n) + " "
}
