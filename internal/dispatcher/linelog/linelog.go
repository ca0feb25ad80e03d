// Package linelog writes files of lines. Lines are made on one goroutine and written by one of the log's own, behind a bounded
// queue: a slow or full disk costs lines, which are counted, and never a job.
package linelog

import (
	"bytes"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

const (
	bufferSize  = 32 << 10 // bytes of lines that go to the writer at once
	queueLength = 64       // such buffers that may wait for the disk
	// FlushIntervalSeconds is how long a line may wait before it goes to the writer, in seconds.
	FlushIntervalSeconds = 0.2
)

// Options say where a log stands.
type Options struct {
	Path      string
	MaxBytes  int64  // of a file; then it is renamed to PATH.1, PATH.1 to PATH.2, and so on
	KeepFiles int    // files beside the one at hand
	Name      string // the log is, for errors
	// Report hears, on a goroutine of its own, what went wrong.
	Report func(error)
}

// Log is an open log. Begin, End, Flush and Close belong to one goroutine.
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

	// Of the writing goroutine.
	file     *os.File
	size     int64
	reopenAt time.Time
	failing  bool
}

// Open opens a log. An earlier life's lines stay.
func Open(o Options) (*Log, error) {
	if o.Report == nil {
		o.Report = func(error) {}
	}
	l := &Log{options: o, queue: make(chan []byte, queueLength), freeBuffers: make(chan []byte, queueLength+1), done: make(chan struct{})}
	if err := l.open(); err != nil {
		return nil, fmt.Errorf("%s: %w", o.Name, err)
	}
	go l.run()
	return l, nil
}

// DroppedLines is how many lines the disk was too slow for.
func (l *Log) DroppedLines() uint64 { return l.droppedLines.Load() }

// FailedLines is how many lines the disk refused.
func (l *Log) FailedLines() uint64 { return l.failedLines.Load() }

// BeginLine is the buffer that a line, with its end, is to be appended to; End takes it back.
func (l *Log) BeginLine() []byte {
	if l.buffer == nil {
		select {
		case l.buffer = <-l.freeBuffers:
		default:
			l.buffer = make([]byte, 0, bufferSize+4096)
		}
	}
	return l.buffer
}

// EndLine takes the buffer of Begin with one line more.
func (l *Log) EndLine(b []byte) {
	l.buffer = b
	l.Lines++
	l.bufferedLines++
	if len(l.buffer) >= bufferSize {
		l.Flush()
	}
}

// Flush hands what there is to the writer.
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

// Close writes what there is and closes the file; it waits for the disk.
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
