package bmrouting

import (
	"basilmoor.example/basilmoor"
)

// RetryPolicy specifies whether a request may be run again.
type RetryPolicy int

// Values of RetryPolicy.
const (
	// RetryNever allows one run for each attempt of a caller.
	RetryNever RetryPolicy = iota
	// RetryWhole allows a request to be run again after a run has failed.
	RetryWhole
	// RetryResume allows a stream to be resumed on another target after the last
	// delivered event.
	RetryResume
)

// Route selects the pool of requests by host name and path prefix, and specifies
// how they are served.
type Route struct {
	Name   string
	Host   string // host name in lower case
	Prefix string // starts and ends with a slash

	Streaming   bool // the response is a series of events
	RetryPolicy RetryPolicy

	// Timeout limits the time from the arrival of a request to its end; 0
	// means no limit.
	Timeout basilmoor.Millis
	// Objective is the latency objective of the response, or of the first
	// event of a stream; 0 if the route has none. A later response is worth
	// less.
	Objective basilmoor.Millis
	// MaxPause is the objective for the longest pause between two events of a
	// stream; 0 if the route has none. A stream with a longer one is worth less.
	MaxPause basilmoor.Millis
	// StreamIdleTimeout is the time without an event after which callers of a
	// stream disconnect; 0 if they wait until their time limit.
	StreamIdleTimeout basilmoor.Millis

	// MaxAttempts limits the number of targets that a request is sent to. It
	// is at least 1.
	MaxAttempts int
	// Rank is the priority of the route; 0 is the highest.
	Rank int
	// Public routes need no key.
	Public bool
	// Pools are the pools among which requests are distributed by weight;
	// there is at least one.
	Pools []WeightedPool
}

// WeightedPool is a pool and its share of a route's requests.
type WeightedPool struct {
	Pool   string
	Weight float64
}

// Quota limits what a workspace may spend across all hosts.
type Quota struct {
	// Rate is in tokens per second and Burst in tokens. A rate of 0 means no
	// limit.
	Rate  float64
	Burst float64
	// PerRequest makes the quota count requests instead of tokens.
	PerRequest bool
	// DefaultTokens is charged for a request that declares no tokens.
	DefaultTokens int
}

// Limited reports whether the quota limits the rate.
func (q Quota) Limited() bool {
	return q.Rate > 0
}

// Workspace is a customer with its API keys and its quota.
type Workspace struct {
	Name  string
	Keys  []string
	Rank  int // priority among the requests of a route; 0 is the highest
	Quota Quota
}

// Pool is a group of targets that serve the same requests.
type Pool struct {
	Name       string
	HealthPath string
	// MaxConnections limits the connections of all hosts to one target; 0
	// means no limit.
	MaxConnections int
	// Engine is set for pools of model engines.
	Engine *Engine
}

// Engine describes the model engines of a pool.
type Engine struct {
	Slots       int // maximum number of requests in a batch
	CacheTokens int // size of the KV cache in tokens
	EventTokens int // tokens per event of a stream, at least 1
}

// Limits holds the limits on callers' requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout basilmoor.Millis
	IdleTimeout   basilmoor.Millis
}
