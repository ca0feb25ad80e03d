// Package spool keeps the closed periods of package telemetry on disk, so that they outlive the process. It owns a
// goroutine, since a disk may stall: what that has not written yet waits in a bounded queue, and what does not fit is
// counted and lost, never waited for.
//
// A spool is some files in a folder, NAME.1, NAME.2 and so on. Each begins with the eight bytes CRSPOOL1; records
// follow, each the length of its body (4 bytes, big-endian), its kind (1 byte), its body, and the xxHash64 of kind and
// body (8 bytes, big-endian). A file can be read alone: it begins with the names of the series and who holds which slot.
package spool

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"

	"cinderroad/internal/dispatcher/telemetry"
)

const (
	maxFiles    = 4   // the bound of all files is spread over so many: the oldest goes whole
	queueLength = 256 // records that may wait for the disk
)

// Spool is open for writing. All methods but Failed and Lost belong to one goroutine.
type Spool struct {
	dir, name   string
	maxBytes    int64 // bytes of all files
	queue       chan []record
	done        chan struct{}
	writeErrors atomic.Uint64
	dropped     atomic.Uint64
	reportError func(error)

	table       *telemetry.SeriesTable // of the file at hand
	namedSeries int                    // series whose names it has
	slots       []byte
	fileBytes   int64 // bytes given to the file at hand

	// Of the writing goroutine.
	file       *os.File
	size       int64
	fileNumber int
}

// Open reads what is in a folder and begins a file of its own. report hears, on a goroutine of its own, what goes wrong later.
func Open(dir, name string, most int64, report func(error)) (*Spool, *Recovered, error) {
	name = telemetry.SanitizeName(name)
	found, last, err := recoverFiles(dir, name, most)
	if err != nil {
		return nil, nil, err
	}
	probe := filepath.Join(dir, name+".probe")
	if err := os.WriteFile(probe, nil, 0o600); err != nil {
		return nil, nil, fmt.Errorf("spool: %w", err)
	}
	_ = os.Remove(probe)
	s := &Spool{dir: dir, name: name, maxBytes: most, queue: make(chan []record, queueLength), done: make(chan struct{}), reportError: report, fileNumber: last}
	go s.run()
	return s, found, nil
}

// AppendPeriod adds a closed period, with whatever its file needs to be read alone. done is called once, on any goroutine, when it
// is on disk or will not be.
func (s *Spool) AppendPeriod(p *telemetry.Period, held []telemetry.SlotAssignment, done func()) {
	var out []record
	if s.table != p.Table || s.fileBytes >= s.maxBytes/maxFiles {
		s.table, s.namedSeries, s.slots, s.fileBytes = p.Table, 0, nil, 0
		out = append(out, record{newFile: true})
	}
	if n := p.Table.Len(); n > s.namedSeries {
		body, err := json.Marshal(nameRecord{s.namedSeries, p.Table.From(s.namedSeries)})
		if err != nil {
			s.recordError(err)
			done()
			return
		}
		s.namedSeries = n
		out = append(out, record{kind: kindNames, body: body})
	}
	if body, err := json.Marshal(held); err == nil && !bytes.Equal(body, s.slots) {
		s.slots = body
		out = append(out, record{kind: kindSlots, body: body})
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(p.Timestamp))
	body = binary.BigEndian.AppendUint64(body, uint64(p.Interval*1000))
	out = append(out, record{kind: kindPeriod, body: append(body, p.EncodedValues...), done: done})
	if !s.enqueue(out) { // the next one must not lean on names that are not there
		s.table = nil
		done()
	}
}

// AppendAcknowledged notes up to which stamp receivers have the periods.
func (s *Spool) AppendAcknowledged(got map[string]int64) {
	if body, err := json.Marshal(got); err == nil && s.table != nil {
		s.enqueue([]record{{kind: kindAcknowledged, body: body}})
	}
}

func (s *Spool) enqueue(out []record) bool {
	for _, r := range out {
		s.fileBytes += int64(len(r.body) + recordOverhead)
	}
	select {
	case s.queue <- out:
		return true
	default:
		s.dropped.Add(1)
		return false
	}
}

// WriteErrors is how often the disk refused, Lost how often it was too slow: each cost a period's place on disk, not the period.
func (s *Spool) WriteErrors() uint64 { return s.writeErrors.Load() }

// Dropped is told of by Failed.
func (s *Spool) Dropped() uint64 { return s.dropped.Load() }

// Close writes what waits and closes the file.
func (s *Spool) Close() {
	close(s.queue)
	<-s.done
}

func (s *Spool) recordError(err error) {
	s.writeErrors.Add(1)
	s.reportError(fmt.Errorf("spool: %w", err))
}

func (s *Spool) run() {
	defer close(s.done)
	broken := false // a record did not get to the disk: what follows in its file would lack it
	for out := range s.queue {
		if out[0].newFile {
			err := s.startFile()
			if broken = err != nil; broken {
				s.reportError(fmt.Errorf("spool: %w", err))
			}
			out = out[1:]
		}
		if broken {
			s.writeErrors.Add(1)
		} else if err := s.write(out); err != nil {
			s.recordError(err)
			broken = out[0].kind != kindPeriod && out[0].kind != kindAcknowledged
		}
		if done := out[len(out)-1].done; done != nil {
			done()
		}
	}
	if s.file != nil {
		s.file.Close()
	}
}

// startFile begins a file, and lets go of the oldest ones beyond the bound.
func (s *Spool) startFile() error {
	if s.file != nil {
		s.file.Close()
		s.file = nil
	}
	all, err := listFiles(s.dir, s.name)
	if err != nil {
		return err
	}
	total := int64(0)
	for i := len(all) - 1; i >= 0; i-- {
		if total += all[i].size; total > s.maxBytes-s.maxBytes/maxFiles {
			_ = os.Remove(all[i].path)
		}
	}
	s.fileNumber++
	f, err := os.OpenFile(filepath.Join(s.dir, s.name+"."+strconv.Itoa(s.fileNumber)), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err := f.WriteString(magic); err != nil {
		f.Close()
		return err
	}
	s.file, s.size = f, int64(len(magic))
	return nil
}

// write adds records, all or none of them.
func (s *Spool) write(out []record) error {
	if s.file == nil {
		return errors.New("no file")
	}
	var b []byte
	for _, r := range out {
		b = appendRecord(b, r.kind, r.body)
	}
	_, err := s.file.WriteAt(b, s.size)
	if err == nil {
		s.size += int64(len(b))
		return s.file.Sync()
	}
	_ = s.file.Truncate(s.size)
	return err
}
