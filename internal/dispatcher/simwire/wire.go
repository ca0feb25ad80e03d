// Package wire turns the simulator's frames into brain's events and brain's actions into frames.
package simwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"cinderroad/internal/dispatcher/settings"
	"cinderroad/loadbalancer"
)

// Codes of events.
const (
	evBoot     = 256
	evList     = 257
	evRequest  = 258
	evFirst    = 259
	evOutcome  = 260
	evGone     = 261
	evTimer    = 262
	evProbed   = 263
	evPeer     = 264
	evHalt     = 265
	evNote     = 266
	evInstance = 267
)

// Codes of actions.
const (
	actSend     = 256
	actRefuse   = 257
	actFail     = 258
	actCancel   = 259
	actTimer    = 260
	actProbe    = 261
	actLog      = 264
	actFault    = 265
	actWatch    = 266
	actFetch    = 267
	actInstance = 268
)

const (
	headerSize    = 20
	listEntrySize = 22
	maxText       = math.MaxUint16
)

// FrameError tells where a batch stopped making sense.
type FrameError struct {
	Batch  uint32
	Offset int // from the start of the frame
	Code   int // code of the record, or -1 in the header
	Reason string
}

func (e *FrameError) Error() string {
	return fmt.Sprintf("wire: batch %d, byte %d, code %d: %s", e.Batch, e.Offset, e.Code, e.Reason)
}

// Frame is one batch as it was read.
type Frame struct {
	Batch, Records uint32
	Now            float64
	Body           []byte
}

// Reader reads batches from a stream.
type Reader struct {
	r    *bufio.Reader
	body []byte
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, 1<<16)} }

// Next reads one batch, valid until the next call; a clean end of the stream is io.EOF.
func (r *Reader) Next() (Frame, error) {
	var h [headerSize]byte
	if n, err := io.ReadFull(r.r, h[:]); err != nil {
		if err == io.EOF {
			return Frame{}, io.EOF
		}
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return Frame{}, &FrameError{Offset: n, Code: -1, Reason: "header cut short"}
		}
		return Frame{}, fmt.Errorf("wire: read header: %w", err)
	}
	f := Frame{Batch: binary.LittleEndian.Uint32(h[:]), Records: binary.LittleEndian.Uint32(h[4:]),
		Now: math.Float64frombits(binary.LittleEndian.Uint64(h[12:]))}
	size := int(binary.LittleEndian.Uint32(h[8:]))
	if math.IsNaN(f.Now) || math.IsInf(f.Now, 0) {
		return f, &FrameError{Batch: f.Batch, Offset: 12, Code: -1, Reason: "clock is not a number"}
	}
	if int(f.Records) > size/2 {
		return f, &FrameError{Batch: f.Batch, Offset: 4, Code: -1, Reason: "more records than bytes hold"}
	}
	// The length is not trusted for an allocation: the buffer grows with what has really come.
	r.body = r.body[:0]
	for len(r.body) < size {
		step := min(size-len(r.body), 1<<16)
		at := len(r.body)
		r.body = append(r.body, make([]byte, step)...)
		if n, err := io.ReadFull(r.r, r.body[at:]); err != nil {
			return f, &FrameError{Batch: f.Batch, Offset: headerSize + at + n, Code: -1, Reason: "body cut short"}
		}
	}
	f.Body = r.body
	return f, nil
}

// Host keeps the instances of one process and answers batches.
type Host struct {
	instances map[uint32]*instance
	out       []byte
	records   uint32
	speaking  int64 // the instance named by the last `for` record, -1 for none
	report    []float32
	list      []loadbalancer.Worker
}

// instance is one Balancer and the number it answers under; it implements loadbalancer.Actions.
type instance struct {
	host *Host
	who  uint32
	bal  *loadbalancer.Balancer
}

// NewHost returns a Host without instances.
func NewHost() *Host { return &Host{instances: map[uint32]*instance{}} }

// cursor reads fields; the first one that does not fit makes it bad.
type cursor struct {
	b   []byte
	at  int
	bad bool
}

func (c *cursor) take(n int) []byte {
	if c.bad || n < 0 || n > len(c.b)-c.at {
		c.bad = true
		return nil
	}
	c.at += n
	return c.b[c.at-n : c.at]
}

