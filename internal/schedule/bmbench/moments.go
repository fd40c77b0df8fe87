package bmbench

// crests returns the demand swings: 1.6 times the capacity for six seconds.
func crests() []window {
	var crests []window
	for _, from := range []micros{20, 50, 78, 110, 140, 168} {
		crests = append(crests, window{
			from:   from * second,
			to:     (from + 6) * second,
			factor: 1.6,
		})
	}
	return crests
}

// slowMoments returns the periods during which a third of the targets is four
// times slower. Every third one falls into a crest.
func slowMoments() []window {
	var moments []window
	for _, from := range []micros{36, 66, 80, 126, 156, 170} {
		moments = append(moments, window{
			from:   from * second,
			to:     (from + 4) * second,
			factor: 4,
		})
	}
	return moments
}

// longCrest returns a single crest of 1.5 times the capacity for ten seconds,
// longer than the time that any kind of request but the slowest may wait.
func longCrest() []window {
	return []window{
		{
			from:   50 * second,
			to:     60 * second,
			factor: 1.5,
		},
	}
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
