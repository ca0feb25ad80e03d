// Package spool stores the closed periods of package telemetry on disk, so that they survive the process. It has
// goroutines of its own, since a disk may stall: records wait in a bounded queue, and those that don't fit are counted
// and dropped. The caller is never blocked, except by Close. Writes do not wait for the sync of earlier ones: what the
// kernel has taken outlives the process, though not a loss of power, before it is on disk.
//
// A spool is a sequence of files in a directory, NAME.1, NAME.2 and so on. Each begins with the eight bytes CRSPOOL1.
// Records follow: the length of the body (4 bytes, big-endian), the kind (1 byte), the body, and the xxHash64 of kind
// and body (8 bytes, big-endian). Each file can be read on its own: it begins with the names of the series and the
// slot assignments.
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
	maxFiles    = 4   // the limit is divided by this; whole files are removed, oldest first
	queueLength = 256 // records
)

// Spool is a spool that is open for writing. All methods but WriteErrors and Dropped belong to one goroutine.
type Spool struct {
	dir, name   string
	maxBytes    int64 // of all files
	queue       chan []record
	done        chan struct{}
	writeErrors atomic.Uint64
	dropped     atomic.Uint64
	reportError func(error)

	table       *telemetry.SeriesTable // of the current file
	namedSeries int                    // series whose names the current file has
	slots       []byte
	fileBytes   int64 // queued for the current file, dropped records included

	// The writing goroutine owns the rest.
	createFile func(path string) (outputFile, error)
	file       outputFile
	size       int64
	fileNumber int
	syncer     *syncer
}

// outputFile is an *os.File, or a fake of tests.
type outputFile interface {
	syncedFile
	WriteAt(b []byte, offset int64) (int, error)
	Truncate(size int64) error
}

// createOutputFile creates a file that must not exist yet.
func createOutputFile(path string) (outputFile, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
}

// Open recovers what is in a directory and starts a spool with a new file. maxBytes bounds all files of the name together.
// reportError is called for later errors, on the spool's goroutine.
func Open(dir, name string, maxBytes int64, reportError func(error)) (*Spool, *Recovered, error) {
	name = telemetry.SanitizeName(name)
	recovered, lastFile, err := recoverFiles(dir, name, maxBytes)
	if err != nil {
		return nil, nil, err
	}
	probe := filepath.Join(dir, name+".probe")
	if err := os.WriteFile(probe, nil, 0o600); err != nil {
		return nil, nil, fmt.Errorf("spool: %w", err)
	}
	_ = os.Remove(probe)
	s := &Spool{
		dir:         dir,
		name:        name,
		maxBytes:    maxBytes,
		queue:       make(chan []record, queueLength),
		done:        make(chan struct{}),
		reportError: reportError,
		fileNumber:  lastFile,
		createFile:  createOutputFile,
	}
	s.start()
	return s, recovered, nil
}

// AppendPeriod queues a closed period, with the names and slot assignments that its file needs. done is called
// exactly once, on any goroutine, when the period is on disk or given up.
func (s *Spool) AppendPeriod(period *telemetry.Period, assignments []telemetry.SlotAssignment, done func()) {
	var records []record
	if s.table != period.Table || s.fileBytes >= s.maxBytes/maxFiles {
		s.table = period.Table
		s.namedSeries = 0
		s.slots = nil
		s.fileBytes = 0
		records = append(records, record{newFile: true})
	}
	if n := period.Table.Len(); n > s.namedSeries {
		body, err := json.Marshal(nameRecord{s.namedSeries, period.Table.From(s.namedSeries)})
		if err != nil {
			s.recordError(err)
			done()
			return
		}
		s.namedSeries = n
		records = append(records, record{kind: kindNames, body: body})
	}
	if body, err := json.Marshal(assignments); err == nil && !bytes.Equal(body, s.slots) {
		s.slots = body
		records = append(records, record{kind: kindSlots, body: body})
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(period.Timestamp))
	body = binary.BigEndian.AppendUint64(body, uint64(period.Interval*1000))
	records = append(records, record{kind: kindPeriod, body: append(body, period.EncodedValues...), done: done})
	if !s.enqueue(records) { // the next period must not depend on names that aren't on disk
		s.table = nil
		done()
	}
}

