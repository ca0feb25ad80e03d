package proxy

import (
	"strings"
	"testing"
)

// pushAll gives a reader a stream in pieces.
func pushAll(r *eventReader, in string, size int) (out string, events int) {
	for len(in) > 0 {
		n := min(size, len(in))
		b, m := r.push(nil, []byte(in[:n]))
		out, events = out+string(b), events+m
		in = in[n:]
	}
	return out, events
}

func TestEventReader(t *testing.T) {
	for _, tc := range []struct {
		name, last, in string
		again          bool
		out, rest      string
		lastID         string
		events         int
		mayRestart     bool
	}{
		{"whole events", "", event(1) + event(2), false, event(1) + event(2), "", "2", 2, true},
		{"part of one", "", event(1) + "id: 2\ndata: x\n", false, event(1), "id: 2\ndata: x\n", "1", 1, true},
		{"CRLF", "", "id: 1\r\ndata: x\r\n\r\nid", false, "id: 1\r\ndata: x\r\n\r\n", "id", "1", 1, true},
		{"versions first", "", "versions: 3\nid: 1\ndata: x\n\n", false, "versions: 3\nid: 1\ndata: x\n\n", "", "1", 1, true},
		{"comments", "", ": hello\n\n" + event(1) + "\n", false, ": hello\n\n" + event(1) + "\n", "", "1", 3, true},
		{"events without ids", "", event(1) + "data: x\n\n", false, event(1) + "data: x\n\n", "", "1", 2, false},
		{"an id that is none", "", "id: a\x01b\ndata: x\n\n", false, "id: a\x01b\ndata: x\n\n", "", "a\x01b", 1, false},
		{"first runner after a client's cut", "7", event(7) + event(8), false, event(7) + event(8), "", "8", 2, true},
		{"duplicates of a second runner", "7", event(6) + event(7) + event(8), true, event(8), "", "8", 1, true},
		{"more digits", "9", event(9) + event(10), true, event(10), "", "10", 1, true},
		{"ids that are no numbers", "a", "id: a\ndata: x\n\nid: b\ndata: y\n\n", true, "id: b\ndata: y\n\n", "", "b", 1,
			true},
	} {
		for _, size := range []int{1, 2, 3, 1000} {
			var r eventReader
			r.start(tc.last)
			if tc.again {
				r.restart()
			}
			out, events := pushAll(&r, tc.in, size)
			if out != tc.out || string(r.rest()) != tc.rest || r.lastID != tc.lastID || events != tc.events ||
				r.mayRestart() != tc.mayRestart {
				t.Errorf("%s by %d: %q, rest %q, last id %q, %d events, may restart %v", tc.name, size, out, r.rest(), r.lastID,
					events, r.mayRestart())
			}
		}
	}
}

// Guards against an event without end that is held for ever, and against one that is passed on in part and then again.
func TestEndlessEvent(t *testing.T) {
	var r eventReader
	in := event(1) + "data: " + strings.Repeat("x", mostEvent+8192) + "\n\n" + event(2)
	out, _ := pushAll(&r, in, 4096)
	if out+string(r.rest()) != in || r.mayRestart() {
		t.Errorf("got %d of %d bytes, may restart %v", len(out), len(in), r.mayRestart())
	}
}

// FuzzEvents compares with a reader that sees the stream at once: however it is cut, the same bytes come out.
func FuzzEvents(f *testing.F) {
	f.Add([]byte(event(1)+event(2)+"id: 3\n"), uint8(3), false)
	f.Add([]byte("id: 1\r\n\r\n\n\n: x\n\nid: 0\n\n"), uint8(1), true)
	f.Fuzz(func(t *testing.T, in []byte, size uint8, again bool) {
		var whole, cut eventReader
		if again {
			whole.restart()
			cut.restart()
		}
		all, events := whole.push(nil, in)
		parts, counted := pushAll(&cut, string(in), int(size)+1)
		if string(all) != parts || string(whole.rest()) != string(cut.rest()) || whole.lastID != cut.lastID ||
			events != counted {
			t.Fatalf("whole %q rest %q, cut %q rest %q", all, whole.rest(), parts, cut.rest())
		}
		if !again && string(all)+string(whole.rest()) != string(in) {
			t.Fatalf("%q came out of %q", string(all)+string(whole.rest()), in)
		}
		var counter eventCounter
		counter.count(in)
	})
}

func TestEventCounter(t *testing.T) {
	var c eventCounter
	got := 0
	for _, b := range []byte(event(1) + "\n: x\r\n\r\n" + event(2) + "data") {
		got += c.count([]byte{b})
	}
	if got != 3 {
		t.Errorf("counted %d", got)
	}
}
