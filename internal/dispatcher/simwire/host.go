package simwire

import (
	"encoding/binary"
	"fmt"

	"cinderroad/internal/dispatcher/settings"
	"cinderroad/loadbalancer"
)

// Host keeps the instances of one process and answers batches.
type Host struct {
	instances    map[uint32]*instance
	out          []byte
	records      uint32
	lastInstance int64 // the instance named by the last `for` record, -1 for none
	report       []float32
	workers      []loadbalancer.Worker
}

// instance is one balancer; it implements loadbalancer.Actions.
type instance struct {
	host     *Host
	id       uint32
	balancer *loadbalancer.Balancer
}

// NewHost returns a Host without instances.
func NewHost() *Host { return &Host{instances: map[uint32]*instance{}} }

// HandleFrame applies a batch to the instances and returns the reply frame, which is valid until the next call.
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

// boot starts an instance; one that ran under the same number is dropped.
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
