package basilmoor

// Member describes one host of the fleet.
type Member struct {
	Host          string
	Address       string // IP address and port of the listener for peers
	DataCentre    string
	Region        string
	Incarnation   uint64 // increases with each start of the host's process
	ConfigVersion int64
	ConfigNote    string
	Load          int // requests in progress
	Leaving       bool

	// Capacity ranks the hosts that may take over tasks for other hosts; 0
	// if unknown.
	Capacity int
}

// Membership lists the live hosts of the fleet.
type Membership interface {
	// Self describes this host.
	Self() Member

	// Live returns the live members including this host, ordered by name.
	// Leaving members are not included.
	Live() []Member
}

// Crash lists the targets that died while running a request.
type Crash struct {
	Digest  uint64 // of the request, or key of a part of its prompt
	Targets []string
	Age     Millis // time since the last death
	Lifted  bool   // an operator, or an answer, has unblocked the request
}

// CrashRegistry records which requests crash targets. It is safe for concurrent
// use.
type CrashRegistry interface {
	// RecordCrash records that a target died while running the request.
	RecordCrash(digest uint64, target string)

	// Suspect reports whether the request is blocked because targets died
	// while running it.
	Suspect(digest uint64) bool

	// Recent returns the crashes to include in heartbeats.
	Recent() []Crash

	// Held returns the latest of the requests that are blocked, at most 64, with
	// the targets that died and the time since the latest death.
	Held() []Crash

	// Merge adds crashes reported by another host and returns those that were
	// new.
	Merge(crashes []Crash) []Crash
}
