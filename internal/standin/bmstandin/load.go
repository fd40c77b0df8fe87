package bmstandin

import (
	"net/http"

	"basilmoor.example/basilmoor"
)

// Load is a target's report of its load, the response to GET /v1/load.
type Load struct {
	Running         int              `json:"running"`
	Waiting         int              `json:"waiting"`
	CacheTokensUsed int              `json:"cache-tokens-used"`
	Age             basilmoor.Millis `json:"age-ms"` // of the measurement
}

// LaggingLoad reports the load as it was some time ago. It is safe for
// concurrent use.
type LaggingLoad struct {
	*Lagging[Load]
}

// NewLaggingLoad returns the load of an idle target.
func NewLaggingLoad(clock basilmoor.Clock, lag basilmoor.Millis) *LaggingLoad {
	return &LaggingLoad{
		Lagging: NewLagging(clock, lag, Load{}),
	}
}

// ServeHTTP answers GET /v1/load.
func (l *LaggingLoad) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	load, age := l.Report()
	load.Age = age
	WriteJSON(w, http.StatusOK, load)
}
