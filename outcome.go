package basilmoor

// Outcome is what a caller is told about its request.
type Outcome string

// Outcomes of requests.
const (
	// OutcomeDone means the target's whole response was delivered.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no target ran or will run the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request was sent and nothing came back.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeIncomplete means that the response broke off.
	OutcomeIncomplete Outcome = "incomplete"
)

// Reason names why a request was refused or tried again. Each reason has a
// counter.
type Reason string

// Reasons of refusals.
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
)

// Reasons of outcomes after dispatch.
const (
	ReasonTargetFailed Reason = "target-failed"
	ReasonTargetSilent Reason = "target-silent"
	ReasonHolderLost   Reason = "holder-lost"
)

// Reasons of retries.
const (
	ReasonConnectFailed Reason = "connect-failed"
	ReasonGrantExpired  Reason = "grant-expired"
	ReasonBrokerLost    Reason = "broker-lost"
)
