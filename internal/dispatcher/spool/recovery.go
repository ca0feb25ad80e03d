package spool

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"cinderroad/internal/dispatcher/telemetry"
)

// Recovered is what earlier processes left.
type Recovered struct {
	Periods         []*telemetry.Period // oldest first, within the limit
	Totals          map[string]float64  // at the end of the last period
	SlotAssignments []telemetry.SlotAssignment
	Acknowledged    map[string]int64 // by receiver: timestamp of the last period that it has
	TornFiles       int              // files that end in a damaged record
	UnknownFiles    int              // files of an unknown version, renamed to NAME.strange
}

// recoverFiles reads the spool's files. It goes back from the newest one until their sizes exceed twice maxBytes and a
// record, as they can after the limit was lowered, but not before it has found a period whose totals can be read: totals
// must never decrease. Older files are not read. lastFile is the number of the newest file.
func recoverFiles(dir, name string, maxBytes int64) (recovered *Recovered, lastFile int, err error) {
	recovered = &Recovered{Totals: map[string]float64{}, Acknowledged: map[string]int64{}}
	files, err := listFiles(dir, name)
	if err != nil {
		return nil, 0, err
	}
	if len(files) == 0 {
		return recovered, 0, nil
	}
	maxRead := 2*maxBytes + maxBodyBytes
	var newestFirst []*Recovered
	bytesRead := int64(0)
	hasTotals := false
	for i := len(files) - 1; i >= 0; i-- {
		bytesRead += files[i].size
		if bytesRead > maxRead && hasTotals {
			break
		}
		contents, err := files[i].recover(i == len(files)-1)
		if err != nil {
			return nil, 0, err
		}
		newestFirst = append(newestFirst, contents)
		hasTotals = contents.readTotals() || hasTotals
	}
	for _, contents := range slices.Backward(newestFirst) {
		recovered.append(contents)
	}
	return recovered, files[len(files)-1].number, nil
}

// recover reads one file, or renames it if it is of an unknown version.
func (f *spoolFile) recover(isNewest bool) (*Recovered, error) {
	contents := &Recovered{Totals: map[string]float64{}, Acknowledged: map[string]int64{}}
	text, err := os.ReadFile(f.path)
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	if bytes.HasPrefix(text, []byte(magic)) {
		if !contents.readRecords(text[len(magic):]) {
			contents.TornFiles++
		}
		return contents, nil
	}
	if isNewest && bytes.HasPrefix([]byte(magic), text) { // interrupted at its creation
		contents.TornFiles++
		return contents, nil
	}
	contents.UnknownFiles++
	if err := os.Rename(f.path, f.path+".strange"); err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	return contents, nil
}

// append appends what a newer file holds, whose totals were read.
func (r *Recovered) append(newer *Recovered) {
	r.Periods = append(r.Periods, newer.Periods...)
	if len(newer.Periods) > 0 {
		r.Totals = newer.Totals
	}
	if newer.SlotAssignments != nil {
		r.SlotAssignments = newer.SlotAssignments
	}
	for name, timestamp := range newer.Acknowledged {
		r.Acknowledged[name] = max(r.Acknowledged[name], timestamp)
	}
	r.TornFiles += newer.TornFiles
	r.UnknownFiles += newer.UnknownFiles
}

// readTotals sets the totals to those of the last readable period, drops the periods after it, and reports whether there is
// one.
func (r *Recovered) readTotals() bool {
	for len(r.Periods) > 0 {
		last := r.Periods[len(r.Periods)-1]
		totals, err := last.Totals()
		if err == nil {
			r.Totals = totals
			return true
		}
		r.Periods = r.Periods[:len(r.Periods)-1]
	}
	return false
}

// readRecords reads the records of a file; false if it ends in a damaged one.
func (r *Recovered) readRecords(b []byte) (complete bool) {
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
			r.SlotAssignments = v
		case kindAcknowledged:
			var v map[string]int64
			if json.Unmarshal(body, &v) != nil {
				return false
			}
			for name, timestamp := range v {
				r.Acknowledged[name] = max(r.Acknowledged[name], timestamp)
			}
		case kindPeriod:
			if len(body) < periodHeader {
				return false
			}
			r.Periods = append(r.Periods, &telemetry.Period{
				Timestamp:     int64(binary.BigEndian.Uint64(body)),
				Table:         table,
				Interval:      float64(binary.BigEndian.Uint64(body[8:])) / 1000,
				EncodedValues: bytes.Clone(body[periodHeader:]),
			})
		}
	}
	return true
}
