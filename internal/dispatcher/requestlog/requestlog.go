// Package requestlog writes one line of JSON for each final answer. Lines are built on the goroutine of the event
// loop and written by the log's own, behind a bounded queue: a slow or full disk costs lines, which are counted, and
// never delays a job. docs/telemetry.md describes the format.
package requestlog

import (
	"strconv"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/dispatcher/linelog"
	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/loadbalancer"
)

// FlushIntervalSeconds is the longest time that a line may be buffered.
const FlushIntervalSeconds = linelog.FlushIntervalSeconds

// Options configure the log.
type Options struct {
	Path           string
	MaxBytes       int64 // of a file, see linelog.Options
	KeepFiles      int   // rotated files to keep
	DispatcherName string
	Incarnation    string   // generation of the process, as auditlog.GenerationName writes it; prefix of audit marks
	Classes        []string // by number in the settings
	NodeSlot       func(worker loadbalancer.WorkerID) string
	// Report is called with errors, on the log's goroutine.
	Report func(error)
}

// Log is an open request log. All methods but DroppedLines and FailedLines belong to the goroutine of the event loop.
type Log struct {
	*linelog.Log

	options    Options
	prefix     []byte // of each line, after its time
	classNames [][]byte
	markPrefix []byte // before the number of an audit mark
}

// Open opens the log for appending; the file is created if needed.
func Open(o Options) (*Log, error) {
	file, err := linelog.Open(linelog.Options{
		Path:      o.Path,
		MaxBytes:  o.MaxBytes,
		KeepFiles: o.KeepFiles,
		Name:      "request log",
		Report:    o.Report,
	})
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

// LogAnswer adds a line for a final answer.
func (l *Log) LogAnswer(answer *dispatch.AnswerRecord) {
	b := l.BeginLine()
	class := len(l.classNames) - 1
	if answer.Class >= 0 && answer.Class < class {
		class = answer.Class
	}
	b = linelog.AppendFixed(append(b, `{"time":`...), answer.AnsweredAt, 6)
	b = linelog.AppendString(append(b, l.prefix...), answer.ID)
	b = append(append(b, `,"class":`...), l.classNames[class]...)
	b = append(append(b, `,"front":"`...), answer.Front...)
	b = append(append(b, `","verdict":"`...), telemetry.VerdictOf(answer).String()...)
	b = append(b, '"')
	if answer.Reason != dispatch.ReasonNone {
		b = append(append(append(b, `,"reason":"`...), answer.Reason.String()...), '"')
	}
	b = linelog.AppendFixed(append(b, `,"took_ms":`...), (answer.AnsweredAt-answer.ArrivedAt)*1000, 3)
	if answer.StartedAt > 0 {
		b = linelog.AppendFixed(append(b, `,"start_ms":`...), (answer.StartedAt-answer.ArrivedAt)*1000, 3)
	}
	if answer.RetryAfter > 0 {
		b = linelog.AppendFixed(append(b, `,"come_back_s":`...), answer.RetryAfter, 3)
	}
	if answer.AuditMark > 0 {
		b = append(strconv.AppendUint(append(b, l.markPrefix...), answer.AuditMark, 10), '"')
	}
	if len(answer.Attempts) > 0 {
		b = append(b, `,"tries":[`...)
		for i := range answer.Attempts {
			if i > 0 {
				b = append(b, ',')
			}
			b = l.appendAttempt(b, answer, &answer.Attempts[i])
		}
		b = append(b, ']')
	}
	l.EndLine(append(b, '}', '\n'))
}

func (l *Log) appendAttempt(b []byte, answer *dispatch.AnswerRecord, attempt *dispatch.AttemptRecord) []byte {
	b = linelog.AppendString(append(b, `{"node":`...), attempt.MemberName)
	if l.options.NodeSlot != nil {
		if slot := l.options.NodeSlot(attempt.Worker); slot != "" {
			b = linelog.AppendString(append(b, `,"slot":`...), slot)
		}
	}
	b = linelog.AppendFixed(append(b, `,"sent_ms":`...), (attempt.SentAt-answer.ArrivedAt)*1000, 3)
	if attempt.StartedAt > 0 {
		b = linelog.AppendFixed(append(b, `,"start_ms":`...), (attempt.StartedAt-answer.ArrivedAt)*1000, 3)
	}
	switch {
	case attempt.EndedAt > 0:
		b = linelog.AppendFixed(append(b, `,"end_ms":`...), (attempt.EndedAt-answer.ArrivedAt)*1000, 3)
		b = append(append(append(b, `,"result":"`...), telemetry.ResultNames[attempt.Result]...), '"')
	default:
		b = append(b, `,"result":"out"`...)
	}
	if attempt.Hedged {
		b = append(b, `,"copy":true`...)
	}
	if attempt.AuditMark > 0 {
		b = strconv.AppendUint(append(b, `,"mark":`...), attempt.AuditMark, 10)
	}
	if attempt.Attempt == answer.WinningAttempt {
		b = append(b, `,"won":true`...)
	}
	return append(b, '}')
}
