package bmbench

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"

	"basilmoor.example/basilmoor"
)

// kindSpec describes one class of requests.
type kindSpec struct {
	name     string
	pool     string
	model    string
	tier     int
	share    float64 // of the pool's requests
	bound    micros  // from arrival to first token
	prefixed bool    // the prompt starts with one of the workspace's templates
	prompt   [2]int  // range of prompt tokens after the template
	output   [2]int  // range of output tokens
	expected int     // output tokens that hosts assume
}

// workspaceSpec describes a customer.
type workspaceSpec struct {
	name      string
	weight    int
	share     float64
	templates int
	hosts     int // entry hosts that its connections lead to
}

// poolSpec describes one pool.
type poolSpec struct {
	name    string
	rate    float64 // requests per second at full capacity
	engines []engineSpec
}

// Deployment describes one user's fleet and demand.
type Deployment struct {
	Name        string
	Latency     micros // one way between data centres
	dataCentres []string
	hosts       int
	pools       []poolSpec
	kinds       []kindSpec
	workspaces  []workspaceSpec
	length      micros   // arrivals end
	measured    micros   // requests that arrive earlier only warm the caches
	crests      []window // factor is the demand in parts of the capacity
	slow        []window
}

// baseLoad is the demand outside of crests in parts of the capacity.
const baseLoad = 0.7

// load is the demand in parts of the capacity. Crests rise and fall within
// half a second.
func (d *Deployment) load(t micros) float64 {
	const ramp = second / 2
	load := baseLoad
	for _, c := range d.crests {
		if t < c.from-ramp || t >= c.to+ramp {
			continue
		}
		edge := min(t-(c.from-ramp), c.to+ramp-t, ramp)
		load = max(load, baseLoad+(c.factor-baseLoad)*float64(edge)/float64(ramp))
	}
	return load
}

func within(windows []window, t micros) bool {
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

// generator makes arrivals and slow targets from a seed.
type generator struct {
	d         *Deployment
	rng       *rand.Rand
	hostShare map[string][]float64
	lengths   map[string][]int // template lengths by workspace
}

func newGenerator(d *Deployment, seed uint64) *generator {
	g := &generator{
		d:         d,
		rng:       rand.New(rand.NewPCG(seed, 1)),
		hostShare: map[string][]float64{},
		lengths:   map[string][]int{},
	}
	for i := range d.workspaces {
		g.addWorkspace(&d.workspaces[i])
	}
	return g
}

// addWorkspace spreads the workspace's connections over hosts: a load balancer
// places long-lived connections, not requests, so the shares are uneven.
func (g *generator) addWorkspace(w *workspaceSpec) {
	shares := make([]float64, g.d.hosts)
	for _, host := range g.rng.Perm(g.d.hosts)[:min(w.hosts, g.d.hosts)] {
		shares[host] = 0.3 + g.rng.ExpFloat64()
	}
	g.hostShare[w.name] = shares
	for range w.templates {
		g.lengths[w.name] = append(g.lengths[w.name], 512+g.rng.IntN(1025))
	}
}

func (g *generator) arrivals() []*arrival {
	var all []*arrival
	for i := range g.d.pools {
		all = append(all, g.poolArrivals(&g.d.pools[i])...)
	}
	return all
}

func (g *generator) poolArrivals(p *poolSpec) []*arrival {
	var kinds []*kindSpec
	var kindShares []float64
	for i := range g.d.kinds {
		if k := &g.d.kinds[i]; k.pool == p.name {
			kinds = append(kinds, k)
			kindShares = append(kindShares, k.share)
		}
	}
	workspaceShares := make([]float64, len(g.d.workspaces))
	for i, w := range g.d.workspaces {
		workspaceShares[i] = w.share
	}
	var all []*arrival
	at := 0.0
	for {
		rate := p.rate * g.d.load(micros(at*float64(second)))
		at += g.rng.ExpFloat64() / rate
		if micros(at*float64(second)) >= g.d.length {
			return all
		}
		k := kinds[g.pick(kindShares)]
		w := &g.d.workspaces[g.pick(workspaceShares)]
		a := g.request(k, w)
		a.at = micros(at * float64(second))
		a.pool = p.name
		a.id = basilmoor.RequestID(fmt.Sprintf("entry-%d-%s-%d", a.host, p.name, len(all)))
		all = append(all, a)
	}
}

func (g *generator) request(k *kindSpec, w *workspaceSpec) *arrival {
	a := &arrival{
		host:           g.pick(g.hostShare[w.name]),
		kind:           k,
		workspace:      w,
		promptTokens:   g.between(k.prompt),
		outputTokens:   g.between(k.output),
		expectedOutput: k.expected,
	}
	if !k.prefixed {
		return a
	}
	template := g.zipf(w.templates)
	prefix := g.lengths[w.name][template]
	a.promptTokens += prefix
	for i := range a.promptTokens / basilmoor.PrefixBlockTokens {
		owner := fmt.Sprintf("%s/%d/%d", w.name, template, i)
		if (i+1)*basilmoor.PrefixBlockTokens > prefix {
			owner = fmt.Sprintf("own/%d", g.rng.Uint64())
		}
		a.digests = append(a.digests, digest(owner))
	}
	return a
}

func digest(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// between draws from a range so that each order of magnitude is equally
// likely.
func (g *generator) between(r [2]int) int {
	if r[0] == r[1] {
		return r[0]
	}
	low, high := math.Log(float64(r[0])), math.Log(float64(r[1]))
	return int(math.Exp(low + (high-low)*g.rng.Float64()))
}

func (g *generator) pick(shares []float64) int {
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

// zipf draws a template; the second is half as popular as the first, and so
// on.
func (g *generator) zipf(n int) int {
	shares := make([]float64, n)
	for i := range shares {
		shares[i] = 1 / float64(i+1)
	}
	return g.pick(shares)
}

// slowTargets chooses a third of a pool's targets for each moment of slowness.
func (g *generator) slowTargets(p *poolSpec) map[string][]window {
	slow := map[string][]window{}
	for _, w := range g.d.slow {
		for _, i := range g.rng.Perm(len(p.engines))[:len(p.engines)/3] {
			name := p.engines[i].target.Name
			slow[name] = append(slow[name], w)
		}
	}
	return slow
}
