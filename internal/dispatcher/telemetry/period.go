package telemetry

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"cinderroad/internal/shared/codec"
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
			b = codec.AppendFloat32(b, float32(v))
		}
	}
	return b
}

var errTruncated = errors.New("telemetry: period cut short")

// Reader decodes the values of a period one by one, so that the caller can pause.
type Reader struct {
	table  *SeriesTable
	fields codec.Reader // at the next value
	index  int          // of the next value's series
	count  int          // values of the period
	err    error
}

// Read returns a reader at the first value.
func (p *Period) Read() *Reader {
	r := &Reader{table: p.Table, fields: codec.NewReader(p.EncodedValues)}
	count := r.fields.Uvarint("count")
	if _, truncated := r.fields.Malformed(); truncated {
		r.err = errTruncated
		return r
	}
	if count > uint64(p.Table.Len()) {
		r.err = fmt.Errorf("telemetry: period of %d values, %d series are known", count, p.Table.Len())
		return r
	}
	r.count = int(count)
	return r
}

// Next returns the next series that has a value; false at the end, or on an error, see Err.
func (r *Reader) Next() (s Series, v float64, ok bool) {
	for r.err == nil && r.index < r.count {
		value, present := r.readValue()
		if _, truncated := r.fields.Malformed(); truncated {
			r.err = errTruncated
			break
		}
		r.index++
		if present {
			return r.table.Series(r.index - 1), value, true
		}
	}
	return Series{}, 0, false
}

// readValue decodes a value; false if the series has none.
func (r *Reader) readValue() (value float64, present bool) {
	switch form := r.fields.Uvarint("form"); form {
	case formAbsent:
		return 0, false
	case formFloat:
		return float64(r.fields.Float32("value")), true
	default:
		return float64(form - formInteger), true
	}
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
