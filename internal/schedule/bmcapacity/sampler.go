package bmcapacity

import "basilmoor.example/basilmoor"

const (
	// SamplePeriod is the time after which a host reports progress even if
	// the speed has not changed.
	SamplePeriod = 4 * basilmoor.Second

	// sampleIntervals is the number of token intervals that a change of speed
	// is judged by. The shortest of them counts: the prompts of other requests
	// make single steps of an engine longer, never shorter.
	sampleIntervals = 3

	// sampleChange is the factor between the shortest interval and the
	// reported one from which a change is reported at once.
	sampleChange = 1.8
)

// Sample is a point of a stream that is to be reported as StageProgress.
type Sample struct {
	Tokens  int
	Elapsed basilmoor.Millis
}

// Sampler decides which progress an entry host reports of one target. It
// follows one stream at a time, since all streams of a target run at the same
// speed, and reports within a few token intervals when the speed changes, else
// rarely. It is not safe for concurrent use.
type Sampler struct {
	stream   basilmoor.RequestID
	points   []Sample         // the last ones, at most sampleIntervals+1
	interval basilmoor.Millis // shortest one at the last report, 0 if unknown
	reported basilmoor.Millis
}

// Token takes note of a received token and returns what is to be reported now,
// in order: two points that bound the shortest of the last intervals. Streams
// other than the followed one are ignored.
func (s *Sampler) Token(now basilmoor.Millis, stream basilmoor.RequestID, p Sample) []Sample {
	if s.stream == "" {
		s.stream = stream
		s.points = s.points[:0]
	}
	if s.stream != stream {
		return nil
	}
	s.points = append(s.points, p)
	if len(s.points) <= sampleIntervals {
		return nil
	}
	s.points = s.points[len(s.points)-sampleIntervals-1:]
	shortest, interval := s.shortest()
	slower := float64(interval) > sampleChange*float64(s.interval)
	faster := float64(s.interval) > sampleChange*float64(interval)
	if !slower && !faster && now-s.reported < SamplePeriod {
		return nil
	}
	s.interval = interval
	s.reported = now
	return []Sample{s.points[shortest], s.points[shortest+1]}
}

// shortest returns the shortest interval and the index of its first point.
func (s *Sampler) shortest() (index int, interval basilmoor.Millis) {
	for i := range sampleIntervals {
		d := max(s.points[i+1].Elapsed-s.points[i].Elapsed, 1)
		if i == 0 || d < interval {
			index = i
			interval = d
		}
	}
	return index, interval
}

// End takes note of the end of a stream.
func (s *Sampler) End(stream basilmoor.RequestID) {
	if s.stream == stream {
		s.stream = ""
	}
}
