package bmbench

// newDeployment completes a deployment with the moments that all share: when
// demand swings and when targets slow down.
func newDeployment(d Deployment) *Deployment {
	d.length = 185 * second
	d.measured = 10 * second
	d.crests = crests()
	d.slow = slowMoments()
	return &d
}

// serviceKinds returns the two kinds of requests that a plain service answers:
// writes of the highest tier and reads, three times as many, of the next.
func serviceKinds(pool, write, read string) []kindSpec {
	return []kindSpec{
		{
			name:     write,
			pool:     pool,
			tier:     0,
			share:    0.25,
			bound:    1200 * millisecond,
			output:   [2]int{4, 100},
			expected: 30,
		},
		{
			name:     read,
			pool:     pool,
			tier:     1,
			share:    0.75,
			bound:    3 * second,
			output:   [2]int{2, 40},
			expected: 13,
		},
	}
}

// Seedleaf is the deployment of Piedmont Seedleaf.
func Seedleaf() *Deployment {
	dataCentres := []string{"kinston", "wilson", "goldsboro"}
	return newDeployment(Deployment{
		Name:        "Seedleaf",
		Latency:     millisecond / 2,
		dataCentres: dataCentres,
		hosts:       9,
		pools: []poolSpec{
			{
				name:    "labels",
				rate:    81,
				engines: modelEngines("labels", dataCentres, []int{6, 8, 6}),
			},
			{
				name:    "orders",
				rate:    36,
				engines: services("orders", dataCentres, 20*millisecond),
			},
		},
		kinds: append(serviceKinds("orders", "confirmation", "stock-lookup"), []kindSpec{
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

// Gonder is the deployment of Gonder Coconut Carts.
func Gonder() *Deployment {
	dataCentres := []string{"bole", "merkato", "piassa"}
	return newDeployment(Deployment{
		Name:        "Gonder",
		Latency:     millisecond,
		dataCentres: dataCentres,
		hosts:       6,
		pools: []poolSpec{
			{
				name:    "plans",
				rate:    40,
				engines: modelEngines("plans", dataCentres, []int{3, 4, 3}),
			},
			{
				name:    "ledger",
				rate:    36,
				engines: services("ledger", dataCentres, 20*millisecond),
			},
		},
		kinds: append(serviceKinds("ledger", "payout", "stock-transfer"), []kindSpec{
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
