package basilmoor

import "strconv"

// Tier is a priority class of requests.
type Tier struct {
	Name string `json:"name" yaml:"name"`

	// Rank orders tiers: 0 is served first.
	Rank int `json:"rank" yaml:"rank"`
}

// Workspace is a customer of the platform, with its tokens, weight and limits.
type Workspace struct {
	Name string `json:"name" yaml:"name"`

	// TokenDigests are the lower-case hexadecimal SHA-256 digests of the
	// bearer tokens that belong to the workspace.
	TokenDigests []string `json:"token-digests" yaml:"token-digests"`

	// Weight is the workspace's share of capacity inside a tier, at least 1.
	Weight int `json:"weight" yaml:"weight"`

	// MaxConcurrent limits the requests in progress across all hosts; 0 means
	// unlimited.
	MaxConcurrent int `json:"max-concurrent,omitempty" yaml:"max-concurrent,omitempty"`

	// RatePerSecond limits the accepted requests across all hosts; 0 means
	// unlimited.
	RatePerSecond int `json:"rate-per-second,omitempty" yaml:"rate-per-second,omitempty"`

	// DefaultTier names the tier of requests whose kind sets no tier.
	DefaultTier string `json:"default-tier" yaml:"default-tier"`
}

// Kind is a class of requests with the same routing and scheduling settings.
type Kind struct {
	Name string `json:"name" yaml:"name"`

	// Pool names the pool whose targets serve this kind.
	Pool string `json:"pool" yaml:"pool"`

	// Model is the value of the request's "model" field that selects this
	// kind; empty for kinds served by plain services.
	Model string `json:"model,omitempty" yaml:"model,omitempty"`

	// PathPrefix selects this kind by request path; empty for kinds served by
	// model engines.
	PathPrefix string `json:"path-prefix,omitempty" yaml:"path-prefix,omitempty"`

	// Tier overrides the workspace's default tier unless it is empty.
	Tier string `json:"tier,omitempty" yaml:"tier,omitempty"`

	// NonIdempotent marks requests that may run at most once.
	NonIdempotent bool `json:"non-idempotent,omitempty" yaml:"non-idempotent,omitempty"`

	// KeyRequired rejects requests without an Idempotency-Key header.
	KeyRequired bool `json:"key-required,omitempty" yaml:"key-required,omitempty"`

	// DeadlineMillis limits the wait for dispatch; 0 selects the default.
	DeadlineMillis Millis `json:"deadline-ms,omitempty" yaml:"deadline-ms,omitempty"`

	// ExpectedPromptTokens and ExpectedOutputTokens are the sizes assumed
	// when the request does not specify them.
	ExpectedPromptTokens int `json:"expected-prompt-tokens,omitempty" yaml:"expected-prompt-tokens,omitempty"`
	ExpectedOutputTokens int `json:"expected-output-tokens,omitempty" yaml:"expected-output-tokens,omitempty"`
}

// Pool is a group of targets in one region, scheduled by one broker.
type Pool struct {
	Name   string `json:"name" yaml:"name"`
	Region string `json:"region" yaml:"region"`
}

// TargetType distinguishes model engines from plain HTTP services.
type TargetType string

// Target types.
const (
	EngineTarget  TargetType = "engine"
	ServiceTarget TargetType = "service"
)

// Target is a back end that runs requests.
type Target struct {
	Name string     `json:"name" yaml:"name"`
	Pool string     `json:"pool" yaml:"pool"`
	Type TargetType `json:"type" yaml:"type"`

	// Address is the IP address and port of the target's HTTP listener.
	Address string `json:"address" yaml:"address"`

	// DataCentre is the data centre the target runs in.
	DataCentre string `json:"data-centre" yaml:"data-centre"`

	// Generation is the hardware generation of the target.
	Generation string `json:"generation,omitempty" yaml:"generation,omitempty"`

	// Models lists the models an engine serves; empty for services.
	Models   []string `json:"models,omitempty" yaml:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	Version  string   `json:"version,omitempty" yaml:"version,omitempty"`
	Role     string   `json:"role,omitempty" yaml:"role,omitempty"`

	// Born is the start of the target's process in Unix milliseconds, 0 if unknown.
	Born int64 `json:"-" yaml:"-"`

	// Slots is the maximum number of requests in progress on the target, at
	// least 1.
	Slots int `json:"slots" yaml:"slots"`

	// CacheTokens is the size of an engine's KV cache in tokens; 0 if unknown.
	CacheTokens int `json:"cache-tokens,omitempty" yaml:"cache-tokens,omitempty"`

	// ContextTokens limits the prompt and output tokens of one request
	// together; 0 means unlimited.
	ContextTokens int `json:"context-tokens,omitempty" yaml:"context-tokens,omitempty"`

	// ChecksFencing is set if the target rejects commands that carry a stale
	// fencing token.
	ChecksFencing bool `json:"checks-fencing,omitempty" yaml:"checks-fencing,omitempty"`

	// Leaving is set on a draining target, which takes no new requests.
	Leaving bool `json:"leaving,omitempty" yaml:"leaving,omitempty"`
}

// Incarnation identifies the process of the target: a target that starts again under
// its name is another incarnation. It is the name if the start is not known.
func (t Target) Incarnation() string {
	if t.Born == 0 {
		return t.Name
	}
	return t.Name + "@" + strconv.FormatInt(t.Born, 10)
}

// WithLeaving returns a copy of t with Leaving set to leaving.
func (t Target) WithLeaving(leaving bool) Target {
	t.Leaving = leaving
	return t
}

// Serves reports whether the target accepts a request for the given model with
// the given total of prompt and output tokens. An empty model matches every
// target.
func (t Target) Serves(model string, tokens int) bool {
	if t.Leaving {
		return false
	}
	if t.ContextTokens > 0 && tokens > t.ContextTokens {
		return false
	}
	if model == "" {
		return true
	}
	for _, m := range t.Models {
		if m == model {
			return true
		}
	}
	return false
}
