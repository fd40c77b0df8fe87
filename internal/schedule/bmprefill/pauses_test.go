package bmprefill

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// stream returns the longest pause of a stream whose target takes ratio times as long as
// expected, with the scatter of chance.
func stream(rng *rand.Rand, prompts, ratio float64) basilmoor.Millis {
	return basilmoor.Millis(prompts * ratio * (0.8 + 0.4*rng.Float64()))
}

// Guards against a factor that doesn't follow the targets, follows too late, swings, or
// runs away with pauses that have nothing to do with prompts.
func TestPausesFollow(t *testing.T) {
	const prompts = 200.0
	tests := map[string]struct {
		ratios   []float64 // of the streams, 100 each
		min, max float64   // of the factor at the end
	}{
		"no traffic":                           {ratios: nil, min: 1, max: 1},
		"as expected":                          {ratios: []float64{1}, min: 1, max: 1.3},
		"targets become slower":                {ratios: []float64{1, 2}, min: 1.9, max: 2.5},
		"targets become slower and recover":    {ratios: []float64{1, 2, 1, 1, 1}, min: 1, max: 1.35},
		"shorter than expected":                {ratios: []float64{0.4, 0.4, 0.4}, min: 0.4, max: 0.55},
		"pauses that prompts don't explain":    {ratios: []float64{30, 30}, min: maxPauseFactor, max: maxPauseFactor},
		"a slower and a usual period by turns": {ratios: []float64{1, 2, 1, 2, 1, 2}, min: 1.9, max: 2.5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			p := NewPauses()
			for _, ratio := range tt.ratios {
				for range 100 {
					p = p.WithPause(prompts, stream(rng, prompts, ratio))
				}
			}
			require.GreaterOrEqual(t, p.Factor(), tt.min)
			require.LessOrEqual(t, p.Factor(), tt.max)
		})
	}
}

// Guards against two pools that share targets and learn apart, as after a partition: each
// must come to the same factor from its own half of the streams.
func TestTwoOwnersAgree(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 1))
	owners := []Pauses{NewPauses(), NewPauses()}
	for i := range 800 {
		owners[i%2] = owners[i%2].WithPause(200, stream(rng, 200, 1.6))
	}
	require.InEpsilon(t, owners[0].Factor(), owners[1].Factor(), 0.15)
}

// Guards against a limit that keeps a prompt from a target although it harms no stream.
func TestAllows(t *testing.T) {
	learned := NewPauses()
	for range 100 {
		learned = learned.WithPause(100, 1000)
	}
	tests := map[string]struct {
		pauses   Pauses
		expected float64
		maxPause basilmoor.Millis
		want     bool
	}{
		"streams without an objective":       {pauses: NewPauses(), expected: 5000, maxPause: 0, want: true},
		"a short prompt":                     {pauses: NewPauses(), expected: 299, maxPause: 300, want: true},
		"a prompt that makes a stream late":  {pauses: NewPauses(), expected: 301, maxPause: 300, want: false},
		"pauses were longer than expected":   {pauses: learned, expected: 299, maxPause: 300, want: false},
		"short enough for the longer pauses": {pauses: learned, expected: 70, maxPause: 300, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, tt.pauses.Allows(tt.expected, tt.maxPause))
		})
	}
}

// Guards against prompts that wait although no other target would take them better.
func TestClearlySlower(t *testing.T) {
	require.False(t, ClearlySlower(100, 100))
	require.False(t, ClearlySlower(149, 100))
	require.True(t, ClearlySlower(151, 100))
}
