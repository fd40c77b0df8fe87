package bmgrant

import (
	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
)

// liftHolds lifts the holds on the keys of requests that were answered, and returns
// the lifts. Such a request was granted before its key was held back, and a key under
// which a target answers isn't what crashes targets.
func liftHolds(crashes basilmoor.CrashRegistry, metrics *bmmetrics.Registry, log zerolog.Logger, pool string, answered []*grantedRequest) []basilmoor.Crash {
	var lifts []basilmoor.Crash
	for _, r := range answered {
		for _, k := range r.demand.CrashKeys {
			if !crashes.Suspect(k) {
				continue
			}
			lift := basilmoor.Crash{
				Digest: k,
				Lifted: true,
			}
			crashes.Merge([]basilmoor.Crash{lift})
			lifts = append(lifts, lift)
			metrics.Add("quarantine.lifted", 1)
			log.Warn().
				Uint64("key", k).
				Str("reason", "answered").
				Str("request", string(r.demand.Request)).
				Str("pool", pool).
				Msg("hold lifted")
		}
	}
	return lifts
}
