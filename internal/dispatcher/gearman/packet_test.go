package gearman

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestParse(t *testing.T) {
	for _, test := range []struct {
		name string
		in   string
		want *Packet // nil: an error
		more bool    // the error is ErrIncomplete
	}{
		{"submit", string(AppendRequest(nil, SubmitJob, "f", "u", "a\x00b")), &Packet{SubmitJob, []string{"f", "u", "a\x00b"}}, false},
		{"no argument", string(AppendRequest(nil, GrabJob)), &Packet{Kind: GrabJob}, false},
		{"empty last argument", string(AppendRequest(nil, WorkComplete, "H:1", "")), &Packet{WorkComplete, []string{"H:1", ""}}, false},
		{"first of two packets", string(AppendRequest(AppendRequest(nil, CanDo, "f"), GrabJob)), &Packet{CanDo, []string{"f"}}, false},
		{"half a header", "\x00RE", nil, true},
		{"half a body", string(AppendRequest(nil, CanDo, "func")[:14]), nil, true},
		{"bad magic", "\x00RAQ\x00\x00\x00\x01\x00\x00\x00\x00", nil, false},
		{"bad magic, short", "\x00X", nil, false},
		{"response packet", string(Append(nil, Noop)), nil, false},
		{"unknown type", string(AppendRequest(nil, 99)), nil, false},
		{"type that only clients receive", string(AppendRequest(nil, JobCreated, "H:1")), nil, false},
		{"too few arguments", string(AppendRequest(nil, SubmitJob, "f", "u")), nil, false},
		{"argument of a packet without arguments", string(AppendRequest(nil, GrabJob, "x")), nil, false},
		{"empty function name", string(AppendRequest(nil, CanDo, "")), nil, false},
		{"too large", "\x00REQ\x00\x00\x00\x07\x7f\xff\xff\xff", nil, false},
	} {
		got, n, err := Parse([]byte(test.in))
		if errors.Is(err, ErrIncomplete) != test.more || (err == nil) != (test.want != nil) {
			t.Errorf("%s: %v", test.name, err)
		} else if test.want != nil {
			if diff := cmp.Diff(*test.want, got); diff != "" || n > len(test.in) {
				t.Errorf("%s: %d bytes (-want +got):\n%s", test.name, n, diff)
			}
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(AppendRequest(nil, SubmitJob, "f", "u", "data"))
	f.Fuzz(func(t *testing.T, b []byte) {
		packet, n, err := Parse(b)
		if err != nil {
			return
		}
		if encoded := AppendRequest(nil, packet.Kind, packet.Args...); string(encoded) != string(b[:n]) {
			t.Errorf("%q was parsed as %q", b[:n], encoded)
		}
	})
}

// Every proper prefix of a packet or a line must be reported as incomplete, neither parsed nor rejected.
func TestParseIncompleteInput(t *testing.T) {
	packet := AppendRequest(nil, SubmitJob, "f", "u", "some\x00data")
	for n := range packet {
		if _, _, err := Parse(packet[:n]); !errors.Is(err, ErrIncomplete) {
			t.Errorf("first %d bytes of a packet: %v", n, err)
		}
	}
	for n, line := 0, []byte("show jobs\r\n"); n < len(line); n++ {
		if _, _, err := ParseLine(line[:n]); !errors.Is(err, ErrIncomplete) {
			t.Errorf("first %d bytes of a line: %v", n, err)
		}
	}
}
