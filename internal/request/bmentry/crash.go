package bmentry

import (
	"context"
	"slices"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/request/bmcrash"
	"basilmoor.example/basilmoor/internal/request/bmexchange"
)

// crashDigest returns the digest that identifies the request among those under which
// targets died. It is the same when the caller sends the request again.
func (c *call) crashDigest() uint64 {
	workspace := ""
	if c.workspace != nil {
		workspace = c.workspace.Name
	}
	return bmcrash.Digest(workspace, c.r.Method, c.r.RequestURI, c.body)
}

// crashKeys returns the digest of the request and the keys of the shared parts of
// its prompt, the narrowest first.
func (c *call) crashKeys() []uint64 {
	if c.keys == nil {
		c.keys = append(c.keys, c.crashDigest())
		for _, part := range slices.Backward(c.info.SharedParts) {
			if k := bmcrash.PartKey(part); !slices.Contains(c.keys, k) {
				c.keys = append(c.keys, k)
			}
		}
	}
	return c.keys
}

// isCrashSuspect reports whether a scheduler has convicted one of the request's keys.
func (c *call) isCrashSuspect() bool {
	return slices.ContainsFunc(c.crashKeys(), c.handler.cfg.Crashes.Suspect)
}

// maxLoggedParts bounds the list of parts in the log.
const maxLoggedParts = 8

// verdictTimeout bounds the time for which a failure is not reported because it is
// not known whether the target has died. A target that has just ended refuses a
// connection within a round trip, which a busy host notices tens of milliseconds
// later; one that cannot be reached does not answer.
const verdictTimeout basilmoor.Millis = 150

// targetDied reports whether the target refuses connections, if err says that it
// closed the connection. It returns false if that is not known in time. Only the
// scheduler weighs the death: a single host knows too few of the requests that ran on
// the target.
func (c *call) targetDied(permit basilmoor.Permit, err error, answered bool) bool {
	if !isBrokenOff(err) {
		return false
	}
	v := c.probe(permit, answered)
	c.handler.cfg.Metrics.Add("targets.broke-off."+v.String(), 1)
	if v != bmcrash.Dead {
		c.logBrokenOff(permit, v)
	}
	return v == bmcrash.Dead
}

// logBrokenOff logs that a target closed the connection of a request and is not known to
// have died, so that the request is not blamed.
func (c *call) logBrokenOff(permit basilmoor.Permit, v bmcrash.Verdict) {
	c.handler.cfg.Log.Info().
		Str("target", permit.Target().Incarnation()).
		Str("request", c.info.ID).
		Uint64("digest", c.crashKeys()[0]).
		Str("verdict", v.String()).
		Msg("target broke off the request")
}

// endedWithTargetError means that a response without a marked end ended because its
// target died.
type endedWithTargetError struct{}

func (e *endedWithTargetError) Error() string {
	return "the target died at the end of its response"
}

// confirmEnd reports whether the target has survived a response that has ended, as
// far as that is known in time. The end of a response without a length and without
// chunks looks like the death of its target: then the target is probed, and its death
// is reported to the scheduler and returned as an error.
func (c *call) confirmEnd(permit basilmoor.Permit, resp *bmexchange.Response, answered bool) (survived bool, err error) {
	if resp.EndMarked() {
		return true, nil
	}
	if c.endedFromOutside() {
		return false, nil
	}
	verdict := c.probe(permit, answered)
	c.handler.cfg.Metrics.Add("responses.unmarked-end."+verdict.String(), 1)
	if verdict == bmcrash.Dead {
		permit.Observe(basilmoor.Observation{
			Stage:      basilmoor.StageFailed,
			TargetDied: true,
		})
		return false, resp.Broken(&endedWithTargetError{})
	}
	if err := resp.ConfirmEnd(); err != nil {
		permit.Observe(basilmoor.Observation{
			Stage:     basilmoor.StageFailed,
			BadAnswer: true,
		})
		return false, err
	}
	return verdict == bmcrash.Alive, nil
}

// probe finds out whether the target has died, and logs its death. It returns
// bmcrash.Unknown if that is not known within verdictTimeout; a death that becomes
// known later is reported to the scheduler by itself.
func (c *call) probe(permit basilmoor.Permit, answered bool) bmcrash.Verdict {
	p := &crashProbe{
		handler:  c.handler,
		permit:   permit,
		request:  c.info.ID,
		keys:     c.crashKeys(),
		parts:    c.info.SharedParts[:min(len(c.info.SharedParts), maxLoggedParts)],
		answered: answered,
		verdict:  make(chan bmcrash.Verdict),
		late:     make(chan struct{}),
	}
	go p.run()
	timer := c.handler.cfg.Clock.NewTimer(verdictTimeout)
	defer timer.Stop()
	select {
	case v := <-p.verdict:
		return v
	case <-timer.C():
		close(p.late)
		return bmcrash.Unknown
	}
}

// crashProbe checks whether a target died while running a request, and logs it.
type crashProbe struct {
	handler  *Handler
	permit   basilmoor.Permit
	request  string
	keys     []uint64 // the digest of the request first
	parts    []string
	answered bool
	verdict  chan bmcrash.Verdict // receives the result, unless it is late
	late     chan struct{}        // closed when verdict is no longer received from
}

// run connects to the target once; the dial timeout bounds its duration.
func (p *crashProbe) run() {
	v := bmcrash.Probe(context.Background(), p.permit.Target().Address)
	if v == bmcrash.Dead {
		p.log()
	}
	select {
	case p.verdict <- v:
	case <-p.late:
		if v == bmcrash.Dead {
			p.permit.Observe(basilmoor.Observation{
				Stage:      basilmoor.StageFailed,
				TargetDied: true,
			})
		}
	}
}

func (p *crashProbe) log() {
	cfg := &p.handler.cfg
	cfg.Metrics.Add("targets.died", 1)
	cfg.Log.Warn().
		Str("target", p.permit.Target().Name).
		Str("incarnation", p.permit.Target().Incarnation()).
		Str("request", p.request).
		Uint64("digest", p.keys[0]).
		Strs("parts", p.parts).
		Bool("answered", p.answered).
		Bool("held-back", slices.ContainsFunc(p.keys, cfg.Crashes.Suspect)).
		Msg("target died while it ran the request")
}
