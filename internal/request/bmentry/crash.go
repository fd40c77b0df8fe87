package bmentry

import (
	"context"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/request/bmcrash"
	"basilmoor.example/basilmoor/internal/request/bmexchange"
)

// crashDigest is the same for the request when its caller sends it again.
func (c *call) crashDigest() uint64 {
	workspace := ""
	if c.workspace != nil {
		workspace = c.workspace.Name
	}
	return bmcrash.Digest(workspace, c.r.Method, c.r.RequestURI, c.body)
}

// heldBack reports whether the request crashes the targets that run it.
func (c *call) heldBack() bool {
	return c.handler.cfg.Crashes.Suspect(c.crashDigest())
}

// probeAfter finds out whether a target whose connection broke has died.
func (c *call) probeAfter(target basilmoor.Target, err error) {
	var broken *bmexchange.BrokenError
	if !errors.As(err, &broken) || broken.Silent {
		return
	}
	p := &crashProbe{
		handler: c.handler,
		target:  target,
		digest:  c.crashDigest(),
		request: c.attempt.ID,
	}
	go p.run()
}

// crashProbe asks whether a target died under a request.
type crashProbe struct {
	handler *Handler
	target  basilmoor.Target
	digest  uint64
	request string
}

// run ends within the time limit of a connection.
func (p *crashProbe) run() {
	cfg := &p.handler.cfg
	if !bmcrash.Refuses(context.Background(), p.target.Address) {
		return
	}
	cfg.Crashes.Died(p.digest, p.target.Name)
	cfg.Metrics.Add("targets.died", 1)
	cfg.Log.Warn().
		Str("target", p.target.Name).
		Str("request", p.request).
		Uint64("digest", p.digest).
		Bool("held-back", cfg.Crashes.Suspect(p.digest)).
		Msg("target died while it ran the request")
}
