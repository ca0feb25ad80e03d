package receivers

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
)

// Point is one value of a series.
type Point struct {
	Series string
	Time   float64 // Unix time in seconds
	Value  float64
}

// Store collects what a receiver got. Its methods may be called from any goroutine.
type Store struct {
	mutex      sync.Mutex
	points     []Point                        // in order of arrival
	series     map[string]map[float64]float64 // by name: values by time
	duplicates int                            // points received again with the same value
	conflicts  int                            // points received again with another value
	malformed  []string
}

func (s *Store) addPoint(point Point) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.series == nil {
		s.series = map[string]map[float64]float64{}
	}
	values := s.series[point.Series]
	if values == nil {
		values = map[float64]float64{}
		s.series[point.Series] = values
	}
	if earlier, received := values[point.Time]; received && earlier == point.Value {
		s.duplicates++
	} else if received {
		s.conflicts++
	}
	values[point.Time] = point.Value
	s.points = append(s.points, point)
}

func (s *Store) addMalformed(format string, a ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.malformed = append(s.malformed, fmt.Sprintf(format, a...))
}

// Reset deletes everything, like a receiver with a new disk.
func (s *Store) Reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.points = nil
	s.series = nil
	s.duplicates = 0
	s.conflicts = 0
	s.malformed = nil
}

// Last returns the newest value of a series.
func (s *Store) Last(series string) (value float64, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	newest := 0.0
	for at, candidate := range s.series[series] {
		if at >= newest {
			newest = at
			value = candidate
			ok = true
		}
	}
	return value, ok
}

// Sum adds the newest values of all matching series.
func (s *Store) Sum(match func(series string) bool) (sum float64) {
	for _, name := range s.Names() {
		if match(name) {
			value, _ := s.Last(name)
			sum += value
		}
	}
	return sum
}

// Names returns the names of all series, sorted.
func (s *Store) Names() (names []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for name := range s.series {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Timestamps returns the times of a series' points, sorted.
func (s *Store) Timestamps(series string) (stamps []float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for at := range s.series[series] {
		stamps = append(stamps, at)
	}
	slices.Sort(stamps)
	return stamps
}

// Counts returns the number of points received, of those received again, and of those received again with another
// value.
func (s *Store) Counts() (points, duplicates, conflicts int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.points), s.duplicates, s.conflicts
}

// Malformed describes the input that couldn't be parsed.
func (s *Store) Malformed() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.malformed)
}

// WriteLines writes all points in order of arrival to a file, as lines PATH VALUE TIME, or as PUTVAL lines if they
// arrived as such.
func (s *Store) WriteLines(path string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var b strings.Builder
	for _, p := range s.points {
		if strings.Contains(p.Series, "/") {
			fmt.Fprintf(&b, "PUTVAL %q interval=1 %.3f:%v\n", p.Series, p.Time, p.Value)
			continue
		}
		fmt.Fprintf(&b, "%s %v %v\n", p.Series, p.Value, int64(p.Time))
	}
	return os.WriteFile(path, []byte(b.String()), 0o600)
}

// CounterIncrease returns the total increase of a counter, from 0 on; a decrease counts as a restart from 0.
func (s *Store) CounterIncrease(series string) (sum float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	type sample struct{ time, value float64 }
	var all []sample
	for at, value := range s.series[series] {
		all = append(all, sample{at, value})
	}
	slices.SortFunc(all, func(x, y sample) int { return cmp.Compare(x.time, y.time) })
	last := 0.0
	for _, p := range all {
		if p.value < last {
			last = 0
		}
		sum = sum + p.value - last // in this order, for the same rounding
		last = p.value
	}
	return sum
}
