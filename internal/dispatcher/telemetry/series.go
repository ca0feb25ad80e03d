// Package telemetry keeps the figures of a dispatcher: totals and gauges by class, node and part of the program, closed
// once a period. It does no I/O, has no clock of its own, and belongs to the goroutine of the core that it observes.
// What leaves the process, and how, is the business of package metrics.
package telemetry

import (
	"fmt"
	"math"
	"strings"
)

// Kind says how a series behaves.
type Kind uint8

// The kinds.
const (
	Counter Kind = iota // a running total that only grows; it goes on where the life before it ended, if that is known
	Gauge               // the value as of the end of the period, or over it
)

// String is the kind as the list of figures shows it.
func (k Kind) String() string { return [...]string{"counter", "gauge"}[k] }

// Series is one figure as receivers know it.
type Series struct {
	Name string `json:"Name"` // parts of letters, digits, _ and -, between dots
	Kind Kind   `json:"Kind"`
}

// SeriesDoc describes a series, or many of one pattern: what stands in <> varies.
type SeriesDoc struct {
	Pattern string
	Kind    Kind
	Unit    string
	Help    string
}

// SeriesTable is the series of a process by number. It only grows, so that a period can name its values for as long as it is
// held.
type SeriesTable struct{ series []Series }

// Len is how many series there are.
func (t *SeriesTable) Len() int { return len(t.series) }

// Series is the series of a number.
func (t *SeriesTable) Series(i int) Series { return t.series[i] }

// From returns the series from number i on.
func (t *SeriesTable) From(i int) []Series { return t.series[i:] }

// Append adds series to the end.
func (t *SeriesTable) Append(s ...Series) { t.series = append(t.series, s...) }

// SanitizeName keeps a name to what all receivers take as one part of a path: letters, digits, _ and -.
func SanitizeName(name string) string {
	if name == "" {
		return "_"
	}
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' || r == '-' {
			return r
		}
		return '_'
	}, name)
}

// SanitizeNames cleans names that stand beside each other: those that come out equal get _2, _3 by their order.
func SanitizeNames(names []string) []string {
	out, seen := make([]string, len(names)), map[string]bool{}
	for i, name := range names {
		clean := SanitizeName(name)
		out[i] = clean
		for n := 2; seen[out[i]]; n++ {
			out[i] = fmt.Sprintf("%s_%d", clean, n)
		}
		seen[out[i]] = true
	}
	return out
}

// noValue is the value of a series that has none this period, such as a latency without answers.
var noValue = math.NaN()
