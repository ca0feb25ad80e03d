// Package linelog writes log files of lines. Lines are built on one goroutine and written by the log's own, behind a
// bounded queue: a slow or full disk costs lines, which are counted, and never blocks the caller, except in Close.
package linelog

import (
	"bytes"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

const (
	bufferSize  = 32 << 10 // lines are written in chunks of this many bytes
	bufferSlack = 4 << 10  // room for the line that exceeds a chunk
	reopenDelay = time.Second
	queueLength = 64 // chunks that may wait for the disk
	// FlushIntervalSeconds is the longest time between two calls of Flush that the owner of a log should allow.
	FlushIntervalSeconds = 0.2
)

// Options configure a log.
type Options struct {
	Path      string
	MaxBytes  int64  // of a file, which is then renamed to PATH.1, PATH.1 to PATH.2, and so on; 0: unlimited
	KeepFiles int    // rotated files to keep
	Name      string // of the log, in errors
	// Report is called for the first of successive errors, on the log's goroutine.
	Report func(error)
}

// Log is an open log. All methods but DroppedLines and FailedLines belong to one goroutine.
type Log struct {
	Lines uint64

	options       Options
	buffer        []byte
	freeBuffers   chan []byte
	queue         chan []byte
	done          chan struct{}
	bufferedLines uint64 // lines in buffer
	droppedLines  atomic.Uint64
	failedLines   atomic.Uint64

	// The writing goroutine owns the rest.
	file     *os.File
	size     int64
	reopenAt time.Time
	failing  bool
}

// Open opens a log file for appending and starts the log's goroutine, which Close ends.
func Open(o Options) (*Log, error) {
	if o.Report == nil {
		o.Report = func(error) {}
	}
	l := &Log{
		options:     o,
		queue:       make(chan []byte, queueLength),
		freeBuffers: make(chan []byte, queueLength+1),
		done:        make(chan struct{}),
	}
	if err := l.open(); err != nil {
		return nil, fmt.Errorf("%s: %w", o.Name, err)
	}
	go l.run()
	return l, nil
}

// DroppedLines counts the lines that the disk was too slow for.
func (l *Log) DroppedLines() uint64 { return l.droppedLines.Load() }

// FailedLines counts the lines that the disk rejected.
func (l *Log) FailedLines() uint64 { return l.failedLines.Load() }

// BeginLine returns the buffer to append a line to, with its line break; pass the result to EndLine before any other call.
func (l *Log) BeginLine() []byte {
	if l.buffer == nil {
		select {
		case l.buffer = <-l.freeBuffers:
		default:
			l.buffer = make([]byte, 0, bufferSize+bufferSlack)
		}
	}
	return l.buffer
}

// EndLine takes the extended buffer of BeginLine.
func (l *Log) EndLine(b []byte) {
	l.buffer = b
	l.Lines++
	l.bufferedLines++
	if len(l.buffer) >= bufferSize {
		l.Flush()
	}
}

// Flush queues the buffered lines for the disk.
func (l *Log) Flush() {
	if len(l.buffer) == 0 {
		return
	}
	select {
	case l.queue <- l.buffer:
		l.buffer = nil
	default:
		l.droppedLines.Add(l.bufferedLines)
		l.buffer = l.buffer[:0]
	}
	l.bufferedLines = 0
}

// Close writes everything and closes the file; it waits for the disk. The log must not be used afterwards, except for its
// counts.
func (l *Log) Close() {
	l.Flush()
	close(l.queue)
	<-l.done
}

func (l *Log) run() {
	defer close(l.done)
	for b := range l.queue {
		if err := l.write(b); err != nil {
			l.failedLines.Add(uint64(bytes.Count(b, []byte{'\n'})))
			if !l.failing {
				l.options.Report(fmt.Errorf("%s: %w", l.options.Name, err))
			}
			l.failing = true
		} else {
			l.failing = false
		}
		select {
		case l.freeBuffers <- b[:0]:
		default:
		}
	}
	if l.file != nil {
		l.file.Close()
	}
}
