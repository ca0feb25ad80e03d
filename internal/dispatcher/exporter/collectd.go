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

// mostUnanswered is how many lines may wait for collectd's answers: it reads a line, dispatches it, answers, and only
// then reads the next.
const mostUnanswered = 128

// typeOf is a series' type by collectd's own types.db.
func typeOf(k telemetry.Kind) string {
	if k == telemetry.Counter {
		return "derive"
	}
	return "gauge"
}

// instance is a series' type instance: collectd's names have no dots.
func instance(name string) string { return strings.ReplaceAll(name, ".", "_") }

// Collectd delivers to collectd's unixsock plug-in: lines `PUTVAL "HOST/PLUGIN/TYPE-INSTANCE" interval=S TIME:VALUE`, each
// of which is answered (collectd-unixsock(5)). The connection stays.
type Collectd struct {
	sender
	path     string
	patience float64

	conn     *eventloop.Conn
	up       bool
	at       uint64
	period   *telemetry.Period
	reader   *telemetry.Reader
	written  bool // the last line of the period
	waiting  int  // lines without an answer
	answers  uint64
	answered uint64 // as of moved
	moved    float64
	limit    *eventloop.Timer
	host     string
}

// NewCollectd makes an output to the socket at path; patience is how many seconds it may go without an answer.
func NewCollectd(path string, patience float64) *Collectd {
	return &Collectd{path: path, patience: patience}
}

// Name implements Output.
func (o *Collectd) Name() string { return "collectd " + o.path }

// Kind implements Output.
func (o *Collectd) Kind() string { return "collectd" }

func (o *Collectd) start(f *Exporter, place *telemetry.Cursor) {
	o.begin(f, place)
	o.host = telemetry.SanitizeName(f.options.DispatcherName)
}

func (o *Collectd) stop() {
	o.rest()
	o.drop()
}

func (o *Collectd) drop() {
	o.limit.Stop()
	if o.conn != nil {
		o.conn.Close()
	}
	o.conn, o.up, o.period, o.reader, o.written, o.waiting = nil, false, nil, nil, false, 0
}

func (o *Collectd) wake() {
	if !o.free() || o.reader != nil || o.written {
		return
	}
	p, n := o.feed.from(o.place.Next())
	if p == nil {
		return
	}
	o.period, o.reader, o.at = p, p.Read(), n
	o.moved = o.feed.loop.Now()
	if o.conn == nil {
		o.conn = o.feed.loop.ConnectUnix(o.path, o)
	} else if o.up {
		o.pump()
	}
	o.limit.Stop()
	o.watch()
}

// watch gives the try up when collectd answers nothing.
func (o *Collectd) watch() {
	now := o.feed.loop.Now()
	if o.period == nil {
		return
	}
	if o.answered != o.answers {
		o.answered, o.moved = o.answers, now
	}
	if now-o.moved >= o.patience {
		o.Closed(nil, errors.New("no answer"))
		return
	}
	o.limit = o.feed.loop.At(now+o.patience/8, o.watch)
}

// Opened implements eventloop.Handler.
func (o *Collectd) Opened(*eventloop.Conn) {
	o.up = true
	o.pump()
}

// pump writes as many lines as may wait for their answers.
func (o *Collectd) pump() {
	var b []byte
	for o.reader != nil && o.waiting < mostUnanswered {
		s, v, ok := o.reader.Next()
		if !ok {
			o.ended(o.reader)
			o.reader, o.written = nil, true
			break
		}
		b = append(b, `PUTVAL "`...)
		b = append(append(b, o.host...), "/cinderroad/"...)
		b = append(append(b, typeOf(s.Kind)...), '-')
		b = append(append(b, instance(s.Name)...), `" interval=`...)
		b = strconv.AppendFloat(b, o.period.Interval, 'f', -1, 64)
		b = strconv.AppendFloat(append(b, ' '), float64(o.period.Timestamp)/1000, 'f', -1, 64)
		b = strconv.AppendFloat(append(b, ':'), v, 'f', -1, 64)
		b = append(b, '\n')
		o.waiting++
		o.state.Points++
	}
	if len(b) > 0 {
		o.conn.Write(b)
	}
	o.settle()
}

// settle ends a period once all its lines have their answers.
func (o *Collectd) settle() {
	if !o.written || o.waiting > 0 {
		return
	}
	n, stamp := o.at, o.period.Timestamp
	o.period, o.written, o.pause = nil, false, 0
	o.state.Periods++
	o.feed.took(o, n, stamp)
	o.feed.loop.Defer(o.wake)
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
			o.state.RejectedPoints++
			o.feed.log.Debug("metrics: collectd refused", zap.ByteString("line", line))
		}
		c.Consume(len(line) + 1)
		if o.waiting > 0 {
			o.waiting--
			o.answers++
		}
	}
	if o.conn == nil {
		return
	}
	if o.waiting < mostUnanswered/2 && o.reader != nil {
		o.pump()
	} else {
		o.settle()
	}
}

// Closed implements eventloop.Handler: what has no answer goes again, from the beginning of its period.
func (o *Collectd) Closed(_ *eventloop.Conn, err error) {
	o.feed.log.Debug("metrics: collectd", zap.String("path", o.path), zap.Error(err))
	idle := o.period == nil
	o.drop()
	if idle {
		return // the next period connects anew
	}
	o.again(o.wake)
}
