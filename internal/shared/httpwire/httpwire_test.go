package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// statusOf returns 0 for success, -1 for incomplete input, and the status of a syntax error.
func statusOf(t *testing.T, err error) int {
	var syntax *SyntaxError
	switch {
	case err == nil:
		return 0
	case errors.Is(err, ErrIncomplete):
		return -1
	case !errors.As(err, &syntax):
		t.Fatalf("error of another kind: %v", err)
	}
	return syntax.Status
}

func TestParseRequestHead(t *testing.T) {
	for _, tc := range []struct {
		name, in string
		status   int
		body     Framing
		close    bool
	}{
		{"plain", "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n", 0, Framing{}, false},
		{"blank lines before", "\r\n\r\nGET / HTTP/1.1\r\n\r\n", 0, Framing{}, false},
		{"many blank lines", strings.Repeat("\r\n", 20) + "GET / HTTP/1.1\r\n\r\n", 400, Framing{}, false},
		{"length", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", 0, Framing{ByLength, 3}, false},
		{"chunks", "POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n", 0, Framing{Chunked, 0}, false},
		{"close", "GET / HTTP/1.1\r\nConnection: keep-alive, Close\r\n\r\n", 0, Framing{}, true},
		{"close in a second field", "GET / HTTP/1.1\r\nConnection: x\r\nconnection: close\r\n\r\n", 0, Framing{}, true},
		{"1.0", "GET / HTTP/1.0\r\n\r\n", 0, Framing{}, true},
		{"1.0 stays", "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", 0, Framing{}, false},
		{"half", "GET / HTTP/1.1\r\nHost: h\r\n", -1, Framing{}, false},
		{"nothing", "", -1, Framing{}, false},
		{"half of what can be none", "GET / HT\x00", 400, Framing{}, false},
		{"too large", "GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 200) + "\r\n\r\n", 431, Framing{}, false},
		{"too large without end", "GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 200), 431, Framing{}, false},
		{"absolute target", "GET http://h/ HTTP/1.1\r\n\r\n", 400, Framing{}, false},
		{"asterisk", "OPTIONS * HTTP/1.1\r\n\r\n", 400, Framing{}, false},
		{"target with a control byte", "GET /\x7f HTTP/1.1\r\n\r\n", 400, Framing{}, false},
		{"target with more bytes", "GET /\xe4 HTTP/1.1\r\n\r\n", 400, Framing{}, false},
		{"two spaces", "GET  / HTTP/1.1\r\n\r\n", 400, Framing{}, false},
		{"space behind", "GET / HTTP/1.1 \r\n\r\n", 400, Framing{}, false},
		{"no version", "GET /\r\n\r\n", 400, Framing{}, false},
		{"other version", "GET / HTTP/1.2\r\n\r\n", 505, Framing{}, false},
		{"version in lower case", "GET / http/1.1\r\n\r\n", 505, Framing{}, false},
		{"folded", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 400, Framing{}, false},
		{"folded first", "GET / HTTP/1.1\r\n A: b\r\n\r\n", 400, Framing{}, false},
		{"space before colon", "POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\n", 400, Framing{}, false},
		{"no name", "GET / HTTP/1.1\r\n: b\r\n\r\n", 400, Framing{}, false},
		{"no colon", "GET / HTTP/1.1\r\nabc\r\n\r\n", 400, Framing{}, false},
		{"bare LF", "GET / HTTP/1.1\nHost: h\n\n\r\n\r\n", 400, Framing{}, false},
		{"bare LF in a value", "GET / HTTP/1.1\r\nA: b\nContent-Length: 3\r\n\r\n", 400, Framing{}, false},
		{"bare CR in a value", "GET / HTTP/1.1\r\nA: b\rc\r\n\r\n", 400, Framing{}, false},
		{"NUL in a value", "GET / HTTP/1.1\r\nA: b\x00\r\n\r\n", 400, Framing{}, false},
		{"two lengths", "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n", 400, Framing{}, false},
		{"list of lengths", "POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n", 400, Framing{}, false},
		{"length and chunks", "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400,
			Framing{}, false},
		{"two codings", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 400,
			Framing{}, false},
		{"other coding", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 400, Framing{}, false},
		{"coding with a tail", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked;x\r\n\r\n", 400, Framing{}, false},
		{"coding of 1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 400, Framing{}, false},
		{"signed length", "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n", 400, Framing{}, false},
		{"negative length", "POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n", 400, Framing{}, false},
		{"no length", "POST / HTTP/1.1\r\nContent-Length:\r\n\r\n", 400, Framing{}, false},
		{"hexadecimal length", "POST / HTTP/1.1\r\nContent-Length: 0x3\r\n\r\n", 400, Framing{}, false},
		{"endless length", "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", 413, Framing{}, false},
	} {
		head, _, err := ParseRequestHead([]byte(tc.in), 128)
		got := statusOf(t, err)
		sameEnd := head.Body == tc.body && head.Close == tc.close
		if got != tc.status || err == nil && !sameEnd {
			t.Errorf("%s: status %d (%v), body %v, close %v", tc.name, got, err, head.Body, head.Close)
		}
	}
}

func TestParseResponseHead(t *testing.T) {
	for _, tc := range []struct {
		name, method, in string
		failure          int // of statusOf
		status           int
		body             Framing
		close            bool
	}{
		{"length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", 0, 200, Framing{ByLength, 3}, false},
		{"no reason", "GET", "HTTP/1.1 200\r\nContent-Length: 3\r\n\r\n", 0, 200, Framing{ByLength, 3}, false},
		{"chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 0, 200, Framing{Chunked, 0}, false},
		{"until close", "GET", "HTTP/1.1 200 OK\r\n\r\n", 0, 200, Framing{UntilClose, 0}, true},
		{"no content", "GET", "HTTP/1.1 204 No\r\n\r\n", 0, 204, Framing{}, false},
		{"not modified", "GET", "HTTP/1.1 304 No\r\nContent-Length: 9\r\n\r\n", 0, 304, Framing{}, false},
		{"of a HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", 0, 200, Framing{}, false},
		{"interim", "GET", "HTTP/1.1 100 Go\r\n\r\n" +
			"HTTP/1.1 103 Hm\r\nLink: x\r\n\r\n" +
			"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", 0, 500, Framing{ByLength, 0}, false},
		{"interim alone", "GET", "HTTP/1.1 100 Go\r\n\r\n", -1, 0, Framing{}, false},
		{"close", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", 0, 200,
			Framing{ByLength, 0}, true},
		{"other protocol", "GET", "SSH-2.0", 502, 0, Framing{}, false},
		{"start of one", "GET", "HTT", -1, 0, Framing{}, false},
		{"upgrade", "GET", "HTTP/1.1 101 Up\r\n\r\n", 502, 0, Framing{}, false},
		{"no number", "GET", "HTTP/1.1 abc\r\n\r\n", 502, 0, Framing{}, false},
		{"long number", "GET", "HTTP/1.1 2000 OK\r\n\r\n", 502, 0, Framing{}, false},
		{"two lengths", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400, 0,
			Framing{}, false},
	} {
		head, _, err := ParseResponseHead([]byte(tc.in), tc.method, 4096)
		got := statusOf(t, err)
		sameEnd := head.Body == tc.body && head.Close == tc.close
		if got != tc.failure || head.Status != tc.status || err == nil && !sameEnd {
			t.Errorf("%s: %d (%v), status %d, body %v, close %v", tc.name, got, err, head.Status, head.Body, head.Close)
		}
	}
}

// readAll decodes a body that arrives in pieces of the given size.
func readAll(framing Framing, input string, size int) (body string, consumed int, done bool, err error) {
	var r BodyReader
	r.Reset(framing)
	var buffered []byte
	rest := input
	for {
		data, n, done, err := r.Next(buffered)
		body += string(data)
		consumed += n
		buffered = buffered[n:]
		if err != nil || done {
			return body, consumed, done, err
		}
		if n > 0 && len(buffered) > 0 {
			continue
		}
		if rest == "" {
			return body, consumed, false, nil
		}
		piece := rest[:min(size, len(rest))]
		buffered = append(buffered, piece...)
		rest = rest[len(piece):]
	}
}

func TestBodyReader(t *testing.T) {
	chunked := Framing{Kind: Chunked}
	for _, tc := range []struct {
		name    string
		framing Framing
		in      string
		body    string
		rest    string
		done    bool
		status  int
	}{
		{"none", Framing{}, "GET", "", "GET", true, 0},
		{"length", Framing{ByLength, 3}, "abcGET", "abc", "GET", true, 0},
		{"length of 0", Framing{ByLength, 0}, "GET", "", "GET", true, 0},
		{"half of a length", Framing{ByLength, 3}, "ab", "ab", "", false, 0},
		{"until close", Framing{Kind: UntilClose}, "abc", "abc", "", false, 0},
		{"chunks", chunked, "3\r\nabc\r\n1;x=y\r\nd\r\n0\r\n\r\nGET", "abcd", "GET", true, 0},
		{"trailer", chunked, "1\r\na\r\n0\r\nT: v\r\nU: w\r\n\r\nGET", "a", "GET", true, 0},
		{"half of a chunk", chunked, "3\r\nab", "ab", "", false, 0},
		{"no last line", chunked, "1\r\na\r\n0\r\n", "a", "", false, 0},
		{"bad end of a chunk", chunked, "1\r\nabc", "a", "bc", false, 400},
		{"bad size", chunked, "g\r\n", "", "g\r\n", false, 400},
		{"signed size", chunked, "+1\r\na\r\n", "", "+1\r\na\r\n", false, 400},
		{"no size", chunked, "\r\n", "", "\r\n", false, 400},
		{"prefixed size", chunked, "0x1\r\na\r\n", "", "0x1\r\na\r\n", false, 400},
		{"huge size", chunked, "ffffffffff\r\n", "", "ffffffffff\r\n", false, 400},
		{"bare LF in a chunk's line", chunked, "1;\nx\r\na\r\n", "", "1;\nx\r\na\r\n", false, 400},
	} {
		for _, size := range []int{1, 2, 3, 5, 100} {
			body, taken, done, err := readAll(tc.framing, tc.in, size)
			sameRest := tc.in[taken:] == tc.rest
			if statusOf(t, err) != tc.status || body != tc.body || done != tc.done || tc.status == 0 && !sameRest {
				t.Errorf("%s by %d: %q, remainder %q, done %v, %v", tc.name, size, body, tc.in[taken:], done, err)
			}
		}
	}
	for name, in := range map[string]string{
		"long line":    strings.Repeat("1", 2000),
		"long trailer": "0\r\n" + strings.Repeat("A: b\r\n", 4000),
	} {
		if _, _, _, err := readAll(chunked, in, 100); err == nil {
			t.Errorf("%s is accepted", name)
		}
	}
}

func TestIsEndToEnd(t *testing.T) {
	h := Header{{"Connection", "x-one, X-Two"}, {"connection", "x-three"}}
	for name, want := range map[string]bool{
		"Host":              true,
		"X-Try-Id":          true,
		"x-ONE":             false,
		"X-Two":             false,
		"X-Three":           false,
		"connection":        false,
		"KEEP-ALIVE":        false,
		"transfer-encoding": false,
		"Content-Length":    false,
		"TE":                false,
		"Upgrade":           false,
	} {
		if got := h.IsEndToEnd(name); got != want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// FuzzRequest compares with the standard library: what is accepted here must be the same request there, or a request could
// be smuggled past one of them.
func FuzzRequest(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET",
		"POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n0\r\nT: v\r\n\r\n",
		"PUT / HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 1\r\n\r\na",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		head, n, err := ParseRequestHead(input, 4096)
		if err != nil {
			return
		}
		body, taken, done, err := readAll(head.Body, string(input[n:]), len(input))
		if err != nil || !done {
			return
		}
		for size := range 3 {
			b, count, complete, err := readAll(head.Body, string(input[n:]), size+1)
			if b != body || count != taken || !complete || err != nil {
				t.Fatalf("by %d bytes: %q, %d, %v, %v; at once: %q, %d", size+1, b, count, complete, err, body, taken)
			}
		}
		reader := bufio.NewReader(bytes.NewReader(input[:n+taken]))
		std, err := http.ReadRequest(reader)
		if err != nil {
			return // the standard library rejects more, such as odd hosts
		}
		stdBody, err := io.ReadAll(std.Body)
		if err != nil {
			return
		}
		if std.Method != head.Method || std.RequestURI != head.Target || string(stdBody) != body || reader.Buffered() > 0 {
			t.Fatalf("%s %s %q here, %s %s %q there with %d bytes left",
				head.Method, head.Target, body, std.Method, std.RequestURI, stdBody, reader.Buffered())
		}
	})
}

// FuzzResponse guards against panics and against bytes that are consumed twice or beyond the end.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		head, n, err := ParseResponseHead(input, "GET", 4096)
		if err != nil {
			return
		}
		if n > len(input) || head.Status < 200 || head.Status > 999 {
			t.Fatalf("status %d after %d of %d bytes", head.Status, n, len(input))
		}
		if body, taken, _, _ := readAll(head.Body, string(input[n:]), 7); n+taken > len(input) || len(body) > taken {
			t.Fatalf("consumed %d and %d of %d bytes for %d", n, taken, len(input), len(body))
		}
	})
}
