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
	eventBoot        = 256
	eventList        = 257
	eventRequest     = 258
	eventFirstByte   = 259
	eventOutcome     = 260
	eventDisconnect  = 261
	eventTimer       = 262
	eventProbeResult = 263
	eventPeer        = 264
	eventHalt        = 265
	eventProgress    = 266
	eventInstance    = 267
)

// Codes of actions.
const (
	actionSend     = 256
	actionReject   = 257
	actionFail     = 258
	actionCancel   = 259
	actionTimer    = 260
	actionProbe    = 261
	actionLog      = 264
	actionFault    = 265
	actionWatch    = 266
	actionFetch    = 267
	actionInstance = 268
)

const (
	headerSize    = 20
	listEntrySize = 22
	maxTextSize   = math.MaxUint16
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
	source *bufio.Reader
	body   []byte
}

// NewReader returns a Reader on r.
func NewReader(source io.Reader) *Reader { return &Reader{source: bufio.NewReaderSize(source, 1<<16)} }

// Next reads one batch, valid until the next call; a clean end of the stream is io.EOF.
func (r *Reader) Next() (Frame, error) {
	var header [headerSize]byte
	if n, err := io.ReadFull(r.source, header[:]); err != nil {
		if err == io.EOF {
			return Frame{}, io.EOF
		}
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return Frame{}, &FrameError{Offset: n, Code: -1, Reason: "header cut short"}
		}
		return Frame{}, fmt.Errorf("wire: read header: %w", err)
	}
	frame := Frame{Batch: binary.LittleEndian.Uint32(header[:]), Records: binary.LittleEndian.Uint32(header[4:]),
		Now: math.Float64frombits(binary.LittleEndian.Uint64(header[12:]))}
	size := int(binary.LittleEndian.Uint32(header[8:]))
	if math.IsNaN(frame.Now) || math.IsInf(frame.Now, 0) {
		return frame, &FrameError{Batch: frame.Batch, Offset: 12, Code: -1, Reason: "clock is not a number"}
	}
	if int(frame.Records) > size/2 {
		return frame, &FrameError{Batch: frame.Batch, Offset: 4, Code: -1, Reason: "more records than bytes hold"}
	}
	// The length is not trusted for an allocation: the buffer grows with what has really come.
	r.body = r.body[:0]
	for len(r.body) < size {
		step := min(size-len(r.body), 1<<16)
		offset := len(r.body)
		r.body = append(r.body, make([]byte, step)...)
		if n, err := io.ReadFull(r.source, r.body[offset:]); err != nil {
			return frame, &FrameError{Batch: frame.Batch, Offset: headerSize + offset + n, Code: -1, Reason: "body cut short"}
		}
	}
	frame.Body = r.body
	return frame, nil
}

// Host keeps the instances of one process and answers batches.
type Host struct {
	instances    map[uint32]*instance
	out          []byte
	records      uint32
	lastInstance int64 // the instance named by the last `for` record, -1 for none
	report       []float32
	workers      []loadbalancer.Worker
}

// instance is one Balancer and the number it answers under; it implements loadbalancer.Actions.
type instance struct {
	host     *Host
	id       uint32
	balancer *loadbalancer.Balancer
}

// NewHost returns a Host without instances.
func NewHost() *Host { return &Host{instances: map[uint32]*instance{}} }

// cursor reads fields; the first one that does not fit makes it bad.
type cursor struct {
	data   []byte
	offset int
	failed bool
}

func (c *cursor) take(n int) []byte {
	if c.failed || n < 0 || n > len(c.data)-c.offset {
		c.failed = true
		return nil
	}
	c.offset += n
	return c.data[c.offset-n : c.offset]
}

