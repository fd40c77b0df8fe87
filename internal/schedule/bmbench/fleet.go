package bmbench

import (
	"fmt"

	"basilmoor.example/basilmoor"
)

// generation describes the speed and memory of a hardware generation.
type generation struct {
	name            string
	stepBase        micros
	stepPerSequence micros
	prefillPerToken float64
	maxBatch        int
	cacheTokens     int
}

var generations = []generation{
	{
		name:            "g1",
		stepBase:        26 * millisecond,
		stepPerSequence: 500,
		prefillPerToken: 200,
		maxBatch:        12,
		cacheTokens:     24_576,
	},
	{
		name:            "g2",
		stepBase:        18 * millisecond,
		stepPerSequence: 400,
		prefillPerToken: 120,
		maxBatch:        16,
		cacheTokens:     32_768,
	},
	{
		name:            "g3",
		stepBase:        12 * millisecond,
		stepPerSequence: 300,
		prefillPerToken: 70,
		maxBatch:        20,
		cacheTokens:     49_152,
	},
}

// engineQueueLimit is the number of waiting requests at which an engine rejects
// more. Among limits from 0 to 1000, the baselines that dispatch at once serve
// more requests at demand peaks with a higher limit up to 16 and hardly more
// beyond, while their top-tier goodput falls. The other policies are insensitive
// to it.
const engineQueueLimit = 16

// modelEngines returns the engines of a model pool, with the number of engines
// of each generation.
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
					Slots:         g.maxBatch,
					CacheTokens:   g.cacheTokens,
					ContextTokens: 8192,
				},
				stepBase:        g.stepBase,
				stepPerSequence: g.stepPerSequence,
				prefillPerToken: g.prefillPerToken,
				maxBatch:        g.maxBatch,
				maxChunkTokens:  512,
				maxQueue:        engineQueueLimit,
			})
		}
	}
	return engines
}

// serviceSpecs returns plain services, one in each data centre. A request takes
// a number of equal steps that does not depend on other requests. Each service
// has a slot for one waiting request, so that a worker does not idle for a whole
// step while the message about a finished request is under way. Engines have no
// such slot: their requests are longer, and waiting at the engine would cost
// more first-token time than it gains.
func serviceSpecs(pool string, dataCentres []string, step micros) []engineSpec {
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
			stepBase:       step,
			maxBatch:       workers,
			maxChunkTokens: 1 << 20,
			maxQueue:       engineQueueLimit,
		})
	}
	return engines
}
