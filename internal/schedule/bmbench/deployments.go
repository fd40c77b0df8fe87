package bmbench

import (
	"fmt"

	"basilmoor.example/basilmoor"
)

// generation describes the speed of a hardware generation.
type generation struct {
	name        string
	base        micros
	perSequence micros
	prefill     float64
	batch       int
	cacheTokens int
}

var generations = []generation{
	{
		name:        "g1",
		base:        26 * millisecond,
		perSequence: 500,
		prefill:     200,
		batch:       12,
		cacheTokens: 24_576,
	},
	{
		name:        "g2",
		base:        18 * millisecond,
		perSequence: 400,
		prefill:     120,
		batch:       16,
		cacheTokens: 32_768,
	},
	{
		name:        "g3",
		base:        12 * millisecond,
		perSequence: 300,
		prefill:     70,
		batch:       20,
		cacheTokens: 49_152,
	},
}

// engineQueue is the number of waiting requests at which an engine refuses
// more. It was chosen for the baselines that dispatch at once: in trials from 0
// to 1000, their service at crests grew up to 16 and hardly beyond, while their
// top-tier goodput fell. The other policies are insensitive to it.
const engineQueue = 16

func modelEngines(pool string, places []string, perGeneration []int) []engineSpec {
	var engines []engineSpec
	for i, n := range perGeneration {
		g := generations[i]
		for range n {
			place := places[len(engines)%len(places)]
			engines = append(engines, engineSpec{
				target: basilmoor.Target{
					Name:          fmt.Sprintf("%s-%s-%02d", pool, g.name, len(engines)),
					Pool:          pool,
					Type:          basilmoor.EngineTarget,
					Place:         place,
					Generation:    g.name,
					Models:        []string{pool},
					Slots:         g.batch,
					CacheTokens:   g.cacheTokens,
					ContextTokens: 8192,
				},
				base:        g.base,
				perSequence: g.perSequence,
				prefill:     g.prefill,
				batch:       g.batch,
				chunk:       512,
				maxQueue:    engineQueue,
			})
		}
	}
	return engines
}

// services are plain services: each request takes a number of equal steps that
// does not depend on the others. One request may wait at each, so that a worker
// does not idle for a whole step while the news of a finished request travels.
// For engines, whose requests are longer, that costs more first-token time than
// it gains.
func services(pool string, places []string, step micros) []engineSpec {
	const workers = 4
	var engines []engineSpec
	for i, place := range places {
		engines = append(engines, engineSpec{
			target: basilmoor.Target{
				Name:  fmt.Sprintf("%s-%d", pool, i),
				Pool:  pool,
				Type:  basilmoor.ServiceTarget,
				Place: place,
				Slots: workers + 1,
			},
			base:     step,
			batch:    workers,
			chunk:    1 << 20,
			maxQueue: engineQueue,
		})
	}
	return engines
}

// Seedleaf is the deployment of Piedmont Seedleaf.
func Seedleaf() *Deployment {
	places := []string{"kinston", "wilson", "goldsboro"}
	return &Deployment{
		Name:    "Seedleaf",
		Latency: millisecond / 2,
		places:  places,
		hosts:   9,
		pools: []poolSpec{
			{
				name:    "labels",
				rate:    81,
				engines: modelEngines("labels", places, []int{6, 8, 6}),
			},
			{
				name:    "orders",
				rate:    36,
				engines: services("orders", places, 20*millisecond),
			},
		},
		kinds: []kindSpec{
			{
				name:     "shelf-question",
				pool:     "labels",
				model:    "labels",
				tier:     0,
				share:    0.45,
				bound:    1200 * millisecond,
				prefixed: true,
				prompt:   [2]int{32, 128},
				output:   [2]int{8, 64},
				expected: 27,
			},
			{
				name:     "care-sheet",
				pool:     "labels",
				model:    "labels",
				tier:     1,
				share:    0.30,
				bound:    3 * second,
				prefixed: true,
				prompt:   [2]int{64, 256},
				output:   [2]int{64, 400},
				expected: 183,
			},
			{
				name:     "label-review",
				pool:     "labels",
				model:    "labels",
				tier:     2,
				share:    0.25,
				bound:    12 * second,
				prefixed: true,
				prompt:   [2]int{128, 1024},
				output:   [2]int{100, 800},
				expected: 337,
			},
			{
				name:     "confirmation",
				pool:     "orders",
				tier:     0,
				share:    0.25,
				bound:    1200 * millisecond,
				output:   [2]int{4, 100},
				expected: 30,
			},
			{
				name:     "stock-lookup",
				pool:     "orders",
				tier:     1,
				share:    0.75,
				bound:    3 * second,
				output:   [2]int{2, 40},
				expected: 13,
			},
		},
		workspaces: []workspaceSpec{
			{
				name:      "piedmont-retail",
				weight:    3,
				share:     0.35,
				templates: 40,
				hosts:     9,
			},
			{
				name:      "piedmont-wholesale",
				weight:    3,
				share:     0.35,
				templates: 40,
				hosts:     9,
			},
			{
				name:      "kiln",
				weight:    1,
				share:     0.12,
				templates: 16,
				hosts:     4,
			},
			{
				name:      "nursery",
				weight:    1,
				share:     0.10,
				templates: 16,
				hosts:     3,
			},
			{
				name:      "archive",
				weight:    1,
				share:     0.08,
				templates: 16,
				hosts:     3,
			},
		},
		length:   185 * second,
		measured: 10 * second,
		crests:   crests(),
		slow:     slowMoments(),
	}
}

