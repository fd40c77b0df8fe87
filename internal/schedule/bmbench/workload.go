package bmbench

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"

	"basilmoor.example/basilmoor"
)

// kindSpec describes a kind of requests.
type kindSpec struct {
	name           string
	pool           string
	model          string
	tier           int
	share          float64 // fraction of the pool's requests
	ttftBound      micros  // from arrival to first token
	hasTemplate    bool    // the prompt starts with a template of the workspace
	promptRange    [2]int  // range of prompt tokens after the template
	outputRange    [2]int  // range of output tokens
	expectedOutput int     // output tokens that entry hosts estimate

	// A response is worth its value only if its first token comes within the
	// objective, and no pause between tokens is longer than maxPause.
	objective micros
	maxPause  micros
	value     float64
}

// workspaceSpec describes a workspace and its load.
type workspaceSpec struct {
	name      string
	weight    int
	share     float64
	templates int
	hosts     int // number of entry hosts that its connections use
}

// poolSpec describes a pool.
type poolSpec struct {
	name     string
	fullRate float64 // requests per second that use the full capacity
	engines  []engineSpec
}

// Deployment describes a fleet and the load on it.
type Deployment struct {
	Name          string
	Latency       micros // one way between data centres
	dataCentres   []string
	hosts         int
	pools         []poolSpec
	kinds         []kindSpec
	workspaces    []workspaceSpec
	arrivalPeriod micros   // time during which requests arrive
	warmUp        micros   // requests that arrive earlier fill the caches and are not counted
	peaks         []window // factor is the demand as a fraction of capacity
	slowWindows   []window
}

// baseLoad is the demand outside of peaks as a fraction of capacity.
const baseLoad = 0.7

// load returns the demand at a time as a fraction of capacity. Peaks rise and
// fall linearly within half a second.
func (d *Deployment) load(t micros) float64 {
	const ramp = second / 2
	load := baseLoad
	for _, peak := range d.peaks {
		if t < peak.from-ramp || t >= peak.to+ramp {
			continue
		}
		edge := min(t-(peak.from-ramp), peak.to+ramp-t, ramp)
		load = max(load, baseLoad+(peak.factor-baseLoad)*float64(edge)/float64(ramp))
	}
	return load
}

// inAnyWindow reports whether a time is in one of the windows.
func inAnyWindow(windows []window, t micros) bool {
	for _, w := range windows {
		if t >= w.from && t < w.to {
			return true
		}
	}
	return false
}

// arrival is one request of the replayed sequence.
type arrival struct {
	id             basilmoor.RequestID
	at             micros
	host           int
	pool           string
	kind           *kindSpec
	workspace      *workspaceSpec
	digests        []uint64
	promptTokens   int
	outputTokens   int
	expectedOutput int
}

// generator derives arrivals and slow targets from a seed.
type generator struct {
	deployment      *Deployment
	rng             *rand.Rand
	hostShares      map[string][]float64
	templateLengths map[string][]int // template lengths in tokens, by workspace
}

func newGenerator(d *Deployment, seed uint64) *generator {
	g := &generator{
		deployment:      d,
		rng:             rand.New(rand.NewPCG(seed, 1)),
		hostShares:      map[string][]float64{},
		templateLengths: map[string][]int{},
	}
	for i := range d.workspaces {
		g.addWorkspace(&d.workspaces[i])
	}
	return g
}

// addWorkspace draws the share of a workspace's requests at each entry host and
// the lengths of its templates. The shares are uneven because a load balancer
// distributes long-lived connections, not requests.
func (g *generator) addWorkspace(w *workspaceSpec) {
	shares := make([]float64, g.deployment.hosts)
	for _, host := range g.rng.Perm(g.deployment.hosts)[:min(w.hosts, g.deployment.hosts)] {
		shares[host] = 0.3 + g.rng.ExpFloat64()
	}
	g.hostShares[w.name] = shares
	for range w.templates {
		g.templateLengths[w.name] = append(g.templateLengths[w.name], 512+g.rng.IntN(1025))
	}
}

