package bmslope

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a line that is fitted to too few distinct sizes, and against a
// spread that doesn't show a measurement far from the line.
func TestFit(t *testing.T) {
	tests := map[string]struct {
		points []Point
		want   Line
		sizes  int // distinct sizes that the error reports, 0 for success
	}{
		"exact": {
			points: points(1, 3, 2, 5, 3, 7, 4, 9),
			want: Line{
				Slope:     2,
				Intercept: 1,
			},
		},
		"constant": {
			points: points(1, 5, 2, 5, 3, 5, 4, 5),
			want: Line{
				Intercept: 5,
			},
		},
		"outlier": {
			points: points(1, 0, 2, 0, 3, 0, 4, 10),
			want: Line{
				Slope:                3,
				Intercept:            -5,
				MaxRelativeDeviation: 0.4,
			},
		},
		"same size repeated": {
			points: points(1, 3, 1, 3, 2, 4, 3, 5),
			sizes:  3,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			line, err := Fit(tt.points)
			if tt.sizes > 0 {
				var few *TooFewSizesError
				require.True(t, errors.As(err, &few))
				require.Equal(t, tt.sizes, few.Sizes)
				return
			}
			require.NoError(t, err)
			require.InDelta(t, tt.want.Slope, line.Slope, 1e-9)
			require.InDelta(t, tt.want.Intercept, line.Intercept, 1e-9)
			require.InDelta(t, tt.want.MaxRelativeDeviation, line.MaxRelativeDeviation, 1e-9)
		})
	}
}

func points(values ...float64) []Point {
	var list []Point
	for i := 0; i < len(values); i += 2 {
		list = append(list, Point{
			Size:  values[i],
			Value: values[i+1],
		})
	}
	return list
}