// Gonder is the deployment of Gonder Coconut Carts.
func Gonder() *Deployment {
	places := []string{"bole", "merkato", "piassa"}
	return &Deployment{
		Name:    "Gonder",
		Latency: millisecond,
		places:  places,
		hosts:   6,
		pools: []poolSpec{
			{
				name:    "plans",
				rate:    40,
				engines: modelEngines("plans", places, []int{3, 4, 3}),
			},
			{
				name:    "ledger",
				rate:    36,
				engines: services("ledger", places, 20*millisecond),
			},
		},
		kinds: []kindSpec{
			{
				name:     "restock-plan",
				pool:     "plans",
				model:    "plans",
				tier:     0,
				share:    0.35,
				bound:    1200 * millisecond,
				prefixed: true,
				prompt:   [2]int{64, 256},
				output:   [2]int{16, 128},
				expected: 54,
			},
			{
				name:     "route-summary",
				pool:     "plans",
				model:    "plans",
				tier:     1,
				share:    0.35,
				bound:    3 * second,
				prefixed: true,
				prompt:   [2]int{64, 256},
				output:   [2]int{32, 300},
				expected: 120,
			},
			{
				name:     "sales-note",
				pool:     "plans",
				model:    "plans",
				tier:     2,
				share:    0.30,
				bound:    12 * second,
				prefixed: true,
				prompt:   [2]int{128, 1024},
				output:   [2]int{80, 800},
				expected: 313,
			},
			{
				name:     "payout",
				pool:     "ledger",
				tier:     0,
				share:    0.25,
				bound:    1200 * millisecond,
				output:   [2]int{4, 100},
				expected: 30,
			},
			{
				name:     "stock-transfer",
				pool:     "ledger",
				tier:     1,
				share:    0.75,
				bound:    3 * second,
				output:   [2]int{2, 40},
				expected: 13,
			},
		},
		workspaces: []workspaceSpec{
			{
				name:      "addis-carts",
				weight:    3,
				share:     0.34,
				templates: 20,
				hosts:     6,
			},
			{
				name:      "bole-coconut",
				weight:    3,
				share:     0.28,
				templates: 20,
				hosts:     6,
			},
			{
				name:      "merkato-fresh",
				weight:    1,
				share:     0.16,
				templates: 10,
				hosts:     3,
			},
			{
				name:      "piassa-wheels",
				weight:    1,
				share:     0.14,
				templates: 10,
				hosts:     3,
			},
			{
				name:      "platform",
				weight:    1,
				share:     0.08,
				templates: 6,
				hosts:     2,
			},
		},
		length:   185 * second,
		measured: 10 * second,
		crests:   crests(),
		slow:     slowMoments(),
	}
}

// crests returns the demand swings: 1.6 times the capacity for six seconds.
func crests() []window {
	var crests []window
	for _, from := range []micros{20, 50, 78, 110, 140, 168} {
		crests = append(crests, window{
			from:   from * second,
			to:     (from + 6) * second,
			factor: 1.6,
		})
	}
	return crests
}

// slowMoments returns the periods during which a third of the targets is four
// times slower. Every third one falls into a crest.
func slowMoments() []window {
	var moments []window
	for _, from := range []micros{36, 66, 80, 126, 156, 170} {
		moments = append(moments, window{
			from:   from * second,
			to:     (from + 4) * second,
			factor: 4,
		})
	}
	return moments
}
