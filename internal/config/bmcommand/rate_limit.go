package bmcommand

import (
	"basilmoor.example/basilmoor"
)

// tokenBucket limits the rate of loads from the weight store.
type tokenBucket struct {
	perMinute int
	burst     int
	tokens    float64
	updatedAt basilmoor.Millis
}

// take reports whether a load may start now and, if so, consumes a token.
func (b *tokenBucket) take(now basilmoor.Millis) bool {
	added := float64(now-b.updatedAt) * float64(b.perMinute) / float64(basilmoor.Minute)
	b.tokens = min(float64(b.burst), b.tokens+added)
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
