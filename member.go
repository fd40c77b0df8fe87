package basilmoor

// Member is what is known of one host of the fleet.
type Member struct {
	Host          string
	Address       string // IP address and port of the listener for peers
	DataCentre    string
	Region        string
	Incarnation   uint64 // grows with each start of the host's process
	ConfigVersion int64
	ConfigNote    string
	Load          int // requests in progress
	Leaving       bool

	// Capacity compares hosts that may take on duties for others; 0 if
	// unknown.
	Capacity int
}

// Membership tells which hosts are alive.
type Membership interface {
	// Self describes this host.
	Self() Member

	// Live returns the live members including this host, ordered by name.
	// Leaving members are not included.
	Live() []Member
}

// Crash counts the targets that died while they ran a request.
type Crash struct {
	Digest  uint64 // of workspace, method, path and body
	Targets []string
	Age     Millis // time since the last death
	Lifted  bool   // an operator allowed the request again
}

// CrashRegistry knows which requests crash targets. It is safe for concurrent
// use.
type CrashRegistry interface {
	// Died records that a target died while it ran the request.
	Died(digest uint64, target string)

	// Suspect reports whether the request is held back.
	Suspect(digest uint64) bool

	// Recent returns what heartbeats pass on.
	Recent() []Crash

	// Merge adds what another host knows, and returns the part that was new.
	Merge(crashes []Crash) []Crash
}
