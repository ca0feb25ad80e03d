// Package requestlog writes one line of JSON for each final answer. Lines are made on the core's goroutine and written by
// one of the log's own, behind a bounded queue: a slow or full disk costs lines, which are counted, and never a job.
package requestlog

import (
	"strconv"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/dispatcher/linelog"
	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/loadbalancer"
)

// FlushIntervalSeconds is how long a line may wait before it goes to the writer, in seconds.
const FlushIntervalSeconds = linelog.FlushIntervalSeconds

// Options say where the log stands.
type Options struct {
	Path           string
	MaxBytes       int64 // of a file; then it is renamed to PATH.1, PATH.1 to PATH.2, and so on
	KeepFiles      int   // files beside the one at hand
	DispatcherName string
	Incarnation    string   // of the process, before the numbers of marks
	Classes        []string // names by the settings' numbers
	NodeSlot       func(worker loadbalancer.WorkerID) string
	// Report hears, on a goroutine of its own, what went wrong.
	Report func(error)
}

// Log is open for writing. All but Lost and Failed belongs to the core's goroutine.
type Log struct {
	*linelog.Log

	options    Options
	prefix     []byte // of each line, after its time
	classNames [][]byte
	markPrefix []byte // before the number of a mark
}

// Open opens the log, whose file need not exist.
func Open(o Options) (*Log, error) {
	file, err := linelog.Open(linelog.Options{Path: o.Path, MaxBytes: o.MaxBytes, KeepFiles: o.KeepFiles, Name: "request log", Report: o.Report})
	if err != nil {
		return nil, err
	}
	l := &Log{Log: file, options: o}
	l.prefix = append(linelog.AppendString([]byte(`,"by":`), o.DispatcherName), `,"id":`...)
	l.markPrefix = append([]byte(`,"mark":"`), o.Incarnation+"."...)
	for _, name := range telemetry.ClassNames(o.Classes) {
		l.classNames = append(l.classNames, linelog.AppendString(nil, name))
	}
	return l, nil
}

// LogAnswer adds a line.
func (l *Log) LogAnswer(f *dispatch.AnswerRecord) {
	b := l.BeginLine()
	class := len(l.classNames) - 1
	if f.Class >= 0 && f.Class < class {
		class = f.Class
	}
	b = linelog.AppendFixed(append(b, `{"time":`...), f.AnsweredAt, 6)
	b = linelog.AppendString(append(b, l.prefix...), f.ID)
	b = append(append(b, `,"class":`...), l.classNames[class]...)
	b = append(append(b, `,"front":"`...), f.Front...)
	b = append(append(b, `","verdict":"`...), telemetry.VerdictOf(f).String()...)
	b = append(b, '"')
	if f.Reason != dispatch.ReasonNone {
		b = append(append(append(b, `,"reason":"`...), f.Reason.String()...), '"')
	}
	b = linelog.AppendFixed(append(b, `,"took_ms":`...), (f.AnsweredAt-f.ArrivedAt)*1000, 3)
	if f.StartedAt > 0 {
		b = linelog.AppendFixed(append(b, `,"start_ms":`...), (f.StartedAt-f.ArrivedAt)*1000, 3)
	}
	if f.RetryAfter > 0 {
		b = linelog.AppendFixed(append(b, `,"come_back_s":`...), f.RetryAfter, 3)
	}
	if f.AuditMark > 0 {
		b = append(strconv.AppendUint(append(b, l.markPrefix...), f.AuditMark, 10), '"')
	}
	if len(f.Attempts) > 0 {
		b = append(b, `,"tries":[`...)
		for i := range f.Attempts {
			if i > 0 {
				b = append(b, ',')
			}
			b = l.appendAttempt(b, f, &f.Attempts[i])
		}
		b = append(b, ']')
	}
	l.EndLine(append(b, '}', '\n'))
}

func (l *Log) appendAttempt(b []byte, f *dispatch.AnswerRecord, t *dispatch.AttemptRecord) []byte {
	b = linelog.AppendString(append(b, `{"node":`...), t.MemberName)
	if l.options.NodeSlot != nil {
		if slot := l.options.NodeSlot(t.Worker); slot != "" {
			b = linelog.AppendString(append(b, `,"slot":`...), slot)
		}
	}
	b = linelog.AppendFixed(append(b, `,"sent_ms":`...), (t.SentAt-f.ArrivedAt)*1000, 3)
	if t.StartedAt > 0 {
		b = linelog.AppendFixed(append(b, `,"start_ms":`...), (t.StartedAt-f.ArrivedAt)*1000, 3)
	}
	switch {
	case t.EndedAt > 0:
		b = linelog.AppendFixed(append(b, `,"end_ms":`...), (t.EndedAt-f.ArrivedAt)*1000, 3)
		b = append(append(append(b, `,"result":"`...), telemetry.ResultNames[t.Result]...), '"')
	default:
		b = append(b, `,"result":"out"`...)
	}
	if t.Hedged {
		b = append(b, `,"copy":true`...)
	}
	if t.AuditMark > 0 {
		b = strconv.AppendUint(append(b, `,"mark":`...), t.AuditMark, 10)
	}
	if t.Attempt == f.WinningAttempt {
		b = append(b, `,"won":true`...)
	}
	return append(b, '}')
}
