// This file implements the tables of measurements in Markdown.

package slopes

import (
	"fmt"
	"math"
	"strings"
)

// Markdown returns a table of the fits and, below it, one of the points.
func (r Report) Markdown() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s, %d processors, load average %.1f at the beginning.\n\n", r.Go, r.Processors, r.Load)
	text.WriteString("| measurement | cost | driver | at zero | slope | residual |\n")
	text.WriteString("|---|---|---|---:|---:|---:|\n")
	for _, measured := range r.Measurements {
		fmt.Fprintf(&text, "| %s | %s | %s | %s |\n", measured.Name, measured.Cost, measured.Driver, fitText(measured))
	}
	text.WriteString("\n| measurement | size: value |\n|---|---|\n")
	for _, measured := range r.Measurements {
		fmt.Fprintf(&text, "| %s | %s |\n", measured.Name, pointsText(measured.Points))
	}
	return text.String()
}

func fitText(measured Measurement) string {
	if measured.Fit == nil {
		return fmt.Sprintf("at most %s | |", figure(measured.Largest()))
	}
	fitted := measured.Fit
	return fmt.Sprintf("%s | %s | %.1f%%", figure(fitted.Intercept), figure(fitted.Slope), fitted.Residual*100)
}

func pointsText(points []Point) string {
	parts := make([]string, 0, len(points))
	for _, point := range points {
		parts = append(parts, fmt.Sprintf("%s: %s", figure(point.Size), figure(point.Value)))
	}
	return strings.Join(parts, "; ")
}

// figure writes a number with about four significant figures.
func figure(value float64) string {
	magnitude := math.Abs(value)
	switch {
	case magnitude >= 1000 || value == math.Trunc(value):
		return grouped(int64(math.Round(value)))
	case magnitude >= 10:
		return fmt.Sprintf("%.1f", value)
	case magnitude >= 0.1:
		return fmt.Sprintf("%.2f", value)
	}
	return fmt.Sprintf("%.2g", value)
}

// grouped writes a number with commas between thousands.
func grouped(value int64) string {
	digits := fmt.Sprint(value)
	sign := ""
	if value < 0 {
		sign, digits = "-", digits[1:]
	}
	for position := len(digits) - 3; position > 0; position -= 3 {
		digits = digits[:position] + "," + digits[position:]
	}
	return sign + digits
}
