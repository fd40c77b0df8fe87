package bmcommand

import (
	"basilmoor.example/basilmoor"
)

// bucket spreads loads to keep to the weight store's rate.
type bucket struct {
	perMinute int
	burst     int
	tokens    float64
	at        basilmoor.Millis
}

// take reports whether a load may start now, and counts it.
func (b *bucket) take(now basilmoor.Millis) bool {
	added := float64(now-b.at) * float64(b.perMinute) / float64(basilmoor.Minute)
	b.tokens = min(float64(b.burst), b.tokens+added)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
