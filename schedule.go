package basilmoor

import "context"

// RequestID identifies a request across the fleet. The entry host builds it from
// its name, its incarnation and a counter.
type RequestID string

// Demand describes a waiting request to the broker of its pool, without the
// request body.
type Demand struct {
	Request    RequestID
	Host       string // entry host, which holds the request
	DataCentre string // data centre of the entry host
	Workspace  string
	Weight     int // weight of the workspace, at least 1

	// WorkspaceRank orders the workspaces within a tier, 0 first.
	WorkspaceRank int

	Tier  int // rank of the tier, 0 first
	Kind  string
	Pool  string
	Model string

	// PrefixDigests are digests of the prompt's prefixes, shortest first; each
	// prefix is one block of PrefixBlockTokens tokens longer than the last.
	PrefixDigests []uint64

	PromptTokens int // estimated
	OutputTokens int // estimated

	// Age is the time the request had waited before this submission.
	Age Millis

	// Deadline is the time from submission after which the request must no
	// longer be dispatched.
	Deadline Millis

	// OnlyInTime keeps the request from a target on which it is expected to
	// miss its deadline, even if the target is free. It is set if Deadline is the
	// end of the host's planned stop, not that of the request: a demand that can't
	// be served by then is refused with ReasonStopping.
	OnlyInTime bool

	// Objective is the latency objective for the first byte of the response,
	// as a time from submission; negative if it has passed, 0 if there is
	// none.
	Objective Millis

	// FirstByteTimeout is the time from submission after which the caller
	// disconnects if it has received nothing of the response; 0 if it waits
	// until Deadline.
	FirstByteTimeout Millis

	// MaxPause is the objective for the longest pause between two events of a
	// streamed response; 0 if there is none.
	MaxPause Millis

	// Charge is the number of tokens that a grant deducts from the workspace's
	// quota; 0 for a request that has been granted before.
	Charge int

	// BodyBytes is the size of the buffered request body, counted against the
	// queue's limit.
	BodyBytes int

	// Excluded names targets that must not be granted, because a recent
	// attempt to connect to them failed.
	Excluded []string

	// CrashKeys identify what may be the cause if targets die while they run the
	// request, the narrowest first: the digest of the request, then the parts
	// of its prompt that other requests share.
	CrashKeys []uint64
}

// PrefixBlockTokens is the number of tokens that one prefix digest covers.
const PrefixBlockTokens = 64

// Tokens returns the estimated total of prompt and output tokens.
func (d Demand) Tokens() int {
	return d.PromptTokens + d.OutputTokens
}

// WithAge returns a copy of d with the given age and remaining deadline.
func (d Demand) WithAge(age, deadline Millis) Demand {
	d.Age = age
	d.Deadline = deadline
	return d
}

// WithWait returns a copy of d after a further wait: the wait is added to its
// age and subtracted from its deadline, objective and first byte timeout.
func (d Demand) WithWait(wait Millis) Demand {
	d.Age += wait
	d.Deadline -= wait
	d.Objective = shortenBound(d.Objective, wait)
	d.FirstByteTimeout = shortenBound(d.FirstByteTimeout, wait)
	return d
}

// shortenBound subtracts wait from bound, where 0 means unbounded. A bound that
// ends exactly now becomes -1, so that it counts as passed, not as unbounded.
func shortenBound(bound, wait Millis) Millis {
	switch bound {
	case 0:
		return 0
	case wait:
		return -1
	}
	return bound - wait
}

// Grant allows the holder of a request to dispatch it to one target.
type Grant struct {
	Request RequestID
	Target  Target

	// TTL is the maximum time between receipt of the grant and dispatch.
	TTL Millis
}

// Refusal reports that a request was not and will not be dispatched.
type Refusal struct {
	Request RequestID
	Reason  Reason
	Source  RefusalSource

	// RetryAfter is a hint to the caller when to retry, 0 for none.
	RetryAfter Millis

	// Workspace and Charge are copied from the demand; the charge is
	// refunded to the workspace.
	Workspace string
	Charge    int
}

// Decision is the answer to a demand: exactly one of Grant and Refusal is set.
type Decision struct {
	Grant   *Grant
	Refusal *Refusal
}

// Stage is a step in the lifecycle of a granted request.
type Stage string

