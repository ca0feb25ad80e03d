package simwire

import (
	"encoding/binary"
	"math"

	"cinderroad/loadbalancer"
)

// beginAction begins an action record, after an instance record if the last action was of another instance.
func (in *instance) beginAction(code uint16) {
	host := in.host
	if host.lastInstance != int64(in.id) {
		host.lastInstance = int64(in.id)
		host.out = binary.LittleEndian.AppendUint16(host.out, actionInstance)
		host.out = binary.LittleEndian.AppendUint32(host.out, in.id)
		host.records++
	}
	host.out = binary.LittleEndian.AppendUint16(host.out, code)
	host.records++
}

func (in *instance) appendUint32(value uint32) {
	in.host.out = binary.LittleEndian.AppendUint32(in.host.out, value)
}

func (in *instance) appendUint8(value uint8) { in.host.out = append(in.host.out, value) }

func (in *instance) appendFloat64(value float64) {
	in.host.out = binary.LittleEndian.AppendUint64(in.host.out, math.Float64bits(value))
}

// appendText appends a record of a text, cut to maxTextSize.
func (in *instance) appendText(code uint16, text string) {
	if len(text) > maxTextSize {
		text = text[:maxTextSize]
	}
	in.beginAction(code)
	in.host.out = binary.LittleEndian.AppendUint16(in.host.out, uint16(len(text)))
	in.host.out = append(in.host.out, text...)
}

// Send implements loadbalancer.Actions.
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

// Fail implements loadbalancer.Actions.
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

// Probe implements loadbalancer.Actions.
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

// Fetch implements loadbalancer.Actions.
func (in *instance) Fetch() { in.beginAction(actionFetch) }

// Log implements loadbalancer.Actions.
func (in *instance) Log(line string) { in.appendText(actionLog, line) }
