package telemetry

import (
	"math"

	"cinderroad/loadbalancer"
)

// Options configure a Set.
type Options struct {
	Settings loadbalancer.Settings
	Classes  []string // by number in the settings, as are Zones and Kinds
	Zones    []string
	Kinds    []string
	MaxNodes int // nodes with series at one time; 0: none
	// WorkerStatus returns the load balancer's state of a worker for the series of its node; nil: none.
	WorkerStatus func(worker loadbalancer.WorkerID) (loadbalancer.WorkerStatus, bool)
	Now          func() float64 // event loop's clock in seconds, for the age of reports; nil: no ages
	Log          func(line string)
}

// Set is the metrics of one dispatcher. It implements dispatch.Observer.
//
// A period is closed by FreezePeriod and EncodePeriod; ClosePeriod does both.
type Set struct {
	options           Options
	table             *SeriesTable
	seriesDocs        []SeriesDoc
	describedPatterns map[string]bool // patterns in seriesDocs
	counters          map[string]int  // index by name
	values            []float64
	frozen            []float64 // values of the period being encoded
	encoded           int       // number of these already encoded
	encoding          *Period
	polled            []polledSeries
	pending           map[string]float64 // totals of an earlier process for series that don't exist yet
	lastDelta         map[int]float64    // counters at the last TakeDelta

	classes          []classSeries // the last one is for jobs of unknown classes
	drains           struct{ started, honoured, violated, margin int }
	leastDrainMargin float64 // of the open period in milliseconds; noValue without a drain
	nodes            nodes
}

// polledSeries is a series whose value is kept elsewhere.
type polledSeries struct {
	index int
	value func() float64
	base  float64 // total of earlier processes
}

// New returns a Set without node series.
func New(o Options) *Set {
	if o.Log == nil {
		o.Log = func(string) {}
	}
	s := &Set{
		options:           o,
		table:             &SeriesTable{},
		describedPatterns: map[string]bool{},
		counters:          map[string]int{},
		pending:           map[string]float64{},
		lastDelta:         map[int]float64{},
		leastDrainMargin:  noValue,
	}
	s.addClasses()
	s.addDrains()
	s.addNodes()
	return s
}

// Table returns the series added so far; it grows with the Set.
func (s *Set) Table() *SeriesTable { return s.table }

// Docs returns the patterns of all series that exist or may come to exist, in the order of their addition.
func (s *Set) Docs() []SeriesDoc { return s.seriesDocs }

func (s *Set) describe(d SeriesDoc) {
	if !s.describedPatterns[d.Pattern] {
		s.describedPatterns[d.Pattern] = true
		s.seriesDocs = append(s.seriesDocs, d)
	}
}

// add adds a series and returns its index. A counter continues an earlier process's total.
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

// AddFunc adds a series whose value get returns at the end of each period; NaN stands for no value. A counter must
// return the count since the start of the process.
func (s *Set) AddFunc(d SeriesDoc, get func() float64) {
	s.describe(d)
	i := s.add(d.Pattern, d.Kind)
	r := polledSeries{index: i, value: get}
	if d.Kind == Counter {
		r.base = s.values[i]
	}
	s.polled = append(s.polled, r)
}

// poll reads the polled series.
func (s *Set) poll() {
	for _, r := range s.polled {
		s.values[r.index] = r.base + r.value()
	}
}

// ClosePeriod closes the open period and returns it. timestamp is Unix time in milliseconds, interval in seconds.
func (s *Set) ClosePeriod(timestamp int64, interval float64) *Period {
	s.FreezePeriod(timestamp, interval)
	return s.EncodePeriod(math.MaxInt32)
}

// FreezePeriod closes the open period; what is observed from now on belongs to the next. The previous period must be
// encoded.
func (s *Set) FreezePeriod(timestamp int64, interval float64) {
	s.poll()
	s.forEachHistogram(func(_ string, l *histogram) { l.writeQuantiles(s.values) })
	s.values[s.drains.margin] = s.leastDrainMargin
	s.leastDrainMargin = noValue
	for s.GatherNodeGauges(math.MaxInt32) {
	}
	s.nodes.gatheredSlots = 0
	s.frozen = append(s.frozen[:0], s.values...)
	s.encoded = 0
	s.encoding = &Period{
		Timestamp:     timestamp,
		Interval:      interval,
		Table:         s.table,
		EncodedValues: appendCount(make([]byte, 0, 2*len(s.values)), len(s.values)),
	}
}

// EncodePeriod encodes at most that many values of the frozen period, and returns it once it is complete, else nil.
func (s *Set) EncodePeriod(limit int) *Period {
	end := min(s.encoded+limit, len(s.frozen))
	s.encoding.EncodedValues = appendValues(s.encoding.EncodedValues, s.frozen[s.encoded:end])
	s.encoded = end
	if end < len(s.frozen) {
		return nil
	}
	return s.encoding
}

// forEachHistogram calls a function for each latency histogram.
func (s *Set) forEachHistogram(do func(name string, l *histogram)) {
	for i := range s.classes {
		c := &s.classes[i]
		do(c.name+".latency", &c.latency)
		do(c.name+".start_wait", &c.startWait)
	}
}
