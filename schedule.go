package basilmoor

import "context"

// RequestID identifies a request in the whole fleet. The entry host makes it
// from its name, its incarnation and a counter.
type RequestID string

// Demand describes a waiting request to the broker of its pool. It carries no
// body.
type Demand struct {
	Request    RequestID
	Host       string // entry host that holds the request
	DataCentre string // data centre of the entry host
	Workspace  string
	Weight     int // weight of the workspace, at least 1

	// WorkspaceRank orders the workspaces inside a tier, 0 first.
	WorkspaceRank int

	Tier  int // rank of the tier, 0 first
	Kind  string
	Pool  string
	Model string

	// PrefixDigests are digests of the growing prefixes of the prompt, the
	// shortest first, one for each block of PrefixBlockTokens tokens.
	PrefixDigests []uint64

	PromptTokens int // estimated
	OutputTokens int // estimated

	// Age is the time the request has waited before this submission.
	Age Millis

	// Deadline is the time from submission after which the request must not
	// be dispatched any more.
	Deadline Millis

	// Objective is the time from submission within which the first byte of
	// the response has its full benefit; negative if it has passed, 0 if
	// there is none.
	Objective Millis

	// Patience is the time from submission after which the caller leaves if
	// nothing of the response has come; 0 if it waits until Deadline.
	Patience Millis

	// Charge is the number of tokens that a grant takes from the workspace's
	// allowance; 0 for a request that was granted before.
	Charge int

	// BodyBytes is the size of the held body, counted against the bound of
	// the queue.
	BodyBytes int

	// Excluded names targets that must not be granted, because an attempt to
	// connect to them has just failed.
	Excluded []string
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

// WithWait returns a copy of d as it is after a further wait: its age grows and
// the time until each of its bounds shrinks.
func (d Demand) WithWait(wait Millis) Demand {
	d.Age += wait
	d.Deadline -= wait
	d.Objective = shorten(d.Objective, wait)
	d.Patience = shorten(d.Patience, wait)
	return d
}

// shorten takes a wait off a bound of which 0 stands for none: one that ends
// just now becomes negative, as one that has passed.
func shorten(bound, wait Millis) Millis {
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

	// TTL bounds the time between receipt of the grant and dispatch.
	TTL Millis
}

// Refusal tells that a request was not and will not be dispatched.
type Refusal struct {
	Request RequestID
	Reason  Reason

	// RetryAfter is a hint for the caller, 0 for none.
	RetryAfter Millis

	// Workspace and Charge are those of the demand, whose charge is given
	// back.
	Workspace string
	Charge    int
}

// Decision is the answer to a demand: exactly one of Grant and Refusal is set.
type Decision struct {
	Grant   *Grant
	Refusal *Refusal
}

// Stage is a step in the life of a granted request.
type Stage string

// Stages of a granted request.
const (
	// StageReturned gives a grant back: nothing was sent to the target.
	StageReturned Stage = "returned"
	// StageUnreachable gives a grant back because the target did not accept a
	// connection: nothing was sent.
	StageUnreachable Stage = "unreachable"
	// StageDispatched reports that the request was handed to a connection.
	StageDispatched Stage = "dispatched"
	// StageFirstToken reports the first byte of the response.
	StageFirstToken Stage = "first-token"
	// StageProgress reports further tokens.
	StageProgress Stage = "progress"
	// StageFinished reports the complete response.
	StageFinished Stage = "finished"
	// StageFailed reports that the target broke off after dispatch.
	StageFailed Stage = "failed"
)

// Terminal reports whether s is the last stage of a granted request.
func (s Stage) Terminal() bool {
	switch s {
	case StageReturned, StageUnreachable, StageFinished, StageFailed:
		return true
	}
	return false
}

// Observation is what an entry host saw of a granted request.
type Observation struct {
	Request RequestID
	Target  string
	Stage   Stage

	// Tokens is the number of tokens received so far.
	Tokens int

	// Elapsed is the time since dispatch.
	Elapsed Millis

	// CachedTokens is the part of the prompt that the engine reports as
	// found in its prefix cache; 0 if it does not tell.
	CachedTokens int

	// Demand is set on a resubmission to a new broker, which does not know
	// the request yet.
	Demand *Demand
}

// LoadReport is a target's own, late report of its load.
type LoadReport struct {
	Target  string
	Running int
	Waiting int

	// CacheTokensUsed is the occupied part of an engine's KV cache.
	CacheTokensUsed int

	// Age is the time since the target took the measurement.
	Age Millis
}

// Policy orders the waiting demands of one pool and assigns them to targets.
//
// A policy is a state machine without goroutines: no call blocks, the caller
// supplies the time, and each call returns the decisions that became due. Calls
// must not be concurrent.
type Policy interface {
	// SetTargets replaces the targets of the pool. Requests in progress on a
	// target that is no longer listed stay counted until they end.
	SetTargets(now Millis, targets []Target) []Decision

	// Submit adds a demand. A second submission of the same request replaces
	// the first if it still waits and is ignored if it is granted.
	Submit(now Millis, d Demand) []Decision

	// Cancel removes a waiting demand or returns an unused grant.
	Cancel(now Millis, id RequestID) []Decision

	// Observe records the progress of a granted request.
	Observe(now Millis, o Observation) []Decision

	// Report records a target's load report.
	Report(now Millis, r LoadReport) []Decision

	// Tick does the work that depends only on time.
	Tick(now Millis) []Decision
}

// Scheduler obtains permission to dispatch a request.
type Scheduler interface {
	// Acquire waits until the request may be dispatched. The error is a
	// *RefusalError if the request was refused, else the error of ctx. In
	// both cases the request holds no capacity.
	Acquire(ctx context.Context, d Demand) (Permit, error)
}

// Permit is the right to dispatch one request to one target. Its holder calls
// Observe for each stage, the last one being StageReturned, StageFinished or
// StageFailed; that call releases the capacity.
type Permit interface {
	// Target is where the request may be dispatched.
	Target() Target

	// Valid reports whether the grant may still be used for a dispatch.
	Valid() bool

	// Observe reports a stage of the request. Request and Target of o are
	// filled in.
	Observe(o Observation)
}
