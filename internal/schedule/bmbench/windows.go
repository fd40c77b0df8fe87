package bmbench

// equalWindows returns windows of the same length and factor that begin at the
// given seconds.
func equalWindows(length micros, factor float64, from ...micros) []window {
	var all []window
	for _, at := range from {
		all = append(all, window{
			from:   at * second,
			to:     at*second + length,
			factor: factor,
		})
	}
	return all
}

// shortPeaks returns demand peaks of 1.6 times the capacity for six seconds
// each.
func shortPeaks() []window {
	return equalWindows(6*second, 1.6, 20, 50, 78, 110, 140, 168)
}

// slowPeriods returns the periods during which a third of the targets is four
// times slower. Every third one falls into a demand peak.
func slowPeriods() []window {
	return equalWindows(4*second, 4, 36, 66, 80, 126, 156, 170)
}

// longPeak returns a single demand peak of 1.5 times the capacity for ten
// seconds, longer than any kind of requests but the most patient may wait.
func longPeak() []window {
	return equalWindows(10*second, 1.5, 50)
}

// WithLongPeak returns a copy of the deployment with one long demand peak in
// place of the short ones and without slow targets.
func (d *Deployment) WithLongPeak() *Deployment {
	changed := *d
	changed.Name = d.Name + "-long-crest"
	changed.arrivalPeriod = 75 * second
	changed.peaks = longPeak()
	changed.slowWindows = nil
	return &changed
}
