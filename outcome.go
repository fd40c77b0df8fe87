package basilmoor

// Outcome is the result of a request as reported to its caller.
type Outcome string

// Request outcomes.
const (
	// OutcomeDone means that the target's complete response was delivered.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no target has run or will run the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request was sent to a target and no
	// response was received, so that it may or may not have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeIncomplete means that the response ended before it was complete.
	OutcomeIncomplete Outcome = "incomplete"
)

// Reason identifies why a request was refused, failed or was retried. Each
// reason has a counter.
type Reason string

// Reasons for refusals.
const (
	ReasonUnauthorized      Reason = "unauthorized"
	ReasonUnknownKind       Reason = "unknown-kind"
	ReasonMalformed         Reason = "malformed"
	ReasonTooLarge          Reason = "too-large"
	ReasonMethodNotAllowed  Reason = "method-not-allowed"
	ReasonQueueFull         Reason = "queue-full"
	ReasonDisplaced         Reason = "displaced"
	ReasonDeadline          Reason = "deadline"
	ReasonNoTarget          Reason = "no-target"
	ReasonRateLimit         Reason = "rate-limit"
	ReasonConcurrencyLimit  Reason = "concurrency-limit"
	ReasonKeyRequired       Reason = "key-required"
	ReasonKeyMismatch       Reason = "key-mismatch"
	ReasonKeyInProgress     Reason = "key-in-progress"
	ReasonStoreUnavailable  Reason = "store-unavailable"
	ReasonCrashSuspect      Reason = "crash-suspect"
	ReasonStopping          Reason = "stopping"
	ReasonIsolated          Reason = "isolated"
	ReasonNoConfiguration   Reason = "no-configuration"
	ReasonTargetRefused     Reason = "target-refused"
	ReasonTargetUnreachable Reason = "target-unreachable"
	ReasonCallerLeft        Reason = "caller-left"
	ReasonTooManyConns      Reason = "too-many-connections"
	ReasonNoMemory          Reason = "no-memory"
)

// RefusalSource is the part of the scheduler's state on which a refusal rests, for
// reasons that have several. Each has a counter. It is empty for the other reasons.
type RefusalSource string

// Sources of refusals.
const (
	// SourceFleetQuota is the quota of a workspace over all hosts.
	SourceFleetQuota RefusalSource = "fleet-quota"
	// SourceBrokerShare is the part of a quota that a broker with a session to some of
	// the hosts may spend.
	SourceBrokerShare RefusalSource = "broker-share"
	// SourceHostShare is the part of a quota that a host without a broker may spend.
	SourceHostShare RefusalSource = "host-share"
	// SourceAssumedSpending is spending that hosts assume after a start, because they
	// don't know what they spent before.
	SourceAssumedSpending RefusalSource = "assumed-spending"
	// SourceHigherTiers is what a workspace is expected to ask for in higher tiers, for
	// which the rest of its quota is kept.
	SourceHigherTiers RefusalSource = "higher-tiers"
	// SourceForecast is the expected wait behind the demands ahead.
	SourceForecast RefusalSource = "forecast"
	// SourceExpired is the latest time of a grant, which has passed.
	SourceExpired RefusalSource = "expired"
)

// Reasons for failures after dispatch.
const (
	ReasonTargetFailed Reason = "target-failed"
	ReasonTargetSilent Reason = "target-silent"
	ReasonHolderLost   Reason = "holder-lost"
)

// Reasons for retries.
const (
	ReasonConnectFailed Reason = "connect-failed"
	ReasonGrantExpired  Reason = "grant-expired"
	ReasonBrokerLost    Reason = "broker-lost"
)
