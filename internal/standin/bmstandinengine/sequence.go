package bmstandinengine

import (
	"strconv"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// phase is the state of a sequence in its life cycle. The phases from finished
// on are final.
type phase int

const (
	waiting phase = iota
	running
	finished
	cancelled
	lost // by a crash or a role change
)

func (p phase) String() string {
	return [...]string{"waiting", "running", "finished", "cancelled", "lost"}[p]
}

func (p phase) ended() bool { return p >= finished }

// sequence is a request in the engine. Its mutable fields are guarded by the
// engine's mu.
type sequence struct {
	id             string
	model          string
	execution      bmstandin.Execution
	hasCrashMarker bool // the request body contains the crash marker
	promptTokens   int
	blocks         []uint64
	outputTokens   int // number of tokens to generate

	phase           phase
	executionNumber int // in the execution log, 0 before the sequence starts
	cachedTokens    int // prompt tokens taken from the prefix cache
	prefilledTokens int // prompt tokens computed or taken from the prefix cache
	generatedTokens int
	endedAt         basilmoor.Millis
	changed         chan struct{} // closed and replaced on each change
}

// kvTokens returns the number of KV cache tokens that the sequence reserves.
func (q *sequence) kvTokens() int { return q.promptTokens + q.outputTokens }

// notify wakes the handlers that wait for a change of the sequence. The caller
// must hold the engine's mu.
func (q *sequence) notify() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// token returns the text of the n-th output token, counting from 0. The text
// depends on the request body, so that a test can tell which request a response
// belongs to.
func (q *sequence) token(n int) string {
	return Token(q.execution.BodyDigest, n)
}

// Token returns the text of the n-th output token, counting from 0, of a request
// with the given hexadecimal body digest. The text ends with a space.
func Token(bodyDigest string, n int) string {
	const digits = 8 // enough to distinguish a few thousand requests
	return bodyDigest[:digits] + "." + strconv.Itoa(n) + " "
}
