package simwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"

	"cinderroad/internal/dispatcher/settings"
	"cinderroad/loadbalancer"
)

const settingsText = `{"categories":[
 {"name":"a","objectiveS":0.1,"deadlineS":5,"repeat":"retryable","worth":2,"unknownKey":[1]},
 {"name":"b","objectiveS":0.6,"deadlineS":9,"repeat":"dedup","dedupScope":"cell","windowS":7,"worth":8,"aimStretch":3}],
 "familyInfo":{"classKind":[-1,1],"classStretch":[2,2.5],"reportX0":"free slots","tellsStart":true},
 "failureDomains":["x","y"],"zone":1,"nInstances":3,"membershipMode":"on_request","tickS":0.004,
 "guarantees":{"answerSlackS":0.016,"askWithinS":10,"coldS":23,"coldShare":0.14,"fallMultiple":3,"fallS":1.5},
 "limits":{"attemptsCap":6,"mayCancel":true,"parallelTries":true,"maxRetryAfterS":2},
 "report":{"fields":["outstanding","throughput","x0"],"via":"piggyback"},"tenants":[{"name":"t","quotaPerS":4}]}`

// batch builds a frame from records.
type batch struct{ b []byte }

func (b *batch) u8(v uint8) *batch    { b.b = append(b.b, v); return b }
func (b *batch) u16(v uint16) *batch  { b.b = binary.LittleEndian.AppendUint16(b.b, v); return b }
func (b *batch) u32(v uint32) *batch  { b.b = binary.LittleEndian.AppendUint32(b.b, v); return b }
func (b *batch) u64(v uint64) *batch  { b.b = binary.LittleEndian.AppendUint64(b.b, v); return b }
func (b *batch) f32(v float32) *batch { return b.u32(math.Float32bits(v)) }
func (b *batch) f64(v float64) *batch { return b.u64(math.Float64bits(v)) }
func (b *batch) text(s string) *batch { b.u32(uint32(len(s))); b.b = append(b.b, s...); return b }

func (b *batch) frame(number, records uint32, now float64) []byte {
	h := (&batch{}).u32(number).u32(records).u32(uint32(len(b.b))).f64(now)
	return append(h.b, b.b...)
}

func bootBatch(text string) *batch {
	b := (&batch{}).u16(eventInstance).u32(3).u16(eventBoot).u64(42).text(text)
	b.u16(eventList).u8(2).u64(1).u32(1)
	return b.u32(77).u8(1).u16(0).u16(4).u8(1).f32(1).f64(0) // one ready worker
}

func handleAll(t *testing.T, in []byte) ([][]byte, error) {
	t.Helper()
	r, h := NewReader(bytes.NewReader(in)), NewHost()
	var replies [][]byte
	for {
		f, err := r.Next()
		if err == io.EOF {
			return replies, nil
		}
		if err != nil {
			return replies, err
		}
		reply, err := h.HandleFrame(f)
		if err != nil {
			return replies, err
		}
		replies = append(replies, append([]byte(nil), reply...))
	}
}

func TestRequestIsSentAndOutcomeHandled(t *testing.T) {
	in := bootBatch(settingsText).frame(1, 3, 100)
	req := (&batch{}).u16(eventInstance).u32(3).u16(eventRequest).u32(9).f32(1).f32(1).f64(0.05).u32(0).u16(1).u64(5)
	in = append(in, req.f64(105).u8(0).frame(2, 2, 100.01)...)
	end := (&batch{}).u16(eventInstance).u32(3).u16(eventProgress).u32(9).u8(0).u32(77).u8(1).f32(0)
	end.u16(eventOutcome).u32(9).u8(0).u32(77).u16(5).f64(0.1).u8(0).u8(0).u8(3).f32(1).f32(2).f32(3)
	in = append(in, end.frame(3, 3, 100.1)...)
	replies, err := handleAll(t, in)
	if err != nil || len(replies) != 3 {
		t.Fatalf("%d replies, %v", len(replies), err)
	}
	send := (&batch{}).u16(actionSend).u32(9).u32(77).f64(0)
	if !bytes.Contains(replies[1], send.b) {
		t.Errorf("no send of the request in % x", replies[1])
	}
	if !bytes.Contains(replies[2], send.b) { // a safe request that ended in an error is retried
		t.Errorf("no second attempt in % x", replies[2])
	}
	for i, reply := range replies {
		if got := binary.LittleEndian.Uint32(reply); got != uint32(i+1) {
			t.Errorf("reply %d bears number %d", i+1, got)
		}
		if got := binary.LittleEndian.Uint32(reply[4:]); int(got) != len(reply)-12 {
			t.Errorf("reply %d: length %d of %d", i+1, got, len(reply)-12)
		}
	}
}

func TestEmptyBatch(t *testing.T) {
	replies, err := handleAll(t, (&batch{}).frame(1, 0, 5))
	if err != nil || len(replies) != 1 || !bytes.Equal(replies[0], []byte{1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}) {
		t.Errorf("got % x, %v", replies, err)
	}
}