// AppendAcknowledged queues the timestamps of the last periods that receivers have.
func (s *Spool) AppendAcknowledged(acknowledged map[string]int64) {
	if body, err := json.Marshal(acknowledged); err == nil && s.table != nil {
		s.enqueue([]record{{kind: kindAcknowledged, body: body}})
	}
}

func (s *Spool) enqueue(records []record) bool {
	for _, r := range records {
		s.fileBytes += int64(len(r.body) + recordOverhead)
	}
	select {
	case s.queue <- records:
		return true
	default:
		s.dropped.Add(1)
		return false
	}
}

// WriteErrors counts the records that the disk rejected. Their periods aren't on disk, but are still delivered.
func (s *Spool) WriteErrors() uint64 { return s.writeErrors.Load() }

// Dropped counts the records that the disk was too slow for.
func (s *Spool) Dropped() uint64 { return s.dropped.Load() }

// Close writes the queued records and closes the file; it waits for the disk. Nothing may be appended afterwards.
func (s *Spool) Close() {
	close(s.queue)
	<-s.done
}

// start starts the goroutines.
func (s *Spool) start() {
	s.syncer = startSyncer(s.recordError)
	go s.run()
}

func (s *Spool) recordError(err error) {
	s.writeErrors.Add(1)
	s.reportError(fmt.Errorf("spool: %w", err))
}

func (s *Spool) run() {
	defer close(s.done)
	defer s.syncer.stop()
	broken := false // a record is missing, which later records in the file may depend on
	for records := range s.queue {
		if records[0].newFile {
			err := s.startFile()
			broken = err != nil
			if broken {
				s.reportError(fmt.Errorf("spool: %w", err))
			}
			records = records[1:]
		}
		done := records[len(records)-1].done
		// Names and slot assignments come first; later records are read by them.
		isNeededLater := records[0].kind != kindPeriod && records[0].kind != kindAcknowledged
		broken = broken || s.syncer.lostNeeded(s.file)
		var err error
		if broken {
			s.writeErrors.Add(1)
		} else if err = s.write(records); err != nil {
			s.recordError(err)
			broken = isNeededLater
		}
		if broken || err != nil {
			if done != nil {
				done()
			}
			continue
		}
		s.syncer.queue <- syncRequest{file: s.file, isNeededLater: isNeededLater, done: done}
	}
	s.closeFile()
}

// closeFile has the file closed once it is synced.
func (s *Spool) closeFile() {
	if s.file != nil {
		s.syncer.queue <- syncRequest{file: s.file, close: true}
		s.file = nil
	}
}

// startFile starts a new file, and removes the oldest ones beyond the limit.
func (s *Spool) startFile() error {
	s.closeFile()
	files, err := listFiles(s.dir, s.name)
	if err != nil {
		return err
	}
	total := int64(0)
	for i := len(files) - 1; i >= 0; i-- {
		total += files[i].size
		if total > s.maxBytes-s.maxBytes/maxFiles {
			_ = os.Remove(files[i].path)
		}
	}
	s.fileNumber++
	file, err := s.createFile(filepath.Join(s.dir, s.name+"."+strconv.Itoa(s.fileNumber)))
	if err != nil {
		return err
	}
	if _, err := file.WriteAt([]byte(magic), 0); err != nil {
		file.Close()
		return err
	}
	s.file = file
	s.size = int64(len(magic))
	return nil
}

// write appends either all records or none. They are on disk once they are synced.
func (s *Spool) write(records []record) error {
	if s.file == nil {
		return errors.New("no file")
	}
	var buffer []byte
	for _, r := range records {
		buffer = appendRecord(buffer, r.kind, r.body)
	}
	if _, err := s.file.WriteAt(buffer, s.size); err != nil {
		_ = s.file.Truncate(s.size)
		return err
	}
	s.size += int64(len(buffer))
	return nil
}
