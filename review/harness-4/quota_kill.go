package main

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The tenant has the allowance that `fleetbench wire` shows for seedleaf-press.
const (
	quotaRate   = 165_313.0 // tokens a second
	quotaBurst  = 165_313.0
	quotaWindow = 8 * time.Second

	// quotaAllowed is what the rule QUOTA allows in a window, with quota_excess 0.1 and
	// quota_slack 190,000.
	quotaAllowed = (quotaRate*8+quotaBurst)*1.1 + 190_000

	quotaUsage  = "9000,500" // tokens in and out
	quotaTokens = 9_500.0    // of a request

	// hotFactor is the multiple of its usual that the tenant sends: hot_tenant x of the
	// site. Its allowance is quota_x, 1.8, times its usual.
	hotFactor = 7.5
	quotaX    = 1.8

	beforeKill = 900 * time.Millisecond
	afterKill  = 7 * time.Second
	restartGap = time.Second
)

// playQuotaKill lets one tenant, whose clients are all in the zone of one host, ask for
// more than its allowance. That host, which is the broker, is killed, and the clients go on
// at the hosts of the other zones. In no window may more of its tokens run than the rule
// QUOTA allows.
func playQuotaKill(rec *record, root, dir string, trouble bool) (bool, error) {
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
	leader, others := d.byRole()
	if leader == nil {
		return false, fmt.Errorf("no host is the broker")
	}
	if !d.store.awaitWrite("basilmoor/spending", 3*time.Second) {
		return false, fmt.Errorf("the broker writes no record")
	}
	c := &hotClients{rec: rec, gap: seconds(quotaTokens / (hotFactor * quotaRate / quotaX))}
	c.send([]*entry{leader}, beforeKill)
	if trouble {
		rec.line("kill   %s gets SIGKILL", leader.name)
		leader.kill()
		time.AfterFunc(restartGap, func() {
			rec.line("start  %s again", leader.name)
			_ = leader.start()
		})
	}
	rec.line("move   the clients go on at the other hosts")
	c.send(others, afterKill)
	c.done.Wait()
	return overQuota(rec, replicas)
}

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// byRole returns the host that is the broker, nil if there is none, and the others.
func (d *deployment) byRole() (leader *entry, others []*entry) {
	for _, e := range d.entries {
		if leader == nil && e.leads() {
			leader = e
			continue
		}
		others = append(others, e)
	}
	return leader, others
}

// hotClients are the clients of the tenant. They send one request in each gap, whatever
// becomes of the earlier ones, and don't send a refused one again.
type hotClients struct {
	rec  *record
	gap  time.Duration
	sent int
	done sync.WaitGroup
}

func (c *hotClients) send(to []*entry, length time.Duration) {
	t := time.NewTicker(c.gap)
	defer t.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-t.C {
		c.sent++
		attempt := fmt.Sprintf("t%06d", c.sent)
		e := to[c.sent%len(to)]
		c.done.Add(1)
		go func() {
			defer c.done.Done()
			req := request("POST", engineHost, "/lohu930/2f", attempt, key, quotaUsage, "prompt of "+attempt, 3*time.Second)
			send(c.rec, e.frontend, req, attempt, 3*time.Second)
		}()
	}
}

// overQuota reports whether in some window more tokens ran than are allowed.
func overQuota(rec *record, replicas []*replica) (bool, error) {
	all := sortedRuns(replicas)
	if len(all) == 0 {
		return false, fmt.Errorf("no request ran")
	}
	most, from := 0, time.Duration(0)
	for i, first := range all {
		sum := 0
		for _, x := range all[i:] {
			if x.began-first.began < quotaWindow {
				sum += tokensOf(x)
			}
		}
		if sum > most {
			most, from = sum, first.began
		}
	}
	rec.line("check  %d requests ran; most in 8 s: %d tokens from %.3f s on, allowed %.0f", len(all), most, from.Seconds(), quotaAllowed)
	return float64(most) > quotaAllowed, nil
}

// sortedRuns returns the runs of replicas in the order of their begin.
func sortedRuns(replicas []*replica) []run {
	var all []run
	for _, r := range replicas {
		all = append(all, r.all()...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].began < all[j].began })
	return all
}

// tokensOf returns the sum of the two numbers in X-Token-Usage.
func tokensOf(x run) int {
	sum := 0
	for _, part := range strings.Split(x.tokens, ",") {
		n, _ := strconv.Atoi(part)
		sum += n
	}
	return sum
}