// Stages.
const (
	// StageReturned returns an unused grant: nothing was sent to the target.
	StageReturned Stage = "returned"
	// StageUnreachable returns an unused grant because the target did not
	// accept a connection: nothing was sent.
	StageUnreachable Stage = "unreachable"
	// StageDispatched reports that the request was passed to a connection.
	StageDispatched Stage = "dispatched"
	// StageFirstToken reports the first byte of the response.
	StageFirstToken Stage = "first-token"
	// StageProgress reports further tokens of the response.
	StageProgress Stage = "progress"
	// StageFinished reports that the response is complete.
	StageFinished Stage = "finished"
	// StageFailed reports that the target failed after dispatch.
	StageFailed Stage = "failed"
)

// Terminal reports whether s ends a granted request.
func (s Stage) Terminal() bool {
	switch s {
	case StageReturned, StageUnreachable, StageFinished, StageFailed:
		return true
	}
	return false
}

// Observation reports the progress of a granted request, as seen by its entry
// host.
type Observation struct {
	Request RequestID
	Target  string
	Stage   Stage

	// Tokens is the number of tokens received so far.
	Tokens int

	// Elapsed is the time since dispatch.
	Elapsed Millis

	// Answered is set on StageFinished if the response reports success and the
	// target is known to have survived it: its end was marked, or the target
	// accepted a connection after it.
	Answered bool

	// BadAnswer is set on the last stage if the target did not serve the request after
	// it was sent: it answered with a server error, broke off or was silent. A target
	// that declines to run a request gives no bad answer.
	BadAnswer bool

	// TargetDied is set on StageFailed if the target refuses connections after
	// it broke off. If that becomes known after the request has ended,
	// StageFailed is observed once more.
	TargetDied bool

	// BrokenOff is set on StageFailed if the target closed the connection and is not known
	// to have died. A later start of the target shows that it had.
	BrokenOff bool

	// LongestPause is the longest time between two events of a streamed response
	// from this target, on StageFinished; 0 if it had fewer than two.
	LongestPause Millis

	// CachedTokens is the number of prompt tokens that the engine reports as
	// found in its prefix cache; 0 if it does not report them.
	CachedTokens int

	// Demand is set on a resubmission to a new broker, which does not know the
	// request.
	Demand *Demand
}

// LoadReport is a target's own report of its load. It arrives with a delay.
type LoadReport struct {
	Target  string
	Running int
	Waiting int

	// CacheTokensUsed is the number of tokens in an engine's KV cache.
	CacheTokensUsed int

	// Age is the time since the target measured its load.
	Age Millis
}

// Policy is the scheduling policy of one pool: it orders the waiting demands and
// assigns them to targets.
//
// A policy is a state machine without goroutines: no call blocks, the caller
// passes the current time, and each call returns the decisions it caused. It is
// not safe for concurrent use.
type Policy interface {
	// SetTargets replaces the targets of the pool. Requests in progress on a
	// removed target are counted until they end.
	SetTargets(now Millis, targets []Target) []Decision

	// Submit adds a demand. If the same request has been submitted before, the
	// new demand replaces a waiting one and is ignored after a grant.
	Submit(now Millis, d Demand) []Decision

	// Cancel removes a waiting demand or takes back an unused grant.
	Cancel(now Millis, id RequestID) []Decision

	// Observe records the progress of a granted request.
	Observe(now Millis, o Observation) []Decision

	// Report updates a target's reported load.
	Report(now Millis, r LoadReport) []Decision

	// Tick processes timeouts and periodic work. It is called at regular
	// intervals.
	Tick(now Millis) []Decision
}

// Scheduler obtains permits to dispatch requests.
type Scheduler interface {
	// Acquire waits until the request may be dispatched. The error is a
	// *RefusalError if the request was refused, otherwise ctx.Err(). In both
	// cases the request occupies no capacity.
	Acquire(ctx context.Context, d Demand) (Permit, error)
}

// Permit allows its holder to dispatch one request to one target. The holder
// calls Observe for each stage; the last one is StageReturned,
// StageUnreachable, StageFinished or StageFailed and releases the capacity.
type Permit interface {
	// Target returns the target that the request may be dispatched to.
	Target() Target

	// Valid reports whether the grant may still be used for a dispatch.
	Valid() bool

	// Observe reports a stage of the request. It sets Request and Target of o.
	Observe(o Observation)
}
