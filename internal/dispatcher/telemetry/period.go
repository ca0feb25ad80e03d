package telemetry

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// Period is a closed period: the values of all series at its end.
type Period struct {
	Timestamp     int64   // Unix time in milliseconds, strictly increasing
	Interval      float64 // duration in seconds
	Table         *SeriesTable
	EncodedValues []byte // the number of values, and the values by series index
}

// Encoding of a value: the varint 0 stands for none, 1 precedes a little-endian float32, any other is an integer plus
// 2. Counters are integers; a fractional gauge keeps 24 bits of mantissa.
const (
	formAbsent = iota
	formFloat
	formInteger
)

// maxExactInteger is the largest integer up to which float64 is exact.
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

// Reader decodes the values of a period one by one, so that the caller can pause.
type Reader struct {
	table *SeriesTable
	input []byte // the values that were not read yet
	index int    // of the next value's series
	count int    // values of the period
	err   error
}

// Read returns a reader at the first value.
func (p *Period) Read() *Reader {
	r := &Reader{table: p.Table}
	n, size := binary.Uvarint(p.EncodedValues)
	switch {
	case size <= 0:
		r.err = errTruncated
	case n > uint64(p.Table.Len()):
		r.err = fmt.Errorf("telemetry: period of %d values, %d series are known", n, p.Table.Len())
	default:
		r.count = int(n)
		r.input = p.EncodedValues[size:]
	}
	return r
}

// Next returns the next series that has a value; false at the end, or on an error, see Err.
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

// Err returns why Next ended early, or nil.
func (r *Reader) Err() error { return r.err }

// Totals returns the counters of a period by name.
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
