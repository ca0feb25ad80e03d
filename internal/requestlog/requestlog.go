// Package requestlog writes one line of JSON for each final answer. Lines are made on the core's goroutine and written by
// one of the log's own, behind a bounded queue: a slow or full disk costs lines, which are counted, and never a job.
package requestlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"golang.org/x/sys/unix"

	"cinderroad/brain"
	"cinderroad/internal/routing"
	"cinderroad/internal/telemetry"
)

const (
	bufferSize = 32 << 10 // bytes of lines that go to the writer at once
	queued     = 64       // such buffers that may wait for the disk
	// FlushEvery is how long a line may wait before it goes to the writer, in seconds.
	FlushEvery = 0.2
)

// Options say where the log stands.
type Options struct {
	Path     string
	MaxBytes int64 // of a file; then it is renamed to PATH.1, PATH.1 to PATH.2, and so on
	Keep     int   // files beside the one at hand
	By       string
	Classes  []string // names by the settings' numbers
	Slot     func(worker brain.WorkerID) string
	// Report hears, on a goroutine of its own, what went wrong.
	Report func(error)
}

// Log is open for writing. All but Lost and Failed belongs to the core's goroutine.
type Log struct {
	Lines uint64

	options Options
	prefix  []byte // of each line, after its time
	classes [][]byte
	buffer  []byte
	spare   chan []byte
	queue   chan []byte
	done    chan struct{}
	pending uint64 // lines in buffer
	lost    atomic.Uint64
	failed  atomic.Uint64

	// Of the writing goroutine.
	file   *os.File
	size   int64
	retry  time.Time
	broken bool
}

// Open opens the log, whose file need not exist.
func Open(o Options) (*Log, error) {
	if o.Report == nil {
		o.Report = func(error) {}
	}
	l := &Log{options: o, queue: make(chan []byte, queued), spare: make(chan []byte, queued+1), done: make(chan struct{})}
	l.prefix = append(appendString([]byte(`,"by":`), o.By), `,"id":`...)
	for _, name := range telemetry.ClassNames(o.Classes) {
		l.classes = append(l.classes, appendString(nil, name))
	}
	if err := l.open(); err != nil {
		return nil, fmt.Errorf("request log: %w", err)
	}
	go l.run()
	return l, nil
}

// Lost is how many lines the queue had no room for, Failed how many the disk refused.
func (l *Log) Lost() uint64 { return l.lost.Load() }

// Failed is told of by Lost.
func (l *Log) Failed() uint64 { return l.failed.Load() }

// Answered adds a line.
func (l *Log) Answered(f *routing.Final) {
	b := l.buffer
	if b == nil {
		select {
		case b = <-l.spare:
		default:
			b = make([]byte, 0, bufferSize+4096)
		}
	}
	class := len(l.classes) - 1
	if f.Class >= 0 && f.Class < class {
		class = f.Class
	}
	b = appendFixed(append(b, `{"time":`...), f.Answered, 6)
	b = appendString(append(b, l.prefix...), f.ID)
	b = append(append(b, `,"class":`...), l.classes[class]...)
	b = append(append(b, `,"front":"`...), f.Front...)
	b = append(append(b, `","verdict":"`...), telemetry.VerdictOf(f).String()...)
	b = append(b, '"')
	if f.Reason != routing.NoReason {
		b = append(append(append(b, `,"reason":"`...), f.Reason.String()...), '"')
	}
	b = appendFixed(append(b, `,"took_ms":`...), (f.Answered-f.Arrived)*1000, 3)
	if f.Started > 0 {
		b = appendFixed(append(b, `,"start_ms":`...), (f.Started-f.Arrived)*1000, 3)
	}
	if f.Wait > 0 {
		b = appendFixed(append(b, `,"come_back_s":`...), f.Wait, 3)
	}
	if len(f.Tries) > 0 {
		b = append(b, `,"tries":[`...)
		for i := range f.Tries {
			if i > 0 {
				b = append(b, ',')
			}
			b = l.try(b, f, &f.Tries[i])
		}
		b = append(b, ']')
	}
	l.buffer = append(b, '}', '\n')
	l.Lines++
	l.pending++
	if len(l.buffer) >= bufferSize {
		l.Flush()
	}
}

