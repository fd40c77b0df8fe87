package bmstandin

import (
	"net/http"

	"basilmoor.example/basilmoor"
)

// Load is the response to GET /v1/load: the load of a target.
type Load struct {
	Running         int              `json:"running"`
	Waiting         int              `json:"waiting"`
	CacheTokensUsed int              `json:"cache-tokens-used"`
	Age             basilmoor.Millis `json:"age-ms"` // age of the measurement
}

// DelayedLoad reports the load of a target with a delay. It is safe for
// concurrent use.
type DelayedLoad struct {
	*Delayed[Load]
}

// NewDelayedLoad returns a DelayedLoad that initially reports an idle target.
func NewDelayedLoad(clock basilmoor.Clock, delay basilmoor.Millis) *DelayedLoad {
	return &DelayedLoad{
		Delayed: NewDelayed(clock, delay, Load{}),
	}
}

// ServeHTTP handles GET /v1/load.
func (l *DelayedLoad) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	load, age := l.Report()
	load.Age = age
	WriteJSON(w, http.StatusOK, load)
}
