package httpfront

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestParseRequest(t *testing.T) {
	big := strings.Repeat("x", MaxBody+1)
	for _, tc := range []struct {
		name, in string
		status   int // 0: accepted; -1: incomplete
		body     string
		rest     string
		close    bool
	}{
		{"plain", "POST /a/b?c=1 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET", 0, "abc", "GET", false},
		{"no body", "GET / HTTP/1.1\r\n\r\n", 0, "", "", false},
		{
			name: "chunked",
			in:   "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: v\r\n\r\n.",
			body: "abc",
			rest: ".",
		},
		{"close", "POST / HTTP/1.1\r\nconnection: Close\r\ncontent-length:0\r\n\r\n", 0, "", "", true},
		{"1.0 closes", "GET / HTTP/1.0\r\n\r\n", 0, "", "", true},
		{"incomplete head", "POST / HTTP/1.1\r\nContent-Le", -1, "", "", false},
		{"incomplete body", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", -1, "", "", false},
		{"no target", "POST HTTP/1.1\r\n\r\n", 400, "", "", false},
		{"bad method", "P@ST / HTTP/1.1\r\n\r\n", 400, "", "", false},
		{"bad version", "GET / HTTP/2.0\r\n\r\n", 505, "", "", false},
		{"folded field", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 400, "", "", false},
		{"space before the colon", "GET / HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc", 400, "", "", false},
		{"bare LF in a value", "GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", 400, "", "", false},
		{"two lengths", "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400, "", "", false},
		{"length and chunks", "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "", "", false},
		{"negative length", "POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\nabc", 400, "", "", false},
		{"body too large", "POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413, "", "", false},
		{"chunks too large", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + big + "\r\n0\r\n\r\n", 413, "", "", false},
		{"head too large", "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", MaxHead) + "\r\n\r\n", 431, "", "", false},
		{"head without end", "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", MaxHead), 431, "", "", false},
	} {
		q, n, err := ParseRequest([]byte(tc.in))
		status := 0
		var syntax *SyntaxError
		if errors.As(err, &syntax) {
			status = syntax.Status
		} else if errors.Is(err, ErrIncomplete) {
			status = -1
		}
		if status != tc.status || err == nil && (string(q.Body) != tc.body || tc.in[n:] != tc.rest || q.Close != tc.close) {
			t.Errorf("%s: status %d (%v), body %q, rest %q, close %v", tc.name, status, err, q.Body, tc.in[n:], q.Close)
		}
	}
}

func TestParseResponse(t *testing.T) {
	for _, tc := range []struct {
		name, in string
		ended    bool
		want     Response
		err      bool
	}{
		{"accepted", "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", false, Response{Status: 202, Body: []byte{}}, false},
		{
			name: "interim response first",
			in:   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 x\r\nContent-Length: 1\r\n\r\na",
			want: Response{Status: 500, Body: []byte("a")},
		},
		{"no reason", "HTTP/1.1 204\r\n\r\n", false, Response{Status: 204}, false},
		{"until the connection's end", "HTTP/1.1 200 OK\r\n\r\nabc", true, Response{Status: 200, Body: []byte("abc"), Close: true}, false},
		{"connection not ended", "HTTP/1.1 200 OK\r\n\r\nabc", false, Response{}, true},
		{"truncated", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", true, Response{}, true},
		{"no HTTP", "SSH-2.0-x\r\n\r\n", false, Response{}, true},
	} {
		got, _, err := ParseResponse([]byte(tc.in), tc.ended)
		got.Header = nil
		if diff := cmp.Diff(tc.want, got); (err != nil) != tc.err || err == nil && diff != "" {
			t.Errorf("%s: %v (-want +got):\n%s", tc.name, err, diff)
		}
	}
}

// An invalid entry is dropped without the rest of its line, a full list without a valid entry is an error, and so is a
// malformed callback.
func TestParseListAndCallback(t *testing.T) {
	good := func(uid, state string) string {
		return `{"uid":"` + uid + `","endpoint":"127.0.0.1:1","state":"` + state + `"}`
	}
	for _, tc := range []struct {
		name, targets string
		all, ok       bool
		want          string // UID and state of the accepted entries
		bad           int
	}{
		{"valid", good("a", "ready"), true, true, "a ready", 0},
		{"gone, without an address", `{"uid":"a","state":"gone"}`, false, true, "a gone", 0},
		{"empty", "", true, true, "", 0},
		{"an unknown state beside a drain", good("a", "asleep") + "," + good("b", "draining"), false, true, "b draining", 1},
		{"no uid", good("", "ready") + "," + good("b", "ready"), true, true, "b ready", 1},
		{"no address", `{"uid":"a","endpoint":"nowhere","state":"ready"},` + good("b", "ready"), true, true, "b ready", 1},
		{
			name:    "a negative start time",
			targets: `{"uid":"a","endpoint":"127.0.0.1:1","state":"ready","boot_ms":-1},` + good("b", "ready"),
			all:     true,
			ok:      true,
			want:    "b ready",
			bad:     1,
		},
		{"wrong types", `{"uid":"a","endpoint":7},"x",` + good("b", "ready"), false, true, "b ready", 2},
		{"duplicate, draining last", good("a", "ready") + "," + good("a", "draining"), false, true, "a draining", 1},
		{"duplicate, draining first", good("a", "draining") + "," + good("a", "ready"), false, true, "a draining", 1},
		{"no valid entry", good("a", "asleep") + "," + good("", "ready"), true, false, "", 0},
		{"truncated", `{"uid":"a"`, true, false, "", 0},
	} {
		l, bad, err := ParseList(fmt.Appendf(nil, `{"rev":1,"all":%v,"targets":[%s]}`, tc.all, tc.targets))
		var got []string
		for _, e := range l.Entries {
			got = append(got, e.UID+" "+e.State)
		}
		if (err == nil) != tc.ok || strings.Join(got, ",") != tc.want || len(bad) != tc.bad {
			t.Errorf("list %s: %v, bad %v, accepted %v", tc.name, err, bad, got)
		}
	}
	n, err := ParseCallback([]byte(`{"id":"a","from":"b","state":"done","result":"q\"\u00e9\n","load":{"util":0.5,"inflight":3,"x0":2}}`))
	if err != nil || n.Result != "q\"é\n" {
		t.Errorf("result %q, %v", n.Result, err)
	}
	want := []float32{0.5, -1, 3, 2}
	if diff := cmp.Diff(want, n.Load.Values([]string{"utilization", "backlog", "outstanding", "x0"})); diff != "" {
		t.Errorf("load (-want +got):\n%s", diff)
	}
	for _, text := range []string{`{}`, `{"id":"a","from":"b"}`, `[]`, `{"id":"a","from":"b","state":7}`} {
		if _, err := ParseCallback([]byte(text)); err == nil {
			t.Errorf("callback %s was accepted", text)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if q, n, err := ParseRequest(b); err == nil {
			again, m, err := ParseRequest(append(bytes.Clone(b[:n]), "more"...))
			if err != nil || m != n || len(q.Body) > MaxBody || !cmp.Equal(q, again) {
				t.Errorf("what follows a request changes it: %v, %d and %d bytes", err, n, m)
			}
		}
		if p, n, err := ParseResponse(b, true); err == nil && (n > len(b) || p.Status < 200) {
			t.Errorf("response %d of %d bytes", p.Status, n)
		}
	})
}

// A message that is cut anywhere is incomplete: neither accepted nor rejected.
func TestParseIncomplete(t *testing.T) {
	request := func(b []byte) error { _, _, err := ParseRequest(b); return err }
	response := func(b []byte) error { _, _, err := ParseResponse(b, false); return err }
	chunk := func(b []byte) error { _, _, _, err := ParseChunk(b, MaxList); return err }
	for _, tc := range []struct {
		text  string
		parse func([]byte) error
	}{
		{"\r\n\r\nPOST /a/b HTTP/1.1\r\nA: \tb\r\nContent-Length: 3\r\n\r\nabc", request},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: v\r\n\r\n", request},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\nok", response},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", response},
		{"1e;x\r\n{\"rev\":1,\"all\":true,\"targets\":\r\n", chunk},
		{"0\r\nA: b\r\n\r\n", chunk},
	} {
		for n := range len(tc.text) {
			if err := tc.parse([]byte(tc.text[:n])); !errors.Is(err, ErrIncomplete) {
				t.Errorf("%q, cut at %d: %v", tc.text, n, err)
			}
		}
		if err := tc.parse([]byte(tc.text)); err != nil {
			t.Errorf("%q: %v", tc.text, err)
		}
	}
}
