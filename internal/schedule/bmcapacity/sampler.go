package bmcapacity

import "basilmoor.example/basilmoor"

const (
	// SamplePeriod is the maximum time between progress reports of a stream whose
	// inter-token latency does not change.
	SamplePeriod = 4 * basilmoor.Second

	// intervalWindow is the number of recent token intervals that are used to
	// detect a change of latency. Their minimum is used, because the prompts of
	// other requests make single steps of an engine longer, never shorter.
	intervalWindow = 3

	// changeFactor is the ratio between the shortest interval and the last
	// reported one, in either direction, above which a change is reported
	// immediately.
	changeFactor = 1.8
)

// Sample is a position in a token stream, reported as StageProgress.
type Sample struct {
	Tokens  int
	Elapsed basilmoor.Millis
}

// Sampler selects the progress reports that an entry host sends about one target.
// It follows one stream at a time, since all streams of a target have the same
// inter-token latency. It reports a change of latency within a few token
// intervals, and otherwise once per SamplePeriod. It is not safe for concurrent
// use.
type Sampler struct {
	stream     basilmoor.RequestID
	points     []Sample         // the most recent ones, at most intervalWindow+1
	interval   basilmoor.Millis // shortest interval at the last report, 0 if unknown
	lastReport basilmoor.Millis
}

// RecordToken records a received token and returns the samples to report now:
// none, or the start and the end of the shortest recent interval, in this
// order. Streams other than the followed one are ignored.
func (s *Sampler) RecordToken(now basilmoor.Millis, stream basilmoor.RequestID, p Sample) []Sample {
	if s.stream == "" {
		s.stream = stream
		s.points = s.points[:0]
	}
	if s.stream != stream {
		return nil
	}
	s.points = append(s.points, p)
	if len(s.points) <= intervalWindow {
		return nil
	}
	s.points = s.points[len(s.points)-intervalWindow-1:]
	shortest, interval := s.shortest()
	slower := float64(interval) > changeFactor*float64(s.interval)
	faster := float64(s.interval) > changeFactor*float64(interval)
	if !slower && !faster && now-s.lastReport < SamplePeriod {
		return nil
	}
	s.interval = interval
	s.lastReport = now
	return []Sample{s.points[shortest], s.points[shortest+1]}
}

// shortest returns the shortest recent interval and the index of its first
// sample.
func (s *Sampler) shortest() (index int, interval basilmoor.Millis) {
	for i := range intervalWindow {
		d := max(s.points[i+1].Elapsed-s.points[i].Elapsed, 1)
		if i == 0 || d < interval {
			index = i
			interval = d
		}
	}
	return index, interval
}

// EndStream records the end of a stream.
func (s *Sampler) EndStream(stream basilmoor.RequestID) {
	if s.stream == stream {
		s.stream = ""
	}
}
