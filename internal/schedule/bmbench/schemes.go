package bmbench

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmbaseline"
	"basilmoor.example/basilmoor/internal/schedule/bmbroker"
)

// Names of the schemes that the bounds refer to.
const (
	BrokerScheme      = "broker"
	ClairvoyantScheme = "clairvoyant"
)

// Broker returns the scheme of the broker that is measured.
func Broker() Scheme {
	return Scheme{
		Name:    BrokerScheme,
		Central: true,
		New: func(_, _ int, _ uint64, _ bmbaseline.Oracle) basilmoor.Policy {
			cfg := bmbroker.DefaultConfig()
			cfg.WarmUp = 0
			return bmbroker.New(cfg)
		},
	}
}

// Clairvoyant returns the reference scheduler that knows the state of all
// targets and the output of each request.
func Clairvoyant() Scheme {
	return Scheme{
		Name:        ClairvoyantScheme,
		Clairvoyant: true,
		New: func(_, _ int, _ uint64, o bmbaseline.Oracle) basilmoor.Policy {
			return bmbaseline.NewClairvoyant(o)
		},
	}
}

// Baselines returns the schemes that the broker is compared with.
func Baselines() []Scheme {
	return []Scheme{
		{
			Name: "random",
			New: func(host, _ int, seed uint64, _ bmbaseline.Oracle) basilmoor.Policy {
				return bmbaseline.NewRandom(seed + uint64(host))
			},
		},
		{
			Name: "round-robin",
			New: func(host, _ int, _ uint64, _ bmbaseline.Oracle) basilmoor.Policy {
				return bmbaseline.NewRoundRobin(3 * host)
			},
		},
		{
			Name: "least-load",
			New: func(host, _ int, seed uint64, _ bmbaseline.Oracle) basilmoor.Policy {
				return bmbaseline.NewLeastLoad(seed + uint64(host))
			},
		},
		{
			Name: "two-choices",
			New: func(host, _ int, seed uint64, _ bmbaseline.Oracle) basilmoor.Policy {
				return bmbaseline.NewTwoChoices(seed + uint64(host))
			},
		},
		{
			Name: "host-tiers",
			New: func(host, hosts int, _ uint64, _ bmbaseline.Oracle) basilmoor.Policy {
				return bmbaseline.NewPerHostQueue(host, hosts)
			},
		},
	}
}
