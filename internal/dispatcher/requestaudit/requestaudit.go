// Package audit compares what a dispatcher's request log says with what a receiver of its figures has got: for each
// dispatcher, class and verdict, the lines of the log against the growth of the total. They must be equal.
package requestaudit

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"cinderroad/internal/dispatcher/requestlog"
	"cinderroad/internal/dispatcher/telemetry"
)

// Key names a total.
type Key struct{ Dispatcher, Class, Verdict string }

// Row is one total, by both.
type Row struct {
	Key
	Logged, Received uint64
}

// Audit are what was read so far.
type Audit struct {
	LogLines, MetricPoints int
	Malformed              []string // places that make no sense, the first ones
	MalformedCount         int

	logged map[Key]uint64
	points map[Key][]point
}

type point struct {
	time  float64
	value float64
	line  int // the place in the file: the last one of a stamp counts
}

const maxMalformed = 20

// New begins an audit.
func New() *Audit { return &Audit{logged: map[Key]uint64{}, points: map[Key][]point{}} }

func (b *Audit) addMalformed(format string, a ...any) {
	if b.MalformedCount++; len(b.Malformed) < maxMalformed {
		b.Malformed = append(b.Malformed, fmt.Sprintf(format, a...))
	}
}

// ReadRequestLog reads a request log; name is for messages.
func (b *Audit) ReadRequestLog(name string, r io.Reader) error {
	return requestlog.Read(r, func(l requestlog.Line) {
		if _, ok := telemetry.ParseVerdict(l.Verdict); !ok {
			b.addMalformed("%s: verdict %q of job %q", name, l.Verdict, l.ID)
			return
		}
		b.LogLines++
		b.logged[Key{telemetry.SanitizeName(l.Dispatcher), l.Class, l.Verdict}]++
	}, func(n int, err error) { b.addMalformed("%s:%d: %v", name, n, err) })
}

// ReadMetrics reads what a receiver has got: lines as Graphite takes them (PATH VALUE TIME) or as collectd does (PUTVAL). Series
// that count no answers are passed over.
func (b *Audit) ReadMetrics(name string, r io.Reader) error {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 64<<10), 1<<20)
	for n := 1; in.Scan(); n++ {
		line := in.Text()
		if line == "" {
			continue
		}
		key, at, v, err := parsePoint(line)
		if err != nil {
			b.addMalformed("%s:%d: %v", name, n, err)
			continue
		}
		if b.MetricPoints++; key != (Key{}) {
			b.points[key] = append(b.points[key], point{at, v, n})
		}
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("audit: %s: %w", name, err)
	}
	return nil
}

func parsePoint(line string) (key Key, at, v float64, err error) {
	if rest, ok := strings.CutPrefix(line, "PUTVAL "); ok {
		return parsePutval(rest)
	}
	f := strings.Fields(line)
	if len(f) != 3 {
		return key, 0, 0, fmt.Errorf("%d fields, not PATH VALUE TIME", len(f))
	}
	if v, err = strconv.ParseFloat(f[1], 64); err == nil {
		at, err = strconv.ParseFloat(f[2], 64)
	}
	if err != nil {
		return key, 0, 0, err
	}
	parts := strings.Split(f[0], ".")
	if n := len(parts); n >= 5 && parts[n-4] == "classes" && parts[n-2] == "answers" {
		key = Key{parts[n-5], parts[n-3], parts[n-1]}
	}
	return key, at, v, nil
}

// parsePutval reads the rest of a PUTVAL line; dots of names have become _ there.
func parsePutval(rest string) (key Key, at, v float64, err error) {
	id, rest, ok := strings.Cut(strings.TrimPrefix(rest, `"`), `"`)
	host, series, ok2 := strings.Cut(id, "/")
	values := rest[strings.LastIndexByte(rest, ' ')+1:]
	stamp, value, ok3 := strings.Cut(values, ":")
	if !ok || !ok2 || !ok3 {
		return key, 0, 0, fmt.Errorf("no PUTVAL line")
	}
	if at, err = strconv.ParseFloat(stamp, 64); err == nil {
		v, err = strconv.ParseFloat(value, 64)
	}
	if err != nil {
		return key, 0, 0, err
	}
	if name, ok := strings.CutPrefix(series, "cinderroad/derive-classes_"); ok {
		for verdict := range telemetry.NumVerdicts {
			if class, ok := strings.CutSuffix(name, "_answers_"+verdict.String()); ok {
				return Key{host, class, verdict.String()}, at, v, nil
			}
		}
	}
	return key, at, v, nil
}

// increase is by how much a total has grown, from 0 on. One that falls has begun anew.
func increase(points []point) (sum float64) {
	slices.SortFunc(points, func(x, y point) int { return cmp.Or(cmp.Compare(x.time, y.time), cmp.Compare(x.line, y.line)) })
	last := 0.0
	for i, p := range points {
		if i+1 < len(points) && points[i+1].time == p.time {
			continue
		}
		if p.value < last {
			last = 0
		}
		sum += p.value - last
		last = p.value
	}
	return sum
}

// Compare compares. Totals that both have as 0 are left out.
func (b *Audit) Compare() (rows []Row) {
	all := map[Key]Row{}
	for key, n := range b.logged {
		all[key] = Row{Key: key, Logged: n}
	}
	for key, points := range b.points {
		if n := uint64(increase(points)); n > 0 {
			row := all[key]
			row.Key, row.Received = key, n
			all[key] = row
		}
	}
	rows = slices.Collect(maps.Values(all))
	slices.SortFunc(rows, func(x, y Row) int {
		return cmp.Or(cmp.Compare(x.Dispatcher, y.Dispatcher), cmp.Compare(x.Class, y.Class), cmp.Compare(x.Verdict, y.Verdict))
	})
	return rows
}

// TotalDifference is how many answers the two sides do not agree on.
func TotalDifference(rows []Row) (sum uint64) {
	for _, r := range rows {
		sum += max(r.Logged, r.Received) - min(r.Logged, r.Received)
	}
	return sum
}

// WriteTable writes the comparison as a table.
func (b *Audit) WriteTable(w io.Writer) error {
	rows := b.Compare()
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "dispatcher\tclass\tverdict\tlogged\treceived\tdifference\t")
	var logged, received uint64
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t\n", r.Dispatcher, r.Class, r.Verdict, r.Logged, r.Received, int64(r.Received)-int64(r.Logged))
		logged, received = logged+r.Logged, received+r.Received
	}
	fmt.Fprintf(t, "all\t\t\t%d\t%d\t%d\t\n", logged, received, int64(received)-int64(logged))
	if err := t.Flush(); err != nil {
		return fmt.Errorf("audit: %w", err)
	}
	for _, place := range b.Malformed {
		fmt.Fprintln(w, "makes no sense:", place)
	}
	if more := b.MalformedCount - len(b.Malformed); more > 0 {
		fmt.Fprintf(w, "and %d more\n", more)
	}
	return nil
}
