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

// maxUnanswered is how many lines may wait for collectd's answers: it reads a line, dispatches it, answers, and only
// then reads the next.
const maxUnanswered = 128

// typeOf is a series' type by collectd's own types.db.
func typeOf(k telemetry.Kind) string {
	if k == telemetry.Counter {
		return "derive"
	}
	return "gauge"
}

// typeInstance is a series' type instance: collectd's names have no dots.
func typeInstance(name string) string { return strings.ReplaceAll(name, ".", "_") }

// Collectd delivers to collectd's unixsock plug-in: lines `PUTVAL "HOST/PLUGIN/TYPE-INSTANCE" interval=S TIME:VALUE`, each
// of which is answered (collectd-unixsock(5)). The connection stays.
type Collectd struct {
	outputBase
	path    string
	timeout float64

	conn          *eventloop.Conn
	connected     bool
	currentPeriod uint64
	period        *telemetry.Period
	reader        *telemetry.Reader
	periodWritten bool // the last line of the period
	unanswered    int  // lines without an answer
	answers       uint64
	answered      uint64 // as of moved
	progressAt    float64
	watchdog      *eventloop.Timer
	host          string
}

// NewCollectd makes an output to the socket at path; patience is how many seconds it may go without an answer.
func NewCollectd(path string, patience float64) *Collectd {
	return &Collectd{path: path, timeout: patience}
}

// Name implements Output.
func (o *Collectd) Name() string { return "collectd " + o.path }

// Kind implements Output.
func (o *Collectd) Kind() string { return "collectd" }

func (o *Collectd) start(f *Exporter, place *telemetry.Cursor) {
	o.init(f, place)
	o.host = telemetry.SanitizeName(f.options.DispatcherName)
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
	o.conn, o.connected, o.period, o.reader, o.periodWritten, o.unanswered = nil, false, nil, nil, false, 0
}

func (o *Collectd) wake() {
	if !o.canStart() || o.reader != nil || o.periodWritten {
		return
	}
	p, n := o.exporter.periodFrom(o.cursor.Next())
	if p == nil {
		return
	}
	o.period, o.reader, o.currentPeriod = p, p.Read(), n
	o.progressAt = o.exporter.loop.Now()
	if o.conn == nil {
		o.conn = o.exporter.loop.ConnectUnix(o.path, o)
	} else if o.connected {
		o.writeMore()
	}
	o.watchdog.Stop()
	o.checkProgress()
}

// checkProgress gives the try up when collectd answers nothing.
func (o *Collectd) checkProgress() {
	now := o.exporter.loop.Now()
	if o.period == nil {
		return
	}
	if o.answered != o.answers {
		o.answered, o.progressAt = o.answers, now
	}
	if now-o.progressAt >= o.timeout {
		o.Closed(nil, errors.New("no answer"))
		return
	}
	o.watchdog = o.exporter.loop.At(now+o.timeout/8, o.checkProgress)
}

// Opened implements eventloop.Handler.
func (o *Collectd) Opened(*eventloop.Conn) {
	o.connected = true
	o.writeMore()
}

// writeMore writes as many lines as may wait for their answers.
func (o *Collectd) writeMore() {
	var b []byte
	for o.reader != nil && o.unanswered < maxUnanswered {
		s, v, ok := o.reader.Next()
		if !ok {
			o.logTruncated(o.reader)
			o.reader, o.periodWritten = nil, true
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

// finishPeriod ends a period once all its lines have their answers.
func (o *Collectd) finishPeriod() {
	if !o.periodWritten || o.unanswered > 0 {
		return
	}
	n, stamp := o.currentPeriod, o.period.Timestamp
	o.period, o.periodWritten, o.retryDelay = nil, false, 0
	o.stats.Periods++
	o.exporter.acknowledge(o, n, stamp)
	o.exporter.loop.Defer(o.wake)
}

// Data implements eventloop.Handler: `0 Success...` or `-1 why not`, a line each. A point that collectd will not have, it
// will not have later either: it is counted and left.
func (o *Collectd) Data(c *eventloop.Conn) {
	for {
		line, _, whole := bytes.Cut(c.Bytes(), []byte("\n"))
		if !whole {
			break
		}
		if bytes.HasPrefix(line, []byte("-")) {
			o.stats.RejectedPoints++
			o.exporter.log.Debug("metrics: collectd refused", zap.ByteString("line", line))
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

// Closed implements eventloop.Handler: what has no answer goes again, from the beginning of its period.
func (o *Collectd) Closed(_ *eventloop.Conn, err error) {
	o.exporter.log.Debug("metrics: collectd", zap.String("path", o.path), zap.Error(err))
	idle := o.period == nil
	o.disconnect()
	if idle {
		return // the next period connects anew
	}
	o.retryLater(o.wake)
}