func (c *cursor) uint8() uint8 {
	if b := c.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (c *cursor) uint16() uint16 {
	if b := c.take(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (c *cursor) uint32() uint32 {
	if b := c.take(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (c *cursor) uint64() uint64 {
	if b := c.take(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (c *cursor) float32() float32 { return math.Float32frombits(c.uint32()) }
func (c *cursor) float64() float64 { return math.Float64frombits(c.uint64()) }

// HandleFrame applies a batch to the instances and returns the reply frame, valid until the next call.
func (h *Host) HandleFrame(f Frame) ([]byte, error) {
	h.out = append(h.out[:0], make([]byte, 12)...)
	h.records, h.lastInstance = 0, -1
	fields := &cursor{data: f.Body}
	id := int64(-1)
	for i := uint32(0); i < f.Records; i++ {
		start := fields.offset
		code := fields.uint16()
		fault := func(reason string) error {
			return &FrameError{Batch: f.Batch, Offset: headerSize + start, Code: int(code), Reason: reason}
		}
		if code == eventInstance {
			id = int64(fields.uint32())
		} else if id < 0 {
			return nil, fault("record before any instance was named")
		} else if !h.handleRecord(code, fields, uint32(id), f.Now) {
			return nil, fault("unknown event code")
		}
		if fields.failed {
			return nil, fault("record does not fit the frame")
		}
	}
	if fields.offset != len(f.Body) {
		return nil, &FrameError{Batch: f.Batch, Offset: headerSize + fields.offset, Code: -1, Reason: "bytes after the last record"}
	}
	binary.LittleEndian.PutUint32(h.out, f.Batch)
	binary.LittleEndian.PutUint32(h.out[4:], uint32(len(h.out)-12))
	binary.LittleEndian.PutUint32(h.out[8:], h.records)
	return h.out, nil
}

// handleRecord reads one record whole before the decisions see it; false means the code is unknown.
func (h *Host) handleRecord(code uint16, fields *cursor, id uint32, now float64) bool {
	target := h.instances[id]
	ready := target != nil && target.balancer != nil
	switch code {
	case eventBoot:
		seed := fields.uint64()
		text := fields.take(int(fields.uint32()))
		if !fields.failed {
			h.boot(id, seed, text, now)
		}
	case eventHalt:
		delete(h.instances, id)
	case eventList:
		kind := loadbalancer.ListKind(min(fields.uint8(), uint8(loadbalancer.ListFailed)))
		fields.uint64()
		n := int(fields.uint32())
		if n < 0 || n > (len(fields.data)-fields.offset)/listEntrySize {
			fields.failed = true
			return true
		}
		h.readWorkers(fields, n)
		if ready {
			target.guard(func() { target.balancer.UpdateWorkers(now, kind, h.workers) })
		}
	case eventRequest:
		r := readRequest(fields)
		if ready && !fields.failed {
			target.guard(func() { target.balancer.HandleRequest(now, &r) })
		}
	case eventFirstByte:
		id, try := fields.uint32(), fields.uint8()
		fields.take(12)
		if ready && !fields.failed {
			target.guard(func() { target.balancer.HandleFirstByte(now, loadbalancer.RequestID(id), int(try)) })
		}
	case eventProgress:
		n := loadbalancer.ProgressUpdate{Request: loadbalancer.RequestID(fields.uint32()), Attempt: int(fields.uint8())}
		fields.uint32()
		n.Started = fields.uint8() == 1
		n.Fraction = float64(fields.float32())
		if ready && !fields.failed {
			target.guard(func() { target.balancer.HandleProgress(now, &n) })
		}
	case eventOutcome:
		o := loadbalancer.Outcome{Request: loadbalancer.RequestID(fields.uint32()), Attempt: int(fields.uint8()), Worker: loadbalancer.WorkerID(fields.uint32())}
		o.Result = resultOf(fields.uint16())
		fields.float64()
		o.ClientAnswered = fields.uint8() != 0
		fields.uint8()
		o.Report = h.readReport(fields)
		if ready && !fields.failed {
			target.guard(func() { target.balancer.HandleOutcome(now, &o) })
		}
	case eventProbeResult:
		w, res := loadbalancer.WorkerID(fields.uint32()), resultOf(fields.uint16())
		fields.float64()
		report := h.readReport(fields)
		if ready && !fields.failed {
			target.guard(func() { target.balancer.HandleProbeResult(now, w, res, report) })
		}
	case eventDisconnect:
		id := fields.uint32()
		if ready && !fields.failed {
			target.guard(func() { target.balancer.HandleDisconnect(now, loadbalancer.RequestID(id)) })
		}
	case eventTimer:
		token := fields.uint32()
		if ready && !fields.failed {
			target.guard(func() { target.balancer.HandleTimer(now, token) })
		}
	case eventPeer:
		fields.uint16()
		fields.take(int(fields.uint16()))
	default:
		return false
	}
	return true
}

func (h *Host) boot(id uint32, seed uint64, text []byte, now float64) {
	target := &instance{host: h, id: id}
	h.instances[id] = target
	set, err := settings.Parse(text)
	if err != nil {
		target.appendText(actionFault, err.Error())
		return
	}
	target.guard(func() {
		bal, err := loadbalancer.New(set, seed, target)
		if err != nil {
			target.appendText(actionFault, err.Error())
			return
		}
		target.balancer = bal
		bal.Start(now)
	})
}

// guard reports a panic of the decisions as the instance's fault and retires the instance.
func (in *instance) guard(event func()) {
	defer func() {
		if cause := recover(); cause != nil {
			in.appendText(actionFault, fmt.Sprintf("panic: %v", cause))
			in.balancer = nil
		}
	}()
	event()
}

func readRequest(fields *cursor) loadbalancer.Request {
	request := loadbalancer.Request{ID: loadbalancer.RequestID(fields.uint32()), Memory: float64(fields.float32()), Slots: float64(fields.float32()), Work: fields.float64()}
	request.Tenant = int(fields.uint32())
	if options := fields.uint16(); options&1 == 0 {
		request.Work = 0
	}
	fields.uint64()
	request.Deadline = fields.float64()
	request.Class = int(fields.uint8())
	return request
}

func (h *Host) readWorkers(fields *cursor, n int) {
	h.workers = h.workers[:0]
	for i := 0; i < n; i++ {
		w := loadbalancer.Worker{ID: loadbalancer.WorkerID(fields.uint32()), Zone: int(fields.uint8()), Kind: int(fields.uint16()), Cell: int(fields.uint16())}
		w.State = loadbalancer.WorkerState(fields.uint8())
		w.Weight, w.StartedAt = float64(fields.float32()), fields.float64()
		h.workers = append(h.workers, w)
	}
}

func (h *Host) readReport(fields *cursor) []float32 {
	n := int(fields.uint8())
	h.report = h.report[:0]
	for i := 0; i < n; i++ {
		h.report = append(h.report, fields.float32())
	}
	return h.report
}

func resultOf(code uint16) loadbalancer.Result {
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

// beginAction opens an action record, naming the instance first when it was not the last to speak.
func (in *instance) beginAction(code uint16) {
	h := in.host
	if h.lastInstance != int64(in.id) {
		h.lastInstance = int64(in.id)
		h.out = binary.LittleEndian.AppendUint16(h.out, actionInstance)
		h.out = binary.LittleEndian.AppendUint32(h.out, in.id)
		h.records++
	}
	h.out = binary.LittleEndian.AppendUint16(h.out, code)
	h.records++
}

func (in *instance) appendUint32(v uint32) {
	in.host.out = binary.LittleEndian.AppendUint32(in.host.out, v)
}
func (in *instance) appendUint8(v uint8) { in.host.out = append(in.host.out, v) }
func (in *instance) appendFloat64(v float64) {
	in.host.out = binary.LittleEndian.AppendUint64(in.host.out, math.Float64bits(v))
}

func (in *instance) appendText(code uint16, s string) {
	if len(s) > maxTextSize {
		s = s[:maxTextSize]
	}
	in.beginAction(code)
	in.host.out = binary.LittleEndian.AppendUint16(in.host.out, uint16(len(s)))
	in.host.out = append(in.host.out, s...)
}

// Send implements brain.Actions.
func (in *instance) Send(id loadbalancer.RequestID, worker loadbalancer.WorkerID, timeout float64) {
	in.beginAction(actionSend)
	in.appendUint32(uint32(id))
	in.appendUint32(uint32(worker))
	in.appendFloat64(timeout)
}

// Reject implements loadbalancer.Actions.
func (in *instance) Reject(id loadbalancer.RequestID, wait float64) {
	in.beginAction(actionReject)
	in.appendUint32(uint32(id))
	in.appendFloat64(wait)
}

// Fail implements brain.Actions.
func (in *instance) Fail(id loadbalancer.RequestID) {
	in.beginAction(actionFail)
	in.appendUint32(uint32(id))
}

// Cancel implements loadbalancer.Actions.
func (in *instance) Cancel(id loadbalancer.RequestID, attempt int) {
	in.beginAction(actionCancel)
	in.appendUint32(uint32(id))
	in.appendUint8(uint8(attempt))
}

// Probe implements brain.Actions.
func (in *instance) Probe(worker loadbalancer.WorkerID) {
	in.beginAction(actionProbe)
	in.appendUint32(uint32(worker))
}

// SetTimer implements loadbalancer.Actions.
func (in *instance) SetTimer(token uint32, at float64) {
	in.beginAction(actionTimer)
	in.appendUint32(token)
	in.appendFloat64(at)
}

// Watch implements loadbalancer.Actions.
func (in *instance) Watch(on bool) {
	in.beginAction(actionWatch)
	if on {
		in.appendUint8(1)
	} else {
		in.appendUint8(0)
	}
}

// Fetch implements brain.Actions.
func (in *instance) Fetch() { in.beginAction(actionFetch) }

// Log implements brain.Actions.
func (in *instance) Log(line string) { in.appendText(actionLog, line) }
