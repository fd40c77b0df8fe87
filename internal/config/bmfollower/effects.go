package bmfollower

import (
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

// Effect is a call that the core wants made. Its result comes back as an
// event.
type Effect interface {
	isEffect()
}

// ReadHead reads the head from the store; see Core.HeadRead.
type ReadHead struct{}

// ReadParts reads parts of a head from the store; see Core.PartsRead.
type ReadParts struct {
	Head []byte
	Refs []bmcatalog.PartRef
}

// FetchPeer fetches the head and missing parts from a peer; see
// Core.PeerFetched.
type FetchPeer struct {
	Host string
	Held []string // digests of the parts that are not needed
}

// StartWatch watches the head from a revision on, in place of any watch
// before; see Core.Watched.
type StartWatch struct {
	ID       int
	Revision int64
}

// StopWatch ends the watch.
type StopWatch struct{}

func (ReadHead) isEffect()   {}
func (ReadParts) isEffect()  {}
func (FetchPeer) isEffect()  {}
func (StartWatch) isEffect() {}
func (StopWatch) isEffect()  {}
