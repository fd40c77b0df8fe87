package bmbench

// windows returns windows of one length and factor that begin at the given
// seconds.
func windows(length micros, factor float64, from ...micros) []window {
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

// crests returns the demand swings: 1.6 times the capacity for six seconds.
func crests() []window {
	return windows(6*second, 1.6, 20, 50, 78, 110, 140, 168)
}

// slowMoments returns the periods during which a third of the targets is four
// times slower. Every third one falls into a crest.
func slowMoments() []window {
	return windows(4*second, 4, 36, 66, 80, 126, 156, 170)
}

// longCrest returns a single crest of 1.5 times the capacity for ten seconds,
// longer than the time that any kind of request but the slowest may wait.
func longCrest() []window {
	return windows(10*second, 1.5, 50)
}

// WithLongCrest returns the deployment with one long crest in place of the
// short ones, and without slow targets.
func (d *Deployment) WithLongCrest() *Deployment {
	changed := *d
	changed.Name = d.Name + "-long-crest"
	changed.length = 75 * second
	changed.crests = longCrest()
	changed.slow = nil
	return &changed
}
