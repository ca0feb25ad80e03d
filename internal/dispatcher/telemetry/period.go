package telemetry

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// Period is the values of all series as of its end.
type Period struct {
	Timestamp     int64   // Unix time in milliseconds, later than that of the period before it
	Interval      float64 // seconds that a period lasts
	Table         *SeriesTable
	EncodedValues []byte // the values by number, as appendCount and appendValues write them
}

// The form of a value is a varint: 0 is none, 1 is followed by a little-endian float32, and any other is a whole number
// plus 2. Totals are whole; a gauge with a fraction keeps 24 bits of it.
const (
	formAbsent = iota
	formFloat
	formInteger
)

// maxExactInteger is the largest number that a float64 holds with all those below it.
const maxExactInteger = 1 << 53

func appendCount(b []byte, n int) []byte { return binary.AppendUvarint(b, uint64(n)) }

func appendValues(b []byte, values []float64) []byte {
	for _, v := range values {
		switch {
		case math.IsNaN(v) || math.IsInf(v, 0):
			b = append(b, formAbsent)
		case v >= 0 && v <= maxExactInteger && v == math.Trunc(v):
			b = binary.AppendUvarint(b, uint64(v)+formInteger)
		default:
			b = append(b, formFloat)
			b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(v)))
		}
	}
	return b
}

var errTruncated = errors.New("telemetry: period cut short")

// Reader reads the values of a period one after the other, so that a caller can rest in between.
type Reader struct {
	table        *SeriesTable
	input        []byte
	index, count int
	err          error
}

// Read begins with the first value.
func (p *Period) Read() *Reader {
	r := &Reader{table: p.Table}
	n, size := binary.Uvarint(p.EncodedValues)
	switch {
	case size <= 0:
		r.err = errTruncated
	case n > uint64(p.Table.Len()):
		r.err = fmt.Errorf("telemetry: period of %d values, %d series are known", n, p.Table.Len())
	default:
		r.count, r.input = int(n), p.EncodedValues[size:]
	}
	return r
}

// Next is the next series that has a value; false at the end, or when Err says what is wrong.
func (r *Reader) Next() (s Series, v float64, ok bool) {
	for r.err == nil && r.index < r.count {
		form, size := binary.Uvarint(r.input)
		if size <= 0 {
			r.err = errTruncated
			break
		}
		r.input = r.input[size:]
		r.index++
		switch form {
		case formAbsent:
			continue
		case formFloat:
			if len(r.input) < 4 {
				r.err = errTruncated
				return Series{}, 0, false
			}
			v = float64(math.Float32frombits(binary.LittleEndian.Uint32(r.input)))
			r.input = r.input[4:]
		default:
			v = float64(form - formInteger)
		}
		return r.table.Series(r.index - 1), v, true
	}
	return Series{}, 0, false
}

// Err says why Next ended early; nil if it did not.
func (r *Reader) Err() error { return r.err }

// Totals reads the counters of a period by name.
func (p *Period) Totals() (map[string]float64, error) {
	totals := map[string]float64{}
	r := p.Read()
	for s, v, ok := r.Next(); ok; s, v, ok = r.Next() {
		if s.Kind == Counter {
			totals[s.Name] = v
		}
	}
	return totals, r.Err()
}