func TestSettings(t *testing.T) {
	s, err := settings.Parse([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	a, b := s.Classes[0], s.Classes[1]
	if a.RetrySafety != loadbalancer.RetrySafe || a.Stretch != 2 || a.Kind != -1 || a.Objective != 0.1 {
		t.Errorf("first class: %+v", a)
	}
	if b.RetrySafety != loadbalancer.RetryDeduplicated || b.DedupScope != loadbalancer.DedupCell || b.DedupWindow != 7 ||
		b.Stretch != 3 || b.Kind != 1 {
		t.Errorf("second class: %+v", b)
	}
	want := []loadbalancer.ReportField{loadbalancer.FieldInFlight, loadbalancer.FieldIgnored, loadbalancer.FieldFreeSlots}
	for i, f := range want {
		if s.ReportFields[i] != f {
			t.Errorf("report field %d: %v", i, s.ReportFields[i])
		}
	}
	if !s.ListOnRequest || s.ReportsByProbe || s.Zone != 1 || s.Instances != 3 || !s.ReportsStart {
		t.Errorf("settings: %+v", s)
	}
}

func TestInvalidSettingsNameTheField(t *testing.T) {
	for from, to := range map[string][2]string{
		`"repeat":"dedup"`:              {`"repeat":"often"`, "repeat"},
		`"dedupScope":"cell"`:           {`"dedupScope":"town"`, "dedupScope"},
		`"membershipMode":"on_request"`: {`"membershipMode":"x"`, "membershipMode"},
		`"objectiveS":0.1`:              {`"objectiveS":-1`, "categories[0].objectiveS"},
		`"nInstances":3`:                {`"nInstances":0`, "Instances"},
		`"via":"piggyback"`:             {`"via":"pigeon"`, "via"},
	} {
		text := strings.Replace(settingsText, from, to[0], 1)
		replies, err := handleAll(t, bootBatch(text).frame(1, 3, 100))
		if err != nil || len(replies) != 1 {
			t.Fatalf("%s: %v", to[0], err)
		}
		body := replies[0][12:]
		if binary.LittleEndian.Uint16(body[6:]) != actionFault || !strings.Contains(string(body), to[1]) {
			t.Errorf("%s: reply %q", to[0], body)
		}
	}
}

func TestMalformedFrames(t *testing.T) {
	good := bootBatch(settingsText).frame(7, 3, 100)
	huge := append([]byte(nil), good...)
	binary.LittleEndian.PutUint32(huge[8:], 1<<31)
	count := append([]byte(nil), good...)
	binary.LittleEndian.PutUint32(count[4:], 2)
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"cut header":   {good[:11], "byte 11"},
		"cut body":     {good[:len(good)-3], "batch 7"},
		"huge length":  {huge, "batch 7"},
		"record count": {count, "after the last record"},
		"unknown code": {(&batch{}).u16(eventInstance).u32(1).u16(999).frame(8, 2, 1), "batch 8, byte 26, code 999"},
		"no instance":  {(&batch{}).u16(eventTimer).u32(1).frame(8, 1, 1), "before any instance"},
		"cut record":   {(&batch{}).u16(eventInstance).u32(1).u16(eventTimer).u16(1).frame(8, 2, 1), "code 262"},
		"list count": {(&batch{}).u16(eventInstance).u32(1).u16(eventList).u8(1).u64(1).u32(1<<31).frame(8, 2, 1),
			"code 257"},
		"clock": {(&batch{}).frame(8, 0, math.NaN()), "clock"},
	} {
		_, err := handleAll(t, c.in)
		var fe *FrameError
		if !errors.As(err, &fe) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", name, err, c.want)
		}
	}
}

func TestHaltedInstanceIsSilent(t *testing.T) {
	in := bootBatch(settingsText).u16(eventHalt).u16(eventTimer).u32(math.MaxUint32).frame(1, 5, 100)
	in = append(in, (&batch{}).u16(eventInstance).u32(3).u16(eventTimer).u32(math.MaxUint32).frame(2, 2, 101)...)
	replies, err := handleAll(t, in)
	if err != nil || len(replies[1]) != 12 {
		t.Errorf("got % x, %v", replies[1], err)
	}
}

func FuzzFrames(f *testing.F) {
	f.Add(bootBatch(settingsText).frame(1, 3, 100))
	f.Add((&batch{}).frame(1, 0, 5))
	f.Add((&batch{}).u16(eventInstance).u32(1).u16(eventPeer).u16(1).u16(9).frame(8, 2, 1))
	f.Fuzz(func(t *testing.T, in []byte) {
		replies, err := handleAll(t, in)
		for _, r := range replies {
			if int(binary.LittleEndian.Uint32(r[4:])) != len(r)-12 {
				t.Errorf("reply % x does not bear its length", r)
			}
		}
		var fe *FrameError
		if err != nil && !errors.As(err, &fe) {
			t.Errorf("unplaced error: %v", err)
		}
	})
}

// TestShortListReachesNoBalancer: a list whose record ends before its count is an error, and the balancer keeps the list
// that it has.
func TestShortListReachesNoBalancer(t *testing.T) {
	host := NewHost()
	handle := func(frame []byte) error {
		read, err := NewReader(bytes.NewReader(frame)).Next()
		if err != nil {
			t.Fatal(err)
		}
		_, err = host.HandleFrame(read)
		return err
	}
	if err := handle(bootBatch(settingsText).frame(1, 3, 100)); err != nil {
		t.Fatal(err)
	}
	before := host.instances[3].balancer.Snapshot()
	for bytesOfRecord := range 1 + 8 + 4 {
		short := (&batch{}).u16(eventInstance).u32(3).u16(eventList)
		for range bytesOfRecord {
			short.u8(0)
		}
		var frameError *FrameError
		if err := handle(short.frame(2, 2, 100.01)); !errors.As(err, &frameError) {
			t.Fatalf("%d bytes: %v", bytesOfRecord, err)
		}
		if after := host.instances[3].balancer.Snapshot(); !reflect.DeepEqual(before, after) {
			t.Fatalf("%d bytes: the balancer's list is\n%+v, was\n%+v", bytesOfRecord, after, before)
		}
	}
}
