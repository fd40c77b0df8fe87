package bmentry

import "sync"

// estimateWeight is the weight of the latest response in the moving average of
// a route. It is small because response lengths vary widely.
const estimateWeight = 0.05

// maxEstimatedRoutes bounds the memory of the estimator.
const maxEstimatedRoutes = 4096

// outputEstimator keeps an exponentially weighted average of the response
// lengths of each route, for requests whose callers give no estimate. The bound
// that callers declare is no substitute: it is about ten times the length of
// most responses. It is safe for concurrent use.
type outputEstimator struct {
	mu         sync.Mutex
	meanTokens map[string]float64 // average by route
}

func newOutputEstimator() *outputEstimator {
	return &outputEstimator{
		meanTokens: map[string]float64{},
	}
}

// observe adds the length of a complete response.
func (e *outputEstimator) observe(route string, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	mean, known := e.meanTokens[route]
	if known {
		e.meanTokens[route] = mean + estimateWeight*(float64(tokens)-mean)
		return
	}
	if len(e.meanTokens) < maxEstimatedRoutes {
		e.meanTokens[route] = float64(tokens)
	}
}

// estimate returns the expected number of output tokens of a request: the
// caller's estimate if given, else the average of the route, else the declared
// bound. It never exceeds the bound.
func (e *outputEstimator) estimate(route string, info RequestInfo) int {
	if info.ExpectedTokens > 0 {
		return min(info.ExpectedTokens, max(info.OutputTokens, 1))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if mean, known := e.meanTokens[route]; known {
		return min(int(mean), info.OutputTokens)
	}
	return info.OutputTokens
}

// tokensInEvents converts a number of stream events to output tokens.
func (c *call) tokensInEvents(events int) int {
	if c.pool.Engine != nil {
		return events * c.pool.Engine.EventTokens
	}
	return events
}