func (g *generator) arrivals() []*arrival {
	var all []*arrival
	for i := range g.deployment.pools {
		all = append(all, g.poolArrivals(&g.deployment.pools[i])...)
	}
	return all
}

// poolArrivals draws Poisson arrivals at the rate that load gives.
func (g *generator) poolArrivals(p *poolSpec) []*arrival {
	var kinds []*kindSpec
	var kindShares []float64
	for i := range g.deployment.kinds {
		if k := &g.deployment.kinds[i]; k.pool == p.name {
			kinds = append(kinds, k)
			kindShares = append(kindShares, k.share)
		}
	}
	workspaceShares := make([]float64, len(g.deployment.workspaces))
	for i, w := range g.deployment.workspaces {
		workspaceShares[i] = w.share
	}
	var all []*arrival
	at := 0.0
	for {
		rate := p.fullRate * g.deployment.load(micros(at*float64(second)))
		at += g.rng.ExpFloat64() / rate
		if micros(at*float64(second)) >= g.deployment.arrivalPeriod {
			return all
		}
		k := kinds[g.weightedIndex(kindShares)]
		w := &g.deployment.workspaces[g.weightedIndex(workspaceShares)]
		a := g.newArrival(k, w)
		a.at = micros(at * float64(second))
		a.pool = p.name
		a.id = basilmoor.RequestID(fmt.Sprintf("entry-%d-%s-%d", a.host, p.name, len(all)))
		all = append(all, a)
	}
}

func (g *generator) newArrival(k *kindSpec, w *workspaceSpec) *arrival {
	a := &arrival{
		host:           g.weightedIndex(g.hostShares[w.name]),
		kind:           k,
		workspace:      w,
		promptTokens:   g.logUniform(k.promptRange),
		outputTokens:   g.logUniform(k.outputRange),
		expectedOutput: k.expectedOutput,
	}
	if !k.hasTemplate {
		return a
	}
	template := g.zipfIndex(w.templates)
	prefix := g.templateLengths[w.name][template]
	a.promptTokens += prefix
	for i := range a.promptTokens / basilmoor.PrefixBlockTokens {
		blockName := fmt.Sprintf("%s/%d/%d", w.name, template, i)
		if (i+1)*basilmoor.PrefixBlockTokens > prefix {
			blockName = fmt.Sprintf("own/%d", g.rng.Uint64())
		}
		a.digests = append(a.digests, digest(blockName))
	}
	return a
}

func digest(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// logUniform draws from a range so that each order of magnitude is equally
// likely.
func (g *generator) logUniform(r [2]int) int {
	if r[0] == r[1] {
		return r[0]
	}
	low, high := math.Log(float64(r[0])), math.Log(float64(r[1]))
	return int(math.Exp(low + (high-low)*g.rng.Float64()))
}

// weightedIndex draws an index with a probability proportional to its share.
func (g *generator) weightedIndex(shares []float64) int {
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	x := g.rng.Float64() * sum
	for i, s := range shares {
		if x < s {
			return i
		}
		x -= s
	}
	return len(shares) - 1
}

// zipfIndex draws an index below n from a Zipf distribution with exponent 1: the
// second is half as likely as the first, the third a third as likely.
func (g *generator) zipfIndex(n int) int {
	shares := make([]float64, n)
	for i := range shares {
		shares[i] = 1 / float64(i+1)
	}
	return g.weightedIndex(shares)
}

// slowWindowsByTarget assigns each slow period to a random third of a pool's
// targets.
func (g *generator) slowWindowsByTarget(p *poolSpec) map[string][]window {
	slow := map[string][]window{}
	for _, w := range g.deployment.slowWindows {
		for _, i := range g.rng.Perm(len(p.engines))[:len(p.engines)/3] {
			name := p.engines[i].target.Name
			slow[name] = append(slow[name], w)
		}
	}
	return slow
}
