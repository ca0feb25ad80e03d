package telemetry

import (
	"math"

	"cinderroad/loadbalancer"
)

// Options say what a Set tells of.
type Options struct {
	Settings loadbalancer.Settings
	Classes  []string // names by the settings' numbers, as are the next two
	Zones    []string
	Kinds    []string
	MaxNodes int // nodes that have series of their own at one time, at most; 0 is none
	// WorkerStatus tells what the decisions hold of a worker, for the series of its node; nil is nothing.
	WorkerStatus func(worker loadbalancer.WorkerID) (loadbalancer.WorkerStatus, bool)
	Now          func() float64 // the core's clock, for the age of reports; nil leaves ages out
	Log          func(line string)
}

// Set is the figures of one dispatcher. It implements dispatch.Observer.
type Set struct {
	options           Options
	table             *SeriesTable
	seriesDocs        []SeriesDoc
	describedPatterns map[string]bool // patterns in docs
	counters          map[string]int  // of counters
	values            []float64
	frozen            []float64 // values of the period that is being encoded
	encoded           int       // how many of them are
	encoding          *Period
	polled            []polledSeries
	pending           map[string]float64 // totals of an earlier life whose series has not come up yet
	lastDelta         map[int]float64    // counters as of the last Delta

	classes          []classSeries // the last one is for jobs of a class that nobody knows
	drains           struct{ told, honoured, broken, margin int }
	leastDrainMargin float64 // the least of the period; absent without a drain
	nodes            nodes
}

// polledSeries is a figure that is kept elsewhere.
type polledSeries struct {
	series int
	value  func() float64
	base   float64 // what lives before this one had counted
}

// New makes a Set.
func New(o Options) *Set {
	if o.Log == nil {
		o.Log = func(string) {}
	}
	s := &Set{options: o, table: &SeriesTable{}, describedPatterns: map[string]bool{}, counters: map[string]int{}, pending: map[string]float64{},
		lastDelta: map[int]float64{}, leastDrainMargin: noValue}
	s.addClasses()
	s.addDrains()
	s.addNodes()
	return s
}

// Table is the series so far.
func (s *Set) Table() *SeriesTable { return s.table }

// Docs are the patterns of all series that there are or can be, in the order in which they were added.
func (s *Set) Docs() []SeriesDoc { return s.seriesDocs }

func (s *Set) describe(d SeriesDoc) {
	if !s.describedPatterns[d.Pattern] {
		s.describedPatterns[d.Pattern] = true
		s.seriesDocs = append(s.seriesDocs, d)
	}
}

// add makes a series, of which an earlier life may have had the total.
func (s *Set) add(name string, kind Kind) int {
	i := s.table.Len()
	s.table.Append(Series{Name: name, Kind: kind})
	s.values = append(s.values, 0)
	if kind == Counter {
		s.counters[name] = i
		s.values[i] = s.pending[name]
		delete(s.pending, name)
	} else {
		s.values[i] = noValue
	}
	return i
}

// AddFunc adds a figure that is kept elsewhere and asked for at the end of each period; one that is not a number is left out.
// A counter is asked for what was counted since the start of the process.
func (s *Set) AddFunc(d SeriesDoc, get func() float64) {
	s.describe(d)
	i := s.add(d.Pattern, d.Kind)
	r := polledSeries{series: i, value: get}
	if d.Kind == Counter {
		r.base = s.values[i]
	}
	s.polled = append(s.polled, r)
}

// poll asks for the figures that are kept elsewhere.
func (s *Set) poll() {
	for _, r := range s.polled {
		s.values[r.series] = r.base + r.value()
	}
}

// ClosePeriod ends a period and returns its values: Freeze and all of Encode at once.
func (s *Set) ClosePeriod(stamp int64, every float64) *Period {
	s.FreezePeriod(stamp, every)
	return s.EncodePeriod(math.MaxInt32)
}

// FreezePeriod ends a period: what is counted from here on is the next one's. Encode must have ended the one before.
func (s *Set) FreezePeriod(stamp int64, every float64) {
	s.poll()
	s.forEachHistogram(func(_ string, l *histogram) { l.writeQuantiles(s.values) })
	s.values[s.drains.margin] = s.leastDrainMargin
	s.leastDrainMargin = noValue
	for s.GatherNodeGauges(math.MaxInt32) {
	}
	s.nodes.gatheredSlots = 0
	s.frozen, s.encoded = append(s.frozen[:0], s.values...), 0
	s.encoding = &Period{Timestamp: stamp, Interval: every, Table: s.table, EncodedValues: appendCount(make([]byte, 0, 2*len(s.values)), len(s.values))}
}

// EncodePeriod writes so many values of the period that was frozen, and returns it once all are written; nil before.
func (s *Set) EncodePeriod(most int) *Period {
	end := min(s.encoded+most, len(s.frozen))
	s.encoding.EncodedValues = appendValues(s.encoding.EncodedValues, s.frozen[s.encoded:end])
	if s.encoded = end; end < len(s.frozen) {
		return nil
	}
	return s.encoding
}

// forEachHistogram goes through all of them.
func (s *Set) forEachHistogram(do func(name string, l *histogram)) {
	for i := range s.classes {
		c := &s.classes[i]
		do(c.name+".latency", &c.latency)
		do(c.name+".start_wait", &c.startWait)
	}
}
