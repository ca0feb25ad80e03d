package spool

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"os"

	"cinderroad/internal/dispatcher/telemetry"
)

// Recovered is what the lives before this one have left.
type Recovered struct {
	Periods         []*telemetry.Period // the oldest first, as many as there is room for
	Totals          map[string]float64  // as of the last of them
	SlotAssignments []telemetry.SlotAssignment
	Acknowledged    map[string]int64 // by receiver: it has all up to this stamp
	TornFiles       int              // files whose end made no sense
	UnknownFiles    int              // files that are no spool of this version, and were put aside
}

// recoverFiles reads a spool, as much of its end as the bound allows.
func recoverFiles(dir, name string, most int64) (f *Recovered, last int, err error) {
	f = &Recovered{Totals: map[string]float64{}, Acknowledged: map[string]int64{}}
	all, err := listFiles(dir, name)
	if err != nil {
		return nil, 0, err
	}
	total := int64(0)
	for i, file := range all {
		last = file.number
		if total += file.size; total > 2*most+maxBodyBytes {
			break
		}
		text, err := os.ReadFile(file.path)
		if err != nil {
			return nil, 0, fmt.Errorf("spool: %w", err)
		}
		if !bytes.HasPrefix(text, []byte(magic)) {
			if i == len(all)-1 && bytes.HasPrefix([]byte(magic), text) { // torn as it began
				f.TornFiles++
				continue
			}
			f.UnknownFiles++
			if err := os.Rename(file.path, file.path+".strange"); err != nil {
				return nil, 0, fmt.Errorf("spool: %w", err)
			}
			continue
		}
		if !f.readRecords(text[len(magic):]) {
			f.TornFiles++
		}
	}
	for len(f.Periods) > 0 { // the totals are those of the last period that can be read
		last := f.Periods[len(f.Periods)-1]
		if f.Totals, err = last.Totals(); err == nil {
			break
		}
		f.Periods = f.Periods[:len(f.Periods)-1]
		f.Totals = map[string]float64{}
	}
	return f, last, nil
}

// readRecords reads the records of a file; false when it ends in none.
func (f *Recovered) readRecords(b []byte) (whole bool) {
	table := &telemetry.SeriesTable{}
	for len(b) > 0 {
		kind, body, n := parseRecord(b)
		if n == 0 {
			return false
		}
		b = b[n:]
		switch kind {
		case kindNames:
			var v nameRecord
			if json.Unmarshal(body, &v) != nil || v.From != table.Len() {
				return false
			}
			table.Append(v.Series...)
		case kindSlots:
			var v []telemetry.SlotAssignment
			if json.Unmarshal(body, &v) != nil {
				return false
			}
			f.SlotAssignments = v
		case kindAcknowledged:
			var v map[string]int64
			if json.Unmarshal(body, &v) != nil {
				return false
			}
			for name, stamp := range v {
				f.Acknowledged[name] = max(f.Acknowledged[name], stamp)
			}
		case kindPeriod:
			if len(body) < 16 {
				return false
			}
			f.Periods = append(f.Periods, &telemetry.Period{Timestamp: int64(binary.BigEndian.Uint64(body)), Table: table,
				Interval: float64(binary.BigEndian.Uint64(body[8:])) / 1000, EncodedValues: bytes.Clone(body[16:])})
		}
	}
	return true
}
