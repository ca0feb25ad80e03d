// Package telemetry keeps the metrics of a dispatcher: counters and gauges by class, node and subsystem, closed once
// a period. A Set collects them, a Period is their state at its end, and a Ring buffers periods for receivers.
//
// The package does no I/O and has no clock of its own. A Set belongs to the goroutine of the dispatcher's event loop;
// nothing here may be called from another. Package exporter delivers periods, package spool stores them.
package telemetry

import (
	"fmt"
	"math"
	"strings"
)

// Kind is the kind of a series.
type Kind uint8

// The kinds.
const (
	Counter Kind = iota // a total that only grows, across restarts of the process if the last total is known
	Gauge               // the value at the end of the period, or over it
)

// String returns the kind's name.
func (k Kind) String() string { return [...]string{"counter", "gauge"}[k] }

// Series is a metric as receivers see it.
type Series struct {
	Name string `json:"Name"` // path of letters, digits, _ and -, separated by dots
	Kind Kind   `json:"Kind"`
}

// SeriesDoc describes a series, or all series of a pattern, in which <...> stands for a varying part.
type SeriesDoc struct {
	Pattern string
	Kind    Kind
	Unit    string
	Help    string
}

// SeriesTable lists the series of a process by index. It only grows, so that the indices in buffered periods stay
// valid.
type SeriesTable struct{ series []Series }

// Len returns the number of series.
func (t *SeriesTable) Len() int { return len(t.series) }

// Series returns the series with index i.
func (t *SeriesTable) Series(i int) Series { return t.series[i] }

// From returns the series from index i on.
func (t *SeriesTable) From(i int) []Series { return t.series[i:] }

// Append adds series at the end.
func (t *SeriesTable) Append(s ...Series) { t.series = append(t.series, s...) }

// SanitizeName replaces every character other than letters, digits, _ and - by _, since all receivers accept only
// these in a path element.
func SanitizeName(name string) string {
	if name == "" {
		return "_"
	}
	return strings.Map(func(r rune) rune {
		isLetter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		isDigit := r >= '0' && r <= '9'
		if isLetter || isDigit || r == '_' || r == '-' {
			return r
		}
		return '_'
	}, name)
}

// SanitizeNames sanitizes sibling names; equal results get the suffixes _2, _3 in order.
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

// noValue marks a series without a value in a period, such as a latency without answers.
var noValue = math.NaN()
