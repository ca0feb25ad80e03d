package simwire

import (
	"encoding/binary"
	"math"

	"cinderroad/loadbalancer"
)

// cursor reads the fields of a frame; after the first one that does not fit all are zero.
type cursor struct {
	data   []byte
	offset int  // of the next field
	failed bool // a field did not fit
}

// take returns the next bytes, or nil.
func (c *cursor) take(count int) []byte {
	if c.failed || count < 0 || count > len(c.data)-c.offset {
		c.failed = true
		return nil
	}
	c.offset += count
	return c.data[c.offset-count : c.offset]
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

// optionWork is the bit of a request's options that says that its work is a hint.
const optionWork = 1

// readRequest reads the fields of a request record.
func readRequest(fields *cursor) loadbalancer.Request {
	request := loadbalancer.Request{
		ID:     loadbalancer.RequestID(fields.uint32()),
		Memory: float64(fields.float32()),
		Slots:  float64(fields.float32()),
		Work:   fields.float64(),
	}
	request.Tenant = int(fields.uint32())
	if options := fields.uint16(); options&optionWork == 0 {
		request.Work = 0
	}
	fields.uint64() // not used
	request.Deadline = fields.float64()
	request.Class = int(fields.uint8())
	return request
}

// readWorkers reads the entries of a list record into h.workers.
func (h *Host) readWorkers(fields *cursor, count int) {
	h.workers = h.workers[:0]
	for range count {
		worker := loadbalancer.Worker{
			ID:   loadbalancer.WorkerID(fields.uint32()),
			Zone: int(fields.uint8()),
			Kind: int(fields.uint16()),
			Cell: int(fields.uint16()),
		}
		worker.State = loadbalancer.WorkerState(fields.uint8())
		worker.Weight = float64(fields.float32())
		worker.StartedAt = fields.float64()
		h.workers = append(h.workers, worker)
	}
}

// readReport reads a load report, which is valid until the next one.
func (h *Host) readReport(fields *cursor) []float32 {
	count := int(fields.uint8())
	h.report = h.report[:0]
	for range count {
		h.report = append(h.report, fields.float32())
	}
	return h.report
}
