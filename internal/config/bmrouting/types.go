package bmrouting

import (
	"basilmoor.example/basilmoor"
)

// Repetition tells how often a request may run.
type Repetition int

// Kinds of repetition.
const (
	// RunOnce allows one run for each attempt of a caller.
	RunOnce Repetition = iota
	// RunAgain allows a run after another one has failed.
	RunAgain
	// Resume allows a stream to continue on another target after the last
	// event that was delivered.
	Resume
)

// Route is a rule that selects the pool of a request by host name and path.
type Route struct {
	Name   string
	Host   string // host name, lower case
	Prefix string // begins and ends with a slash

	Streaming  bool // the response is a series of events
	Repetition Repetition

	// Timeout bounds the time from the arrival of a request to its end; 0 is
	// no bound.
	Timeout basilmoor.Millis
	// Objective is the time within which the response, or the first event of
	// a stream, has its full benefit; 0 if the route has none.
	Objective basilmoor.Millis
	// Patience is the time after which callers of a stream leave if they have
	// got no event; 0 if they wait until their time limit.
	Patience basilmoor.Millis

	// MaxAttempts bounds the targets that one request is sent to, at least 1.
	MaxAttempts int
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// Public routes need no key.
	Public bool
	// Pools are the choices by weight, at least one.
	Pools []WeightedPool
}

// WeightedPool is one choice of a route.
type WeightedPool struct {
	Pool   string
	Weight float64
}

// Allowance bounds what a workspace may ask of all hosts together.
type Allowance struct {
	// TokensPerSecond and Burst are the bound, in tokens; a rate of 0 is no
	// bound.
	TokensPerSecond float64
	Burst           float64
	// PerRequest means that the bound counts requests instead of tokens.
	PerRequest bool
	// DefaultTokens is charged for a request that declares no tokens.
	DefaultTokens int
}

// Bounded reports whether there is a bound.
func (a Allowance) Bounded() bool {
	return a.TokensPerSecond > 0
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name      string
	Keys      []string
	Rank      int // order among the requests of one route; 0 first
	Allowance Allowance
}

// Pool is a group of targets that serve the same requests.
type Pool struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections to one target from all hosts; 0
	// is no bound.
	MaxConnections int
	// Engine is set for pools of model engines.
	Engine *Engine
}

// Engine describes the engines of a pool.
type Engine struct {
	Slots       int // requests in one batch
	CacheTokens int // size of the KV cache in tokens
	EventTokens int // tokens in one event of a stream, at least 1
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout basilmoor.Millis
	IdleTimeout   basilmoor.Millis
}
