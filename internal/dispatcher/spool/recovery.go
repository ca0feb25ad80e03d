package spool

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"os"

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

// recoverFiles reads the spool's files, oldest first. It ends at the file with which their sizes exceed twice maxBytes
// and a record, as they can after the limit was lowered: that file and those after it are not read. lastFile is the number
// of the file at which it ended.
func recoverFiles(dir, name string, maxBytes int64) (recovered *Recovered, lastFile int, err error) {
	recovered = &Recovered{Totals: map[string]float64{}, Acknowledged: map[string]int64{}}
	files, err := listFiles(dir, name)
	if err != nil {
		return nil, 0, err
	}
	total := int64(0)
	for i, file := range files {
		lastFile = file.number
		total += file.size
		if total > 2*maxBytes+maxBodyBytes {
			break
		}
		text, err := os.ReadFile(file.path)
		if err != nil {
			return nil, 0, fmt.Errorf("spool: %w", err)
		}
		if !bytes.HasPrefix(text, []byte(magic)) {
			if i == len(files)-1 && bytes.HasPrefix([]byte(magic), text) { // interrupted at its creation
				recovered.TornFiles++
				continue
			}
			recovered.UnknownFiles++
			if err := os.Rename(file.path, file.path+".strange"); err != nil {
				return nil, 0, fmt.Errorf("spool: %w", err)
			}
			continue
		}
		if !recovered.readRecords(text[len(magic):]) {
			recovered.TornFiles++
		}
	}
	for len(recovered.Periods) > 0 { // the totals are those of the last readable period
		last := recovered.Periods[len(recovered.Periods)-1]
		if recovered.Totals, err = last.Totals(); err == nil {
			break
		}
		recovered.Periods = recovered.Periods[:len(recovered.Periods)-1]
		recovered.Totals = map[string]float64{}
	}
	return recovered, lastFile, nil
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
