package bmentry

import "sync/atomic"

const (
	// freeBufferBytes is what each response may keep whatever the others keep: more
	// than a usual event or plain response has.
	freeBufferBytes = 16 << 10

	// defaultBufferBytes is the size of the shared part of the buffers if
	// Config.BufferBytes is 0.
	defaultBufferBytes = 32 << 20
)

// bufferBudget bounds the bytes of responses that all requests of a host keep together,
// beyond freeBufferBytes each. It is safe for concurrent use.
type bufferBudget struct {
	limit int64
	used  atomic.Int64
}

func newBufferBudget(limit int64) *bufferBudget {
	if limit <= 0 {
		limit = defaultBufferBytes
	}
	return &bufferBudget{
		limit: limit,
	}
}

// buffer is the part of a budget that one response uses. It must be released.
type buffer struct {
	budget   *bufferBudget
	reserved int64
}

func (b *bufferBudget) newBuffer() *buffer {
	return &buffer{
		budget: b,
	}
}

// resize sets the number of bytes that the response keeps. It returns false, and changes
// nothing, if the budget does not allow it.
func (b *buffer) resize(size int) bool {
	need := max(int64(size)-freeBufferBytes, 0)
	if need <= b.reserved {
		b.budget.used.Add(need - b.reserved)
		b.reserved = need
		return true
	}
	if b.budget.used.Add(need-b.reserved) > b.budget.limit {
		b.budget.used.Add(b.reserved - need)
		return false
	}
	b.reserved = need
	return true
}

func (b *buffer) release() {
	b.resize(0)
}
