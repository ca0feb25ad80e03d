package requestaudit

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Key identifies a counter of answers.
type Key struct{ Dispatcher, Class, Verdict string }

// Row compares one counter.
type Row struct {
	Key
	Logged, Received uint64
}

// increase returns the total increase of a counter, from 0 on; a decrease counts as a restart from 0. Of several
// points with one time the last one that was read counts. points is sorted in place.
func increase(points []point) (sum float64) {
	slices.SortFunc(points, func(x, y point) int { return cmp.Or(cmp.Compare(x.time, y.time), cmp.Compare(x.order, y.order)) })
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

// Compare returns a row for each counter that either side has, sorted by key; those that are 0 on both sides are
// omitted.
func (a *Audit) Compare() (rows []Row) {
	all := map[Key]Row{}
	for key, n := range a.logged {
		all[key] = Row{Key: key, Logged: n}
	}
	for key, points := range a.points {
		if n := uint64(increase(points)); n > 0 {
			row := all[key]
			row.Key = key
			row.Received = n
			all[key] = row
		}
	}
	rows = slices.Collect(maps.Values(all))
	slices.SortFunc(rows, func(x, y Row) int {
		return cmp.Or(cmp.Compare(x.Dispatcher, y.Dispatcher), cmp.Compare(x.Class, y.Class), cmp.Compare(x.Verdict, y.Verdict))
	})
	return rows
}

// TotalDifference returns the sum of the absolute differences.
func TotalDifference(rows []Row) (sum uint64) {
	for _, r := range rows {
		sum += max(r.Logged, r.Received) - min(r.Logged, r.Received)
	}
	return sum
}

// WriteTable writes the comparison as a table, followed by the malformed input.
func (a *Audit) WriteTable(w io.Writer) error {
	rows := a.Compare()
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "dispatcher\tclass\tverdict\tlogged\treceived\tdifference\t")
	var logged, received uint64
	for _, r := range rows {
		difference := int64(r.Received) - int64(r.Logged)
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t\n", r.Dispatcher, r.Class, r.Verdict, r.Logged, r.Received, difference)
		logged += r.Logged
		received += r.Received
	}
	fmt.Fprintf(t, "all\t\t\t%d\t%d\t%d\t\n", logged, received, int64(received)-int64(logged))
	if err := t.Flush(); err != nil {
		return fmt.Errorf("audit: %w", err)
	}
	for _, place := range a.Malformed {
		fmt.Fprintln(w, "malformed:", place)
	}
	if more := a.MalformedCount - len(a.Malformed); more > 0 {
		fmt.Fprintf(w, "and %d more\n", more)
	}
	return nil
}
