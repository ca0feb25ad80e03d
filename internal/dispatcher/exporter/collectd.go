package exporter

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/internal/shared/eventloop"
)

// maxUnanswered bounds the lines in flight. collectd dispatches and answers a line before it reads the next.
const maxUnanswered = 128

// typeOf returns a series' type in collectd's types.db.
func typeOf(k telemetry.Kind) string {
	if k == telemetry.Counter {
		return "derive"
	}
	return "gauge"
}

// typeInstance returns a series' type instance; collectd allows no dots there.
func typeInstance(name string) string { return strings.ReplaceAll(name, ".", "_") }

// Collectd delivers to collectd's unixsock plug-in over a persistent connection: lines `PUTVAL
// "HOST/PLUGIN/TYPE-INSTANCE" interval=S TIME:VALUE`, each of which is answered (collectd-unixsock(5)).
type Collectd struct {
	outputBase
	path    string
	timeout float64 // seconds without an answer

	conn          *eventloop.Conn
	connected     bool
	currentPeriod uint64
	period        *telemetry.Period
	reader        *telemetry.Reader
	periodWritten bool // all lines of the period are written
	unanswered    int  // lines without an answer
	answers       uint64
	answered      uint64 // as of progressAt
	progressAt    float64
	watchdog      *eventloop.Timer
	host          string
}

// NewCollectd returns an output to the socket at path. timeout is the number of seconds without an answer after which
// an attempt fails.
func NewCollectd(path string, timeout float64) *Collectd {
	return &Collectd{path: path, timeout: timeout}
}

// Name implements Output.
func (o *Collectd) Name() string { return "collectd " + o.path }

// Kind implements Output.
func (o *Collectd) Kind() string { return "collectd" }

func (o *Collectd) start(exporter *Exporter, cursor *telemetry.Cursor) {
	o.init(exporter, cursor)
	o.host = telemetry.SanitizeName(exporter.options.DispatcherName)
}

func (o *Collectd) stop() {
	o.stopTimer()
	o.disconnect()
}

func (o *Collectd) disconnect() {
	o.watchdog.Stop()
	if o.conn != nil {
		o.conn.Close()
	}
	o.conn = nil
	o.connected = false
	o.period = nil
	o.reader = nil
	o.periodWritten = false
	o.unanswered = 0
}

func (o *Collectd) wake() {
	if !o.canStart() || o.reader != nil || o.periodWritten {
		return
	}
	period, number := o.exporter.periodFrom(o.cursor.Next())
	if period == nil {
		return
	}
	o.period = period
	o.reader = period.Read()
	o.currentPeriod = number
	o.progressAt = o.exporter.loop.Now()
	if o.conn == nil {
		o.conn = o.exporter.loop.ConnectUnix(o.path, o)
	} else if o.connected {
		o.writeMore()
	}
	o.watchdog.Stop()
	o.checkProgress()
}

// checkProgress fails the attempt if collectd doesn't answer.
func (o *Collectd) checkProgress() {
	now := o.exporter.loop.Now()
	if o.period == nil {
		return
	}
	if o.answered != o.answers {
		o.answered = o.answers
		o.progressAt = now
	}
	if now-o.progressAt >= o.timeout {
		o.Closed(nil, errors.New("no answer"))
		return
	}
	o.watchdog = o.exporter.loop.At(now+o.timeout/checksPerTimeout, o.checkProgress)
}

// Opened implements eventloop.Handler.
func (o *Collectd) Opened(*eventloop.Conn) {
	o.connected = true
	o.writeMore()
}

// writeMore writes lines up to maxUnanswered.
func (o *Collectd) writeMore() {
	var b []byte
	for o.reader != nil && o.unanswered < maxUnanswered {
		s, v, ok := o.reader.Next()
		if !ok {
			o.logTruncated(o.reader)
			o.reader = nil
			o.periodWritten = true
			break
		}
		b = append(b, `PUTVAL "`...)
		b = append(append(b, o.host...), "/cinderroad/"...)
		b = append(append(b, typeOf(s.Kind)...), '-')
		b = append(append(b, typeInstance(s.Name)...), `" interval=`...)
		b = strconv.AppendFloat(b, o.period.Interval, 'f', -1, 64)
		b = strconv.AppendFloat(append(b, ' '), float64(o.period.Timestamp)/1000, 'f', -1, 64)
		b = strconv.AppendFloat(append(b, ':'), v, 'f', -1, 64)
		b = append(b, '\n')
		o.unanswered++
		o.stats.Points++
	}
	if len(b) > 0 {
		o.conn.Write(b)
	}
	o.finishPeriod()
}

// finishPeriod acknowledges the period once all its lines are answered.
func (o *Collectd) finishPeriod() {
	if !o.periodWritten || o.unanswered > 0 {
		return
	}
	number, timestamp := o.currentPeriod, o.period.Timestamp
	o.period = nil
	o.periodWritten = false
	o.retryDelay = 0
	o.stats.Periods++
	o.exporter.acknowledge(o, number, timestamp)
	o.exporter.loop.Defer(o.wake)
}

// Data implements eventloop.Handler. An answer is a line, `0 Success...` or `-1 reason`. A rejected point is counted
// and not sent again, since it would be rejected again.
func (o *Collectd) Data(c *eventloop.Conn) {
	for {
		line, _, complete := bytes.Cut(c.Bytes(), []byte("\n"))
		if !complete {
			break
		}
		if bytes.HasPrefix(line, []byte("-")) {
			o.stats.RejectedPoints++
			o.exporter.log.Debug("exporter: collectd rejected a value", zap.ByteString("line", line))
		}
		c.Consume(len(line) + 1)
		if o.unanswered > 0 {
			o.unanswered--
			o.answers++
		}
	}
	if o.conn == nil {
		return
	}
	if o.unanswered < maxUnanswered/2 && o.reader != nil {
		o.writeMore()
	} else {
		o.finishPeriod()
	}
}

// Closed implements eventloop.Handler. The unacknowledged period is sent again from its beginning.
func (o *Collectd) Closed(_ *eventloop.Conn, err error) {
	o.exporter.log.Debug("exporter: collectd connection failed", zap.String("path", o.path), zap.Error(err))
	idle := o.period == nil
	o.disconnect()
	if idle {
		return // the next period connects again
	}
	o.retryLater(o.wake)
}
