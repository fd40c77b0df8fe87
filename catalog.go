package basilmoor

// Tier is a priority class of requests.
type Tier struct {
	Name string `json:"name" yaml:"name"`

	// Rank orders tiers: 0 is served first.
	Rank int `json:"rank" yaml:"rank"`
}

// Workspace is a customer of the platform.
type Workspace struct {
	Name string `json:"name" yaml:"name"`

	// TokenDigests are the lower-case hexadecimal SHA-256 digests of the
	// bearer tokens that belong to the workspace.
	TokenDigests []string `json:"token-digests" yaml:"token-digests"`

	// Weight is the workspace's share of capacity inside a tier, at least 1.
	Weight int `json:"weight" yaml:"weight"`

	// MaxConcurrent bounds requests in progress over all hosts; 0 is no bound.
	MaxConcurrent int `json:"max-concurrent,omitempty" yaml:"max-concurrent,omitempty"`

	// RatePerSecond bounds accepted requests over all hosts; 0 is no bound.
	RatePerSecond int `json:"rate-per-second,omitempty" yaml:"rate-per-second,omitempty"`

	// DefaultTier names the tier of requests whose kind names none.
	DefaultTier string `json:"default-tier" yaml:"default-tier"`
}

// Kind is a class of requests that are routed and treated alike.
type Kind struct {
	Name string `json:"name" yaml:"name"`

	// Pool names the pool whose targets serve this kind.
	Pool string `json:"pool" yaml:"pool"`

	// Model is the value of the request's "model" field that selects a kind
	// for model engines; empty for plain services.
	Model string `json:"model,omitempty" yaml:"model,omitempty"`

	// PathPrefix selects a kind for plain services; empty for model engines.
	PathPrefix string `json:"path-prefix,omitempty" yaml:"path-prefix,omitempty"`

	// Tier overrides the workspace's default tier; empty keeps it.
	Tier string `json:"tier,omitempty" yaml:"tier,omitempty"`

	// NonIdempotent marks requests that may run at most once.
	NonIdempotent bool `json:"non-idempotent,omitempty" yaml:"non-idempotent,omitempty"`

	// KeyRequired refuses requests without an Idempotency-Key header.
	KeyRequired bool `json:"key-required,omitempty" yaml:"key-required,omitempty"`

	// DeadlineMillis bounds the wait for dispatch; 0 selects the default.
	DeadlineMillis Millis `json:"deadline-ms,omitempty" yaml:"deadline-ms,omitempty"`

	// ExpectedPromptTokens and ExpectedOutputTokens are the sizes that are
	// assumed when the request itself does not tell.
	ExpectedPromptTokens int `json:"expected-prompt-tokens,omitempty" yaml:"expected-prompt-tokens,omitempty"`
	ExpectedOutputTokens int `json:"expected-output-tokens,omitempty" yaml:"expected-output-tokens,omitempty"`
}

// Pool is a group of targets in one region that one broker schedules.
type Pool struct {
	Name   string `json:"name" yaml:"name"`
	Region string `json:"region" yaml:"region"`
}

// TargetType tells how a target is spoken to.
type TargetType string

// Types of targets.
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

	// DataCentre is the data centre of the target.
	DataCentre string `json:"data-centre" yaml:"data-centre"`

	// Generation is the hardware generation.
	Generation string `json:"generation,omitempty" yaml:"generation,omitempty"`

	// Models lists what an engine serves; empty for services.
	Models   []string `json:"models,omitempty" yaml:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	Version  string   `json:"version,omitempty" yaml:"version,omitempty"`
	Role     string   `json:"role,omitempty" yaml:"role,omitempty"`

	// Slots bounds the requests in progress on the target, at least 1.
	Slots int `json:"slots" yaml:"slots"`

	// CacheTokens is the size of an engine's KV cache; 0 if unknown.
	CacheTokens int `json:"cache-tokens,omitempty" yaml:"cache-tokens,omitempty"`

	// ContextTokens bounds prompt and output of one request; 0 is no bound.
	ContextTokens int `json:"context-tokens,omitempty" yaml:"context-tokens,omitempty"`

	// ChecksFencing tells whether the target rejects commands that carry an
	// old fencing number.
	ChecksFencing bool `json:"checks-fencing,omitempty" yaml:"checks-fencing,omitempty"`

	// Leaving marks a target that takes no new requests.
	Leaving bool `json:"leaving,omitempty" yaml:"leaving,omitempty"`
}

// WithLeaving returns a copy of t with the Leaving mark set to leaving.
func (t Target) WithLeaving(leaving bool) Target {
	t.Leaving = leaving
	return t
}

// Serves reports whether the target can run a request for the given model and
// total number of tokens. An empty model matches every service target.
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
