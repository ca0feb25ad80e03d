package compatibility_test

import (
	"encoding/binary"
	"math"
)

// Codes of the bench's records. The bench defines them; they are repeated here so that a change shows.
const (
	recordBoot     = 256
	recordList     = 257
	recordRequest  = 258
	recordOutcome  = 260
	recordGone     = 261
	recordHalt     = 265
	recordInstance = 267
)

const benchSettings = `{"categories":[{"name":"a","objectiveS":0.1,"deadlineS":5,"repeat":"retryable","worth":2},` +
	`{"name":"b","objectiveS":0.6,"deadlineS":9,"repeat":"dedup","dedupScope":"cell","windowS":7,"worth":8,"aimStretch":3}],` +
	`"familyInfo":{"classKind":[-1,1],"classStretch":[2,2.5],"reportX0":"free slots","tellsStart":true},` +
	`"failureDomains":["x","y"],"zone":1,"nInstances":3,"membershipMode":"on_request","tickS":0.004,` +
	`"guarantees":{"answerSlackS":0.016,"askWithinS":10,"coldS":23,"coldShare":0.14,"fallMultiple":3,"fallS":1.5},` +
	`"limits":{"attemptsCap":6,"mayCancel":true,"parallelTries":true,"maxRetryAfterS":2},` +
	`"report":{"fields":["outstanding","throughput","x0"],"via":"piggyback"},"tenants":[{"name":"t","quotaPerS":4}]}`

// records builds the body of a batch: b is the encoding, n the number of records.
type records struct {
	b []byte
	n uint32
}

func (r *records) record(code uint16) *records {
	r.n++
	return r.u16(code)
}

func (r *records) u8(v ...uint8) *records     { r.b = append(r.b, v...); return r }
func (r *records) u16(v uint16) *records      { r.b = binary.LittleEndian.AppendUint16(r.b, v); return r }
func (r *records) u32(v uint32) *records      { r.b = binary.LittleEndian.AppendUint32(r.b, v); return r }
func (r *records) u64(v uint64) *records      { r.b = binary.LittleEndian.AppendUint64(r.b, v); return r }
func (r *records) f32(v float32) *records     { return r.u32(math.Float32bits(v)) }
func (r *records) f64(v float64) *records     { return r.u64(math.Float64bits(v)) }
func (r *records) text(s string) *records     { r.u32(uint32(len(s))); r.b = append(r.b, s...); return r }
func (r *records) instance(n uint32) *records { return r.record(recordInstance).u32(n) }

func (r *records) batch(number uint32, now float64) []byte {
	head := (&records{}).u32(number).u32(r.n).u32(uint32(len(r.b))).f64(now)
	return append(head.b, r.b...)
}

// bench is a short run: a start with one worker, a request, its failure, and its client's disconnect.
func bench() []byte {
	start := (&records{}).instance(3).record(recordBoot).u64(42).text(benchSettings)
	start.record(recordList).u8(2).u64(1).u32(1).u32(77).u8(1).u16(0).u16(4).u8(1).f32(1).f64(0)
	request := (&records{}).instance(3).record(recordRequest).u32(9).f32(1).f32(1).f64(0.05).u32(0).u16(1).u64(5).f64(105).u8(0)
	failure := (&records{}).instance(3).record(recordOutcome).u32(9).u8(0).u32(77).u16(5).f64(0.1).u8(0).u8(0).u8(3).f32(1).f32(2).f32(3)
	leaving := (&records{}).instance(3).record(recordGone).u32(9).record(recordHalt)
	run := start.batch(1, 100)
	run = append(run, request.batch(2, 100.01)...)
	run = append(run, failure.batch(3, 100.1)...)
	return append(run, leaving.batch(4, 100.2)...)
}
