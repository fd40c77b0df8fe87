package bmentry

import "sync"

// expectWeight is the weight of one response in the expected length of a
// route's responses. Lengths spread widely, so that a single one says little.
const expectWeight = 0.05

// maxExpectations bounds the routes whose lengths are remembered.
const maxExpectations = 4096

// expectations learn how long the responses of routes are, for requests whose
// callers give no estimate. The bound that callers declare is about ten times
// what most responses reach. It is safe for concurrent use.
type expectations struct {
	mu     sync.Mutex
	tokens map[string]float64 // mean output tokens by route
}

func newExpectations() *expectations {
	return &expectations{
		tokens: map[string]float64{},
	}
}

// learn takes the length of a complete response.
func (e *expectations) learn(route string, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	mean, known := e.tokens[route]
	if known {
		e.tokens[route] = mean + expectWeight*(float64(tokens)-mean)
		return
	}
	if len(e.tokens) < maxExpectations {
		e.tokens[route] = float64(tokens)
	}
}

// expect returns the expected output tokens of an attempt, at most its bound.
func (e *expectations) expect(route string, a Attempt) int {
	if a.ExpectedTokens > 0 {
		return min(a.ExpectedTokens, max(a.OutputTokens, 1))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if mean, known := e.tokens[route]; known {
		return min(int(mean), a.OutputTokens)
	}
	return a.OutputTokens
}

// outputTokens is the number of tokens of a stream's events.
func (c *call) outputTokens(events int) int {
	if c.pool.Engine != nil {
		return events * c.pool.Engine.EventTokens
	}
	return events
}