func (c *cursor) u8() uint8 {
	if b := c.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (c *cursor) u16() uint16 {
	if b := c.take(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if b := c.take(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (c *cursor) u64() uint64 {
	if b := c.take(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (c *cursor) f32() float32 { return math.Float32frombits(c.u32()) }
func (c *cursor) f64() float64 { return math.Float64frombits(c.u64()) }

// Answer applies a batch to the instances and returns the reply frame, valid until the next call.
func (h *Host) Answer(f Frame) ([]byte, error) {
	h.out = append(h.out[:0], make([]byte, 12)...)
	h.records, h.speaking = 0, -1
	c := &cursor{b: f.Body}
	who := int64(-1)
	for i := uint32(0); i < f.Records; i++ {
		start := c.at
		code := c.u16()
		fault := func(reason string) error {
			return &FrameError{Batch: f.Batch, Offset: headerSize + start, Code: int(code), Reason: reason}
		}
		if code == evInstance {
			who = int64(c.u32())
		} else if who < 0 {
			return nil, fault("record before any instance was named")
		} else if !h.event(code, c, uint32(who), f.Now) {
			return nil, fault("unknown event code")
		}
		if c.bad {
			return nil, fault("record does not fit the frame")
		}
	}
	if c.at != len(f.Body) {
		return nil, &FrameError{Batch: f.Batch, Offset: headerSize + c.at, Code: -1, Reason: "bytes after the last record"}
	}
	binary.LittleEndian.PutUint32(h.out, f.Batch)
	binary.LittleEndian.PutUint32(h.out[4:], uint32(len(h.out)-12))
	binary.LittleEndian.PutUint32(h.out[8:], h.records)
	return h.out, nil
}

// event reads one record whole before the decisions see it; false means the code is unknown.
func (h *Host) event(code uint16, c *cursor, who uint32, now float64) bool {
	in := h.instances[who]
	ready := in != nil && in.bal != nil
	switch code {
	case evBoot:
		seed := c.u64()
		text := c.take(int(c.u32()))
		if !c.bad {
			h.boot(who, seed, text, now)
		}
	case evHalt:
		delete(h.instances, who)
	case evList:
		kind := loadbalancer.ListKind(min(c.u8(), uint8(loadbalancer.ListFailed)))
		c.u64()
		n := int(c.u32())
		if n < 0 || n > (len(c.b)-c.at)/listEntrySize {
			c.bad = true
			return true
		}
		h.readList(c, n)
		if ready {
			in.guard(func() { in.bal.UpdateWorkers(now, kind, h.list) })
		}
	case evRequest:
		r := readRequest(c)
		if ready && !c.bad {
			in.guard(func() { in.bal.HandleRequest(now, &r) })
		}
	case evFirst:
		id, try := c.u32(), c.u8()
		c.take(12)
		if ready && !c.bad {
			in.guard(func() { in.bal.HandleFirstByte(now, loadbalancer.RequestID(id), int(try)) })
		}
	case evNote:
		n := loadbalancer.ProgressUpdate{Request: loadbalancer.RequestID(c.u32()), Attempt: int(c.u8())}
		c.u32()
		n.Started = c.u8() == 1
		n.Fraction = float64(c.f32())
		if ready && !c.bad {
			in.guard(func() { in.bal.HandleProgress(now, &n) })
		}
	case evOutcome:
		o := loadbalancer.Outcome{Request: loadbalancer.RequestID(c.u32()), Attempt: int(c.u8()), Worker: loadbalancer.WorkerID(c.u32())}
		o.Result = result(c.u16())
		c.f64()
		o.ClientAnswered = c.u8() != 0
		c.u8()
		o.Report = h.readReport(c)
		if ready && !c.bad {
			in.guard(func() { in.bal.HandleOutcome(now, &o) })
		}
	case evProbed:
		w, res := loadbalancer.WorkerID(c.u32()), result(c.u16())
		c.f64()
		report := h.readReport(c)
		if ready && !c.bad {
			in.guard(func() { in.bal.HandleProbeResult(now, w, res, report) })
		}
	case evGone:
		id := c.u32()
		if ready && !c.bad {
			in.guard(func() { in.bal.HandleDisconnect(now, loadbalancer.RequestID(id)) })
		}
	case evTimer:
		token := c.u32()
		if ready && !c.bad {
			in.guard(func() { in.bal.HandleTimer(now, token) })
		}
	case evPeer:
		c.u16()
		c.take(int(c.u16()))
	default:
		return false
	}
	return true
}

func (h *Host) boot(who uint32, seed uint64, text []byte, now float64) {
	in := &instance{host: h, who: who}
	h.instances[who] = in
	set, err := settings.Parse(text)
	if err != nil {
		in.text(actFault, err.Error())
		return
	}
	in.guard(func() {
		bal, err := loadbalancer.New(set, seed, in)
		if err != nil {
			in.text(actFault, err.Error())
			return
		}
		in.bal = bal
		bal.Start(now)
	})
}

// guard reports a panic of the decisions as the instance's fault and retires the instance.
func (in *instance) guard(f func()) {
	defer func() {
		if p := recover(); p != nil {
			in.text(actFault, fmt.Sprintf("panic: %v", p))
			in.bal = nil
		}
	}()
	f()
}

func readRequest(c *cursor) loadbalancer.Request {
	r := loadbalancer.Request{ID: loadbalancer.RequestID(c.u32()), Memory: float64(c.f32()), Slots: float64(c.f32()), Work: c.f64()}
	r.Tenant = int(c.u32())
	if opts := c.u16(); opts&1 == 0 {
		r.Work = 0
	}
	c.u64()
	r.Deadline = c.f64()
	r.Class = int(c.u8())
	return r
}

func (h *Host) readList(c *cursor, n int) {
	h.list = h.list[:0]
	for i := 0; i < n; i++ {
		w := loadbalancer.Worker{ID: loadbalancer.WorkerID(c.u32()), Zone: int(c.u8()), Kind: int(c.u16()), Cell: int(c.u16())}
		w.State = loadbalancer.WorkerState(c.u8())
		w.Weight, w.StartedAt = float64(c.f32()), c.f64()
		h.list = append(h.list, w)
	}
}

func (h *Host) readReport(c *cursor) []float32 {
	n := int(c.u8())
	h.report = h.report[:0]
	for i := 0; i < n; i++ {
		h.report = append(h.report, c.f32())
	}
	return h.report
}

func result(code uint16) loadbalancer.Result {
	switch code {
	case 0:
		return loadbalancer.OK
	case 11:
		return loadbalancer.Rejected
	case 110:
		return loadbalancer.Timeout
	case 111:
		return loadbalancer.ConnectFailed
	case 104:
		return loadbalancer.Reset
	case 125:
		return loadbalancer.Cancelled
	case 114:
		return loadbalancer.Withdrawn
	}
	return loadbalancer.Error // 5, and a code not known: the job may have run
}

// begin opens an action record, naming the instance first when it was not the last to speak.
func (in *instance) begin(code uint16) {
	h := in.host
	if h.speaking != int64(in.who) {
		h.speaking = int64(in.who)
		h.out = binary.LittleEndian.AppendUint16(h.out, actInstance)
		h.out = binary.LittleEndian.AppendUint32(h.out, in.who)
		h.records++
	}
	h.out = binary.LittleEndian.AppendUint16(h.out, code)
	h.records++
}

func (in *instance) u32(v uint32) { in.host.out = binary.LittleEndian.AppendUint32(in.host.out, v) }
func (in *instance) u8(v uint8)   { in.host.out = append(in.host.out, v) }
func (in *instance) f64(v float64) {
	in.host.out = binary.LittleEndian.AppendUint64(in.host.out, math.Float64bits(v))
}

func (in *instance) text(code uint16, s string) {
	if len(s) > maxText {
		s = s[:maxText]
	}
	in.begin(code)
	in.host.out = binary.LittleEndian.AppendUint16(in.host.out, uint16(len(s)))
	in.host.out = append(in.host.out, s...)
}

// Send implements loadbalancer.Actions.
func (in *instance) Send(id loadbalancer.RequestID, w loadbalancer.WorkerID, timeout float64) {
	in.begin(actSend)
	in.u32(uint32(id))
	in.u32(uint32(w))
	in.f64(timeout)
}

// Reject implements loadbalancer.Actions.
func (in *instance) Reject(id loadbalancer.RequestID, wait float64) {
	in.begin(actRefuse)
	in.u32(uint32(id))
	in.f64(wait)
}

// Fail implements loadbalancer.Actions.
func (in *instance) Fail(id loadbalancer.RequestID) { in.begin(actFail); in.u32(uint32(id)) }

// Cancel implements loadbalancer.Actions.
func (in *instance) Cancel(id loadbalancer.RequestID, attempt int) {
	in.begin(actCancel)
	in.u32(uint32(id))
	in.u8(uint8(attempt))
}

// Probe implements loadbalancer.Actions.
func (in *instance) Probe(w loadbalancer.WorkerID) { in.begin(actProbe); in.u32(uint32(w)) }

// SetTimer implements loadbalancer.Actions.
func (in *instance) SetTimer(token uint32, at float64) {
	in.begin(actTimer)
	in.u32(token)
	in.f64(at)
}

// Watch implements loadbalancer.Actions.
func (in *instance) Watch(on bool) {
	in.begin(actWatch)
	if on {
		in.u8(1)
	} else {
		in.u8(0)
	}
}

// Fetch implements loadbalancer.Actions.
func (in *instance) Fetch() { in.begin(actFetch) }

// Log implements loadbalancer.Actions.
func (in *instance) Log(line string) { in.text(actLog, line) }
