package simwire

import (
	"encoding/binary"
	"fmt"

	"cinderroad/internal/dispatcher/settings"
	"cinderroad/loadbalancer"
)

// Host keeps the instances of one process and answers batches.
type Host struct {
	instances    map[uint32]*instance // by the simulator's number
	out          []byte               // the reply frame
	records      uint32               // in out
	lastInstance int64                // of the last instance record in out; -1: none
	report       []float32            // buffer of readReport
	workers      []loadbalancer.Worker
}

// instance is one balancer; it implements loadbalancer.Actions.
type instance struct {
	host     *Host
	id       uint32
	balancer *loadbalancer.Balancer // nil: the instance has a fault
}

// NewHost returns a Host without instances.
func NewHost() *Host { return &Host{instances: map[uint32]*instance{}} }

// HandleFrame applies a batch to the instances and returns the reply frame, which is valid until the next call.
func (h *Host) HandleFrame(frame Frame) ([]byte, error) {
	h.out = append(h.out[:0], make([]byte, replyHeaderSize)...)
	h.records = 0
	h.lastInstance = -1
	fields := &cursor{data: frame.Body}
	id := int64(-1)
	for i := uint32(0); i < frame.Records; i++ {
		start := fields.offset
		code := fields.uint16()
		fault := func(reason string) error {
			return &FrameError{Batch: frame.Batch, Offset: headerSize + start, Code: int(code), Reason: reason}
		}
		if code == eventInstance {
			id = int64(fields.uint32())
		} else if id < 0 {
			return nil, fault("record before any instance was named")
		} else if !h.handleRecord(code, fields, uint32(id), frame.Now) {
			return nil, fault("unknown event code")
		}
		if fields.failed {
			return nil, fault("record does not fit the frame")
		}
	}
	if fields.offset != len(frame.Body) {
		return nil, &FrameError{
			Batch:  frame.Batch,
			Offset: headerSize + fields.offset,
			Code:   noCode,
			Reason: "bytes after the last record",
		}
	}
	binary.LittleEndian.PutUint32(h.out, frame.Batch)
	binary.LittleEndian.PutUint32(h.out[replySizeOffset:], uint32(len(h.out)-replyHeaderSize))
	binary.LittleEndian.PutUint32(h.out[replyRecordsOffset:], h.records)
	return h.out, nil
}

// handleRecord reads one record and applies it to its instance; false means that the code is unknown. Records of instances
// that are not ready are read and dropped.
func (h *Host) handleRecord(code uint16, fields *cursor, id uint32, now float64) bool {
	target := h.instances[id]
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
		h.handleList(target, fields, now)
	case eventRequest:
		request := readRequest(fields)
		target.deliver(fields, func() { target.balancer.HandleRequest(now, &request) })
	case eventFirstByte:
		request := loadbalancer.RequestID(fields.uint32())
		attempt := int(fields.uint8())
		fields.take(firstByteRest)
		target.deliver(fields, func() { target.balancer.HandleFirstByte(now, request, attempt) })
	case eventProgress:
		handleProgress(target, fields, now)
	case eventOutcome:
		h.handleOutcome(target, fields, now)
	case eventProbeResult:
		h.handleProbeResult(target, fields, now)
	case eventDisconnect:
		request := loadbalancer.RequestID(fields.uint32())
		target.deliver(fields, func() { target.balancer.HandleDisconnect(now, request) })
	case eventTimer:
		token := fields.uint32()
		target.deliver(fields, func() { target.balancer.HandleTimer(now, token) })
	case eventPeer: // not used
		fields.uint16()
		fields.take(int(fields.uint16()))
	default:
		return false
	}
	return true
}

// handleList reads and applies a list record.
func (h *Host) handleList(target *instance, fields *cursor, now float64) {
	kind := loadbalancer.ListKind(min(fields.uint8(), uint8(loadbalancer.ListFailed)))
	fields.uint64() // not used
	count := int(fields.uint32())
	if count < 0 || count > (len(fields.data)-fields.offset)/listEntrySize {
		fields.failed = true
		return
	}
	h.readWorkers(fields, count)
	target.deliver(fields, func() { target.balancer.UpdateWorkers(now, kind, h.workers) })
}

// handleProgress reads and applies a progress record.
func handleProgress(target *instance, fields *cursor, now float64) {
	update := loadbalancer.ProgressUpdate{Request: loadbalancer.RequestID(fields.uint32()), Attempt: int(fields.uint8())}
	fields.uint32() // not used
	update.Started = fields.uint8() == 1
	update.Fraction = float64(fields.float32())
	target.deliver(fields, func() { target.balancer.HandleProgress(now, &update) })
}

// handleOutcome reads and applies an outcome record.
func (h *Host) handleOutcome(target *instance, fields *cursor, now float64) {
	outcome := loadbalancer.Outcome{
		Request: loadbalancer.RequestID(fields.uint32()),
		Attempt: int(fields.uint8()),
		Worker:  loadbalancer.WorkerID(fields.uint32()),
	}
	outcome.Result = resultOf(fields.uint16())
	fields.float64() // not used
	outcome.ClientAnswered = fields.uint8() != 0
	fields.uint8() // not used
	outcome.Report = h.readReport(fields)
	target.deliver(fields, func() { target.balancer.HandleOutcome(now, &outcome) })
}

// handleProbeResult reads and applies a probe's result.
func (h *Host) handleProbeResult(target *instance, fields *cursor, now float64) {
	worker := loadbalancer.WorkerID(fields.uint32())
	result := resultOf(fields.uint16())
	fields.float64() // not used
	report := h.readReport(fields)
	target.deliver(fields, func() { target.balancer.HandleProbeResult(now, worker, result, report) })
}

// isReady reports whether the instance has been booted and has no fault.
func (in *instance) isReady() bool { return in != nil && in.balancer != nil }

// boot starts an instance; one that ran under the same number is dropped.
func (h *Host) boot(id uint32, seed uint64, text []byte, now float64) {
	target := &instance{host: h, id: id}
	h.instances[id] = target
	parsed, err := settings.Parse(text)
	if err != nil {
		target.appendText(actionFault, err.Error())
		return
	}
	target.guard(func() {
		balancer, err := loadbalancer.New(parsed, seed, target)
		if err != nil {
			target.appendText(actionFault, settings.Explain(err).Error())
			return
		}
		target.balancer = balancer
		balancer.Start(now)
	})
}

// deliver has a ready instance handle an event, if all fields of its record did fit.
func (in *instance) deliver(fields *cursor, event func()) {
	if in.isReady() && !fields.failed {
		in.guard(event)
	}
}

// guard reports a panic of the decisions as a fault of the instance and retires it.
func (in *instance) guard(event func()) {
	defer func() {
		if cause := recover(); cause != nil {
			in.appendText(actionFault, fmt.Sprintf("panic: %v", cause))
			in.balancer = nil
		}
	}()
	event()
}
