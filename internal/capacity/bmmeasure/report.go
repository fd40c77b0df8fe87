package bmmeasure

import (
	"fmt"
	"io"
	"strings"
)

// Print writes the series as a Markdown table. It fails if a series has too few
// sizes for a line.
func Print(w io.Writer, list []Series) error {
	var b strings.Builder
	b.WriteString("| role | cost | over | measured (size: value) | slope | at 0 | spread | target size | at target | mechanism |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|\n")
	for _, s := range list {
		line, err := s.Fit()
		if err != nil {
			return err
		}
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%.0f: %s", p.Size, formatValue(p.Value)))
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %.0f%% | %.0f | %s | %s |\n", s.Role, s.Cost, s.Size, strings.Join(points, "; "),
			formatValue(line.Slope), formatValue(line.Intercept), 100*line.MaxRelativeDeviation, s.DesignSize, formatValue(line.At(s.DesignSize)), s.Mechanism)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// formatValue formats values of magnitude 1000 or more as whole numbers and
// others with three significant digits.
func formatValue(v float64) string {
	if v >= 1000 || v <= -1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
