package proxy

import (
	"strings"
	"testing"
)

// pushAll passes a stream to a reader in pieces.
func pushAll(r *eventReader, in string, size int) (out string, events int) {
	for len(in) > 0 {
		n := min(size, len(in))
		b, m := r.push(nil, []byte(in[:n]))
		out += string(b)
		events += m
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
		{"complete events", "", eventText(1) + eventText(2), false, eventText(1) + eventText(2), "", "2", 2, true},
		{"part of one", "", eventText(1) + "id: 2\ndata: x\n", false, eventText(1), "id: 2\ndata: x\n", "1", 1, true},
		{"CRLF", "", "id: 1\r\ndata: x\r\n\r\nid", false, "id: 1\r\ndata: x\r\n\r\n", "id", "1", 1, true},
		{"versions first", "", "versions: 3\nid: 1\ndata: x\n\n", false, "versions: 3\nid: 1\ndata: x\n\n", "", "1", 1, true},
		{"comments", "", ": hello\n\n" + eventText(1) + "\n", false, ": hello\n\n" + eventText(1) + "\n", "", "1", 3, true},
		{"events without ids", "", eventText(1) + "data: x\n\n", false, eventText(1) + "data: x\n\n", "", "1", 2, false},
		{"invalid id", "", "id: a\x01b\ndata: x\n\n", false, "id: a\x01b\ndata: x\n\n", "", "a\x01b", 1, false},
		{"first runner, client resumes", "7", eventText(7) + eventText(8), false, eventText(7) + eventText(8), "", "8", 2, true},
		{"duplicates of a second runner", "7", eventText(6) + eventText(7) + eventText(8), true, eventText(8), "", "8", 1, true},
		{"more digits", "9", eventText(9) + eventText(10), true, eventText(10), "", "10", 1, true},
		{"ids that are no numbers", "a", "id: a\ndata: x\n\nid: b\ndata: y\n\n", true, "id: b\ndata: y\n\n", "", "b", 1,
			true},
	} {
		for _, size := range []int{1, 2, 3, 1000} {
			var r eventReader
			r.reset(tc.last)
			if tc.again {
				r.resume()
			}
			out, events := pushAll(&r, tc.in, size)
			if out != tc.out || string(r.remainder()) != tc.rest || r.lastID != tc.lastID || events != tc.events ||
				r.canResume() != tc.mayRestart {
				t.Errorf("%s by %d: %q, rest %q, last id %q, %d events, can resume %v", tc.name, size, out, r.remainder(), r.lastID,
					events, r.canResume())
			}
		}
	}
}

// Guards against an event without end that is buffered forever, and against one that is forwarded in part and then
// again.
func TestOversizedEvent(t *testing.T) {
	var r eventReader
	in := eventText(1) + "data: " + strings.Repeat("x", maxEventBytes+8192) + "\n\n" + eventText(2)
	out, _ := pushAll(&r, in, 4096)
	if out+string(r.remainder()) != in || r.canResume() {
		t.Errorf("got %d of %d bytes, can resume %v", len(out), len(in), r.canResume())
	}
}

// FuzzEvents compares with a reader that gets the stream at once: however it is split, the same bytes come out.
func FuzzEvents(f *testing.F) {
	f.Add([]byte(eventText(1)+eventText(2)+"id: 3\n"), uint8(3), false)
	f.Add([]byte("id: 1\r\n\r\n\n\n: x\n\nid: 0\n\n"), uint8(1), true)
	f.Fuzz(func(t *testing.T, in []byte, size uint8, again bool) {
		var whole, cut eventReader
		if again {
			whole.resume()
			cut.resume()
		}
		all, events := whole.push(nil, in)
		parts, counted := pushAll(&cut, string(in), int(size)+1)
		if string(all) != parts || string(whole.remainder()) != string(cut.remainder()) || whole.lastID != cut.lastID ||
			events != counted {
			t.Fatalf("at once %q remainder %q, split %q remainder %q", all, whole.remainder(), parts, cut.remainder())
		}
		if !again && string(all)+string(whole.remainder()) != string(in) {
			t.Fatalf("%q came out of %q", string(all)+string(whole.remainder()), in)
		}
		var counter eventCounter
		counter.count(in)
	})
}

func TestEventCounter(t *testing.T) {
	var c eventCounter
	got := 0
	for _, b := range []byte(eventText(1) + "\n: x\r\n\r\n" + eventText(2) + "data") {
		got += c.count([]byte{b})
	}
	if got != 3 {
		t.Errorf("counted %d", got)
	}
}
