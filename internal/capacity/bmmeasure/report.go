package bmmeasure

import (
	"fmt"
	"io"
	"strings"
)

// Print writes the series as one Markdown table. It fails if a line can't be
// fitted.
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
			points = append(points, fmt.Sprintf("%.0f: %s", p.Size, number(p.Value)))
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %.0f%% | %.0f | %s | %s |\n", s.Role, s.Cost, s.Size, strings.Join(points, "; "),
			number(line.Slope), number(line.Intercept), 100*line.Spread, s.Target, number(line.At(s.Target)), s.Mechanism)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// number keeps three significant digits or whole numbers.
func number(v float64) string {
	if v >= 1000 || v <= -1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
