package bmfollower

import (
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

// Effect is a call for the caller of Core to make. Its result is passed back to
// Core as an event.
type Effect interface {
	isEffect()
}

// ReadHead reads the head from the store. Its result goes to
// Core.HandleHeadRead.
type ReadHead struct{}

// ReadParts reads parts of a head from the store. Its result goes to
// Core.HandlePartsRead.
type ReadParts struct {
	Head []byte
	Refs []bmcatalog.PartRef
}

// FetchFromPeer fetches the head and the missing parts from a peer. Its result
// goes to Core.HandlePeerFetch.
type FetchFromPeer struct {
	Host string
	Held []string // digests of the parts that this host already holds
}

// StartWatch watches the head for changes after a revision and cancels any
// previous watch. Its result goes to Core.HandleWatch.
type StartWatch struct {
	ID       int
	Revision int64
}

// StopWatch cancels the watch.
type StopWatch struct{}

func (ReadHead) isEffect()      {}
func (ReadParts) isEffect()     {}
func (FetchFromPeer) isEffect() {}
func (StartWatch) isEffect()    {}
func (StopWatch) isEffect()     {}
