// Package requestaudit compares a dispatcher's request log with the metrics that a receiver got: for each dispatcher,
// class and verdict, the number of lines in the log against the increase of the counter. They must be equal.
//
// An Audit reads any number of files of both kinds, in any order; only of points with the same time the one that is read
// last counts, so that files of one receiver should be read from the oldest on. It isn't safe for concurrent use.
package requestaudit

import (
	"bufio"
	"fmt"
	"io"

	"cinderroad/internal/dispatcher/requestlog"
	"cinderroad/internal/dispatcher/telemetry"
)

// Audit collects what was read so far.
type Audit struct {
	LogLines, MetricPoints int
	Malformed              []string // descriptions of malformed input, at most maxMalformed
	MalformedCount         int

	logged map[Key]uint64
	points map[Key][]point
}

// point is a value of a counter.
type point struct {
	time  float64
	value float64
	order int // in which points were read, over all files; the last point of a time counts
}

// maxMalformed bounds the descriptions kept; all are counted.
const maxMalformed = 20

// The scanner's buffer, in bytes; a longer line is an error.
const (
	initialLineBytes = 64 << 10
	maxLineBytes     = 1 << 20
)

// New returns an audit that has read nothing.
func New() *Audit { return &Audit{logged: map[Key]uint64{}, points: map[Key][]point{}} }

func (a *Audit) addMalformed(format string, args ...any) {
	a.MalformedCount++
	if len(a.Malformed) < maxMalformed {
		a.Malformed = append(a.Malformed, fmt.Sprintf(format, args...))
	}
}

// ReadRequestLog reads a request log; name identifies it in messages. Malformed lines are recorded and skipped.
func (a *Audit) ReadRequestLog(name string, r io.Reader) error {
	return requestlog.Read(r, func(l requestlog.Line) {
		if _, ok := telemetry.ParseVerdict(l.Verdict); !ok {
			a.addMalformed("%s: verdict %q of job %q", name, l.Verdict, l.ID)
			return
		}
		a.LogLines++
		a.logged[Key{telemetry.SanitizeName(l.Dispatcher), l.Class, l.Verdict}]++
	}, func(n int, err error) { a.addMalformed("%s:%d: %v", name, n, err) })
}

// ReadMetrics reads what a receiver got: lines for Graphite (PATH VALUE TIME) or collectd (PUTVAL). Other series than
// counters of answers are skipped, malformed lines are recorded and skipped.
func (a *Audit) ReadMetrics(name string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, initialLineBytes), maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		line := scanner.Text()
		if line == "" {
			continue
		}
		key, p, err := parsePoint(line)
		if err != nil {
			a.addMalformed("%s:%d: %v", name, number, err)
			continue
		}
		a.MetricPoints++
		if key != (Key{}) {
			p.order = a.MetricPoints
			a.points[key] = append(a.points[key], p)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("audit: %s: %w", name, err)
	}
	return nil
}
