package bmentry

import (
	"context"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/request/bmcrash"
	"basilmoor.example/basilmoor/internal/request/bmexchange"
)

// crashDigest returns the digest under which crashes caused by the request are
// recorded. It is the same when the caller sends the request again.
func (c *call) crashDigest() uint64 {
	workspace := ""
	if c.workspace != nil {
		workspace = c.workspace.Name
	}
	return bmcrash.Digest(workspace, c.r.Method, c.r.RequestURI, c.body)
}

// isCrashSuspect reports whether the request is held back because targets died
// while running it.
func (c *call) isCrashSuspect() bool {
	return c.handler.cfg.Crashes.Suspect(c.crashDigest())
}

// probeTarget checks in the background whether the target has died, if err says
// that it closed the connection.
func (c *call) probeTarget(target basilmoor.Target, err error) {
	var broken *bmexchange.BrokenError
	if !errors.As(err, &broken) || broken.ContextDone {
		return
	}
	p := &crashProbe{
		handler: c.handler,
		target:  target,
		digest:  c.crashDigest(),
		request: c.info.ID,
	}
	go p.run()
}

// crashProbe checks whether a target died while running a request, and records
// the crash.
type crashProbe struct {
	handler *Handler
	target  basilmoor.Target
	digest  uint64
	request string
}

// run connects to the target once; the dial timeout bounds its duration.
func (p *crashProbe) run() {
	cfg := &p.handler.cfg
	if !bmcrash.RefusesConnections(context.Background(), p.target.Address) {
		return
	}
	cfg.Crashes.RecordCrash(p.digest, p.target.Name)
	cfg.Metrics.Add("targets.died", 1)
	cfg.Log.Warn().
		Str("target", p.target.Name).
		Str("request", p.request).
		Uint64("digest", p.digest).
		Bool("held-back", cfg.Crashes.Suspect(p.digest)).
		Msg("target died while it ran the request")
}
