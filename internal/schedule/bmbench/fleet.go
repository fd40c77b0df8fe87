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

func modelEngines(pool string, dataCentres []string, perGeneration []int) []engineSpec {
	var engines []engineSpec
	for i, n := range perGeneration {
		g := generations[i]
		for range n {
			dataCentre := dataCentres[len(engines)%len(dataCentres)]
			engines = append(engines, engineSpec{
				target: basilmoor.Target{
					Name:          fmt.Sprintf("%s-%s-%02d", pool, g.name, len(engines)),
					Pool:          pool,
					Type:          basilmoor.EngineTarget,
					DataCentre:    dataCentre,
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
func services(pool string, dataCentres []string, step micros) []engineSpec {
	const workers = 4
	var engines []engineSpec
	for i, dataCentre := range dataCentres {
		engines = append(engines, engineSpec{
			target: basilmoor.Target{
				Name:       fmt.Sprintf("%s-%d", pool, i),
				Pool:       pool,
				Type:       basilmoor.ServiceTarget,
				DataCentre: dataCentre,
				Slots:      workers + 1,
			},
			base:     step,
			batch:    workers,
			chunk:    1 << 20,
			maxQueue: engineQueue,
		})
	}
	return engines
}