func (l *Log) try(b []byte, f *routing.Final, t *routing.Try) []byte {
	b = appendString(append(b, `{"node":`...), t.Node)
	if l.options.Slot != nil {
		if slot := l.options.Slot(t.Worker); slot != "" {
			b = appendString(append(b, `,"slot":`...), slot)
		}
	}
	b = appendFixed(append(b, `,"sent_ms":`...), (t.Sent-f.Arrived)*1000, 3)
	if t.Started > 0 {
		b = appendFixed(append(b, `,"start_ms":`...), (t.Started-f.Arrived)*1000, 3)
	}
	switch {
	case t.Ended > 0:
		b = appendFixed(append(b, `,"end_ms":`...), (t.Ended-f.Arrived)*1000, 3)
		b = append(append(append(b, `,"result":"`...), telemetry.ResultNames[t.Result]...), '"')
	default:
		b = append(b, `,"result":"out"`...)
	}
	if t.Copy {
		b = append(b, `,"copy":true`...)
	}
	if t.Attempt == f.Won {
		b = append(b, `,"won":true`...)
	}
	return append(b, '}')
}

// Flush gives the lines so far to the writer. It never waits.
func (l *Log) Flush() {
	if len(l.buffer) == 0 {
		return
	}
	select {
	case l.queue <- l.buffer:
		l.buffer = nil
	default:
		l.lost.Add(l.pending)
		l.buffer = l.buffer[:0]
	}
	l.pending = 0
}

// Close writes what waits and closes the file.
func (l *Log) Close() {
	l.Flush()
	close(l.queue)
	<-l.done
}

func (l *Log) run() {
	defer close(l.done)
	for b := range l.queue {
		if err := l.write(b); err != nil {
			l.failed.Add(uint64(bytes.Count(b, []byte{'\n'})))
			if !l.broken {
				l.options.Report(fmt.Errorf("request log: %w", err))
			}
			l.broken = true
		} else {
			l.broken = false
		}
		select {
		case l.spare <- b[:0]:
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
		if time.Now().Before(l.retry) {
			return errors.New("not open")
		}
		if err := l.open(); err != nil {
			l.retry = time.Now().Add(time.Second)
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
		for i := l.options.Keep; i > 0; i-- {
			from := l.options.Path
			if i > 1 {
				from += "." + strconv.Itoa(i-1)
			}
			if err := os.Rename(from, l.options.Path+"."+strconv.Itoa(i)); err != nil && !errors.Is(err, os.ErrNotExist) {
				return err
			}
		}
		if l.options.Keep == 0 {
			if err := os.Remove(l.options.Path); err != nil {
				return err
			}
		}
	}
	l.file.Close()
	l.file = nil
	return l.open()
}

func appendFixed(b []byte, v float64, digits int) []byte {
	return strconv.AppendFloat(b, v, 'f', digits, 64)
}

// appendString writes a JSON string; what is no UTF-8 is replaced.
func appendString(b []byte, s string) []byte {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			text, _ := json.Marshal(s)
			return append(b, text...)
		}
	}
	return append(append(append(b, '"'), s...), '"')
}

// Line is a line as a reader needs it.
type Line struct {
	Time    float64 `json:"time"`
	By      string  `json:"by"`
	ID      string  `json:"id"`
	Class   string  `json:"class"`
	Front   string  `json:"front"`
	Verdict string  `json:"verdict"`
	Reason  string  `json:"reason"`
	TookMs  float64 `json:"took_ms"`
	Tries   []struct {
		Node, Slot, Result string
		Copy, Won          bool
	} `json:"tries"`
}

// Read reads a log and has each line told. A line that makes no sense is told to bad with its number, and left out.
func Read(r io.Reader, line func(Line), bad func(n int, err error)) error {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 64<<10), 1<<20)
	n := 0
	for in.Scan() {
		n++
		if len(in.Bytes()) == 0 {
			continue
		}
		var l Line
		if err := json.Unmarshal(in.Bytes(), &l); err != nil {
			bad(n, err)
			continue
		}
		line(l)
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("request log: line %d: %w", n+1, err)
	}
	return nil
}
