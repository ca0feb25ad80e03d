// Package linelog writes files of lines. Lines are made on one goroutine and written by one of the log's own, behind a bounded
// queue: a slow or full disk costs lines, which are counted, and never a job.
package linelog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"golang.org/x/sys/unix"
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

func (l *Log) open() error {
	f, err := os.OpenFile(l.options.Path, os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o640)
	if err != nil {
		return err
	}
	info, err := f.Stat()
	if err != nil {
		f.Close()
		return err
	}
	l.file, l.size = f, info.Size()
	// An earlier life may have died in the midst of a line.
	var last [1]byte
	if l.size > 0 {
		if _, err := f.ReadAt(last[:], l.size-1); err == nil && last[0] != '\n' {
			n, _ := f.Write([]byte{'\n'})
			l.size += int64(n)
		}
	}
	return nil
}

// write adds lines, whole: what a full disk cuts short is taken back.
func (l *Log) write(b []byte) error {
	if l.file == nil {
		if time.Now().Before(l.reopenAt) {
			return errors.New("not open")
		}
		if err := l.open(); err != nil {
			l.reopenAt = time.Now().Add(time.Second)
			return err
		}
	}
	if l.options.MaxBytes > 0 && l.size > 0 && l.size+int64(len(b)) > l.options.MaxBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	n, err := l.file.Write(b)
	l.size += int64(n)
	if err != nil && n > 0 {
		// Lines of the other process of an upgrade may stand behind ours: then only a line end keeps them apart.
		if info, e := l.file.Stat(); e == nil && info.Size() == l.size {
			if l.file.Truncate(l.size-int64(n)) == nil {
				l.size -= int64(n)
			}
		}
	}
	return err
}

// rotate renames the file, unless another process of this dispatcher has done so: whoever holds the file's lock may.
func (l *Log) rotate() error {
	if err := unix.Flock(int(l.file.Fd()), unix.LOCK_EX); err != nil { // until it is closed
		return err
	}
	mine, err := l.file.Stat()
	if err != nil {
		return err
	}
	if there, err := os.Stat(l.options.Path); err == nil && os.SameFile(mine, there) {
		for i := l.options.KeepFiles; i > 0; i-- {
			from := l.options.Path
			if i > 1 {
				from += "." + strconv.Itoa(i-1)
			}
			if err := os.Rename(from, l.options.Path+"."+strconv.Itoa(i)); err != nil && !errors.Is(err, os.ErrNotExist) {
				return err
			}
		}
		if l.options.KeepFiles == 0 {
			if err := os.Remove(l.options.Path); err != nil {
				return err
			}
		}
	}
	l.file.Close()
	l.file = nil
	return l.open()
}

// AppendFixed appends a number with so many digits behind the point.
func AppendFixed(b []byte, v float64, digits int) []byte {
	return strconv.AppendFloat(b, v, 'f', digits, 64)
}

// AppendString writes a JSON string; what is no UTF-8 is replaced.
func AppendString(b []byte, s string) []byte {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			text, _ := json.Marshal(s)
			return append(b, text...)
		}
	}
	return append(append(append(b, '"'), s...), '"')
}
