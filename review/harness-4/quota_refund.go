package main

import (
	"fmt"
	"time"
)

const (
	crashAt  = 200 * time.Millisecond // after the tenant begins
	crashFor = 4500 * time.Millisecond

	// silence is how long the entry of a crashed replica stays: three intervals.
	silence = 3 * 1200 * time.Millisecond

	refundLength = 15 * time.Second
)

// playQuotaRefund lets one tenant ask for more than its allowance. All replicas of the
// service crash and others come back 4.5 s later. In no window may more of the tenant's
// tokens run than the rule QUOTA allows.
func playQuotaRefund(rec *record, root, dir string, trouble bool) (bool, error) {
	replicas, err := engines(rec, 18, 4, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	state := desiredState(10, quotaRate, quotaBurst, route("review", engineHost, "/lohu930/", "streaming", "engines", 12000, 800, 2, true))
	d, err := newDeployment(rec, root, dir, 3, state, replicas...)
	defer d.close()
	if err != nil {
		return false, err
	}
	crashed := make(chan error, 1)
	if trouble {
		go func() { crashed <- d.crashAll() }()
	}
	c := &hotClients{rec: rec, gap: seconds(quotaTokens / (hotFactor * quotaRate / quotaX))}
	c.send(d.entries, refundLength)
	c.done.Wait()
	if trouble {
		if err := <-crashed; err != nil {
			return false, err
		}
	}
	return overQuota(rec, d.replicas)
}

// crashAll ends all replicas, removes their entries after a while, and starts others.
func (d *deployment) crashAll() error {
	time.Sleep(crashAt)
	before := d.replicas
	for _, r := range before {
		r.crash()
	}
	d.rec.line("crash  all %d replicas", len(before))
	time.Sleep(silence)
	for _, r := range before {
		d.store.remove("servers/" + r.id)
	}
	time.Sleep(crashFor - silence)
	for n := range before {
		r, err := newReplica(fmt.Sprintf("i-again%02d", n), "engines", 6, d.rec)
		if err != nil {
			return err
		}
		r.events = before[n].events
		r.interval = before[n].interval
		r.start(d.store)
		d.replicas = append(d.replicas, r)
	}
	d.rec.line("start  %d replicas", len(before))
	return nil
}
