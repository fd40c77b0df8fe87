package bmbench

// newDeployment completes a deployment with the settings that all deployments
// share: its duration, its demand peaks and the periods of slow targets.
func newDeployment(d Deployment) *Deployment {
	d.arrivalPeriod = 185 * second
	d.warmUp = 10 * second
	d.peaks = shortPeaks()
	d.slowWindows = slowPeriods()
	return &d
}

// serviceKinds returns the two kinds of requests of a plain service: writes of
// the highest tier and three times as many reads of the next tier.
func serviceKinds(pool, write, read string) []kindSpec {
	return []kindSpec{
		{
			name:           write,
			pool:           pool,
			tier:           0,
			share:          0.25,
			ttftBound:      1200 * millisecond,
			outputRange:    [2]int{4, 100},
			expectedOutput: 30,
		},
		{
			name:           read,
			pool:           pool,
			tier:           1,
			share:          0.75,
			ttftBound:      3 * second,
			outputRange:    [2]int{2, 40},
			expectedOutput: 13,
		},
	}
}

// Seedleaf returns the deployment of Piedmont Seedleaf.
func Seedleaf() *Deployment {
	dataCentres := []string{"kinston", "wilson", "goldsboro"}
	return newDeployment(Deployment{
		Name:        "Seedleaf",
		Latency:     millisecond / 2,
		dataCentres: dataCentres,
		hosts:       9,
		pools: []poolSpec{
			{
				name:     "labels",
				fullRate: 81,
				engines:  modelEngines("labels", dataCentres, []int{6, 8, 6}),
			},
			{
				name:     "orders",
				fullRate: 36,
				engines:  serviceSpecs("orders", dataCentres, 20*millisecond),
			},
		},
		kinds: append(serviceKinds("orders", "confirmation", "stock-lookup"), []kindSpec{
			{
				name:           "shelf-question",
				pool:           "labels",
				model:          "labels",
				tier:           0,
				share:          0.45,
				ttftBound:      1200 * millisecond,
				hasTemplate:    true,
				promptRange:    [2]int{32, 128},
				outputRange:    [2]int{8, 64},
				expectedOutput: 27,
			},
			{
				name:           "care-sheet",
				pool:           "labels",
				model:          "labels",
				tier:           1,
				share:          0.30,
				ttftBound:      3 * second,
				hasTemplate:    true,
				promptRange:    [2]int{64, 256},
				outputRange:    [2]int{64, 400},
				expectedOutput: 183,
			},
			{
				name:           "label-review",
				pool:           "labels",
				model:          "labels",
				tier:           2,
				share:          0.25,
				ttftBound:      12 * second,
				hasTemplate:    true,
				promptRange:    [2]int{128, 1024},
				outputRange:    [2]int{100, 800},
				expectedOutput: 337,
			},
		}...),
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
	})
}

// Gonder returns the deployment of Gonder Coconut Carts.
func Gonder() *Deployment {
	dataCentres := []string{"bole", "merkato", "piassa"}
	return newDeployment(Deployment{
		Name:        "Gonder",
		Latency:     millisecond,
		dataCentres: dataCentres,
		hosts:       6,
		pools: []poolSpec{
			{
				name:     "plans",
				fullRate: 40,
				engines:  modelEngines("plans", dataCentres, []int{3, 4, 3}),
			},
			{
				name:     "ledger",
				fullRate: 36,
				engines:  serviceSpecs("ledger", dataCentres, 20*millisecond),
			},
		},
		kinds: append(serviceKinds("ledger", "payout", "stock-transfer"), []kindSpec{
			{
				name:           "restock-plan",
				pool:           "plans",
				model:          "plans",
				tier:           0,
				share:          0.35,
				ttftBound:      1200 * millisecond,
				hasTemplate:    true,
				promptRange:    [2]int{64, 256},
				outputRange:    [2]int{16, 128},
				expectedOutput: 54,
			},
			{
				name:           "route-summary",
				pool:           "plans",
				model:          "plans",
				tier:           1,
				share:          0.35,
				ttftBound:      3 * second,
				hasTemplate:    true,
				promptRange:    [2]int{64, 256},
				outputRange:    [2]int{32, 300},
				expectedOutput: 120,
			},
			{
				name:           "sales-note",
				pool:           "plans",
				model:          "plans",
				tier:           2,
				share:          0.30,
				ttftBound:      12 * second,
				hasTemplate:    true,
				promptRange:    [2]int{128, 1024},
				outputRange:    [2]int{80, 800},
				expectedOutput: 313,
			},
		}...),
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
	})
}
