// Package platform speaks the platform's protocol: clients and call-backs, runners, and discovery, all as
// HTTP/1.1. The parsers are pure functions over bytes.
package platform

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Bounds of a message.
const (
	MaxHead = 16 << 10
	MaxBody = 64 << 10

	maxBlank = 16 // bytes of empty lines before a request
)

// ErrMore says that the message is not whole yet.
var ErrMore = errors.New("platform: message not whole")

// SyntaxError is a message that breaks HTTP or the bounds; Status is what a server answers to it.
type SyntaxError struct {
	Status int
	Reason string
}

func (e *SyntaxError) Error() string { return "platform: " + e.Reason }

func bad(status int, reason string) error { return &SyntaxError{Status: status, Reason: reason} }

// Header is the fields of a message in their order.
type Header []struct{ Name, Value string }

// Get returns the first value of a name, in any case.
func (h Header) Get(name string) string {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Has says whether a name is there, if only with an empty value.
func (h Header) Has(name string) bool { return h.count(name) > 0 }

func (h Header) count(name string) (n int) {
	for _, f := range h {
		if strings.EqualFold(f.Name, name) {
			n++
		}
	}
	return n
}

// Request is a whole request.
type Request struct {
	Method, Target string
	Header         Header
	Body           []byte
	Close          bool // the connection ends after the answer
}

// Response is a whole response.
type Response struct {
	Status int
	Header Header
	Body   []byte
	Close  bool
}

// ParseRequest reads one request from the start of b and tells how many bytes it took; ErrMore asks for more.
func ParseRequest(b []byte) (q Request, n int, err error) {
	for bytes.HasPrefix(b[n:], []byte("\r\n")) { // empty lines before a request are ignored
		if n += 2; n > maxBlank {
			return q, 0, bad(400, "no request")
		}
	}
	line, header, head, err := parseHead(b[n:])
	if errors.Is(err, ErrMore) && !startsRequest(b[n:]) {
		return q, 0, bad(400, "request line") // no more bytes can mend it
	}
	if err != nil {
		return q, 0, err
	}
	n += head
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !token(parts[0]) || !strings.HasPrefix(parts[1], "/") || !visible(parts[1]) {
		return q, 0, bad(400, "request line")
	}
	if parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return q, 0, bad(505, "HTTP version")
	}
	q = Request{Method: parts[0], Target: parts[1], Header: header, Close: closes(header, parts[2])}
	body, m, err := parseBody(b[n:], header, MaxBody)
	if err != nil {
		return q, 0, err
	}
	q.Body = body
	return q, n + m, nil
}

// startsRequest says whether b, the part of a head that has come, may still become a request.
func startsRequest(b []byte) bool {
	line, _, _ := bytes.Cut(b, []byte("\r"))
	for _, c := range line {
		if c < ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// visible says whether s holds visible ASCII alone. What else a target or an id holds might be read in another
// way by the next machine, or end its line there.
func visible(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

// ParseResponse reads one response from the start of b; ended says that the peer will send no more, which
// ends a body of untold length.
func ParseResponse(b []byte, ended bool) (p Response, n int, err error) {
	return parseResponse(b, ended, MaxBody)
}

// parseResponse reads a response whose body holds at most limit bytes.
func parseResponse(b []byte, ended bool, limit int) (p Response, n int, err error) {
	for {
		line, header, head, err := parseHead(b[n:])
		if err != nil {
			return p, 0, err
		}
		n += head
		version, rest, _ := strings.Cut(line, " ")
		code, _, _ := strings.Cut(rest, " ")
		status, err := strconv.Atoi(code)
		if err != nil || len(code) != 3 || status < 100 || version != "HTTP/1.1" && version != "HTTP/1.0" {
			return p, 0, bad(502, "status line")
		}
		if status >= 100 && status < 200 {
			continue // an interim answer; the real one follows
		}
		p = Response{Status: status, Header: header, Close: closes(header, version)}
		break
	}
	if p.Status == 204 || p.Status == 304 {
		return p, n, nil
	}
	if !p.Header.Has("Content-Length") && !p.Header.Has("Transfer-Encoding") {
		p.Close = true
		if len(b)-n > limit {
			return p, 0, bad(502, "body too large")
		}
		if !ended {
			return p, 0, ErrMore
		}
		p.Body = bytes.Clone(b[n:])
		return p, len(b), nil
	}
	body, m, err := parseBody(b[n:], p.Header, limit)
	if err != nil {
		return p, 0, err
	}
	p.Body = body
	return p, n + m, nil
}

// parseHead reads a start line and the fields after it.
func parseHead(b []byte) (line string, header Header, n int, err error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 && len(b) < MaxHead {
		return "", nil, 0, ErrMore
	}
	if end < 0 || end+4 > MaxHead {
		return "", nil, 0, bad(431, "header too large")
	}
	line, rest, _ := strings.Cut(string(b[:end]), "\r\n")
	if strings.ContainsAny(line, "\r\n\x00") {
		return "", nil, 0, bad(400, "start line")
	}
	for rest != "" {
		var field string
		field, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(field, ":")
		if !ok || !token(name) || strings.ContainsFunc(value, control) {
			return "", nil, 0, bad(400, "header field")
		}
		header = append(header, struct{ Name, Value string }{name, strings.Trim(value, " \t")})
	}
	return line, header, end + 4, nil
}

// control says whether c is a control byte other than the tab: none belongs into a field's value.
func control(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// AwaitsContinue says whether b holds a whole head whose sender waits for a word before it sends the body.
func AwaitsContinue(b []byte) bool {
	_, header, n, err := parseHead(b)
	return err == nil && n == len(b) && strings.EqualFold(header.Get("Expect"), "100-continue")
}

// token says whether s is an HTTP token.
func token(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c <= ' ' || c >= 0x7f || strings.IndexByte(`()<>@,;:\"/[]?={}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

func closes(h Header, version string) bool {
	connection := strings.ToLower(h.Get("Connection"))
	return strings.Contains(connection, "close") || version == "HTTP/1.0" && !strings.Contains(connection, "keep-alive")
}

// parseBody reads the body that the header announces, of at most limit bytes. A length told twice, or both
// ways, could be read differently by the next machine and hide a request in the body: it is not taken.
func parseBody(b []byte, h Header, limit int) (body []byte, n int, err error) {
	lengths, codings := h.count("Content-Length"), h.count("Transfer-Encoding")
	switch {
	case lengths+codings > 1:
		return nil, 0, bad(400, "two lengths")
	case codings == 1:
		if !strings.EqualFold(h.Get("Transfer-Encoding"), "chunked") {
			return nil, 0, bad(400, "transfer coding")
		}
		return parseChunks(b, limit)
	case lengths == 0:
		return nil, 0, nil
	}
	length := h.Get("Content-Length")
	size, err := strconv.ParseUint(length, 10, 63)
	if err != nil && strings.Trim(length, "0123456789") != "" || length == "" {
		return nil, 0, bad(400, "content length")
	}
	if err != nil || size > uint64(limit) { // digits without end are a length all the same
		return nil, 0, bad(413, "body too large")
	}
	if uint64(len(b)) < size {
		return nil, 0, ErrMore
	}
	return bytes.Clone(b[:size]), int(size), nil
}

// parseChunks reads a chunked body. What frames the chunks is bounded too, or it would be held without end.
func parseChunks(b []byte, limit int) (body []byte, n int, err error) {
	for {
		chunk, m, last, err := NextChunk(b[n:], limit)
		if errors.Is(err, ErrMore) && len(b) > 2*limit+MaxHead {
			return nil, 0, bad(413, "body too large")
		}
		if err != nil {
			return nil, 0, err
		}
		n += m
		if last {
			return body, n, nil
		}
		if body = append(body, chunk...); len(body) > limit {
			return nil, 0, bad(413, "body too large")
		}
	}
}

// NextChunk reads one chunk of a chunked body, of at most limit bytes; last marks the end of the body, its trailer included.
func NextChunk(b []byte, limit int) (chunk []byte, n int, last bool, err error) {
	end := bytes.Index(b, []byte("\r\n"))
	if end < 0 {
		if len(b) > 1024 {
			return nil, 0, false, bad(400, "chunk line")
		}
		return nil, 0, false, ErrMore
	}
	digits, _, _ := strings.Cut(string(b[:end]), ";")
	size, err := strconv.ParseUint(strings.Trim(digits, " \t"), 16, 31)
	if err != nil {
		return nil, 0, false, bad(400, "chunk size")
	}
	n = end + 2
	if size > 0 {
		if size > uint64(limit) {
			return nil, 0, false, bad(413, "chunk too large")
		}
		if len(b) < n+int(size)+2 {
			return nil, 0, false, ErrMore
		}
		if b[n+int(size)] != '\r' || b[n+int(size)+1] != '\n' {
			return nil, 0, false, bad(400, "chunk end")
		}
		return b[n : n+int(size)], n + int(size) + 2, false, nil
	}
	for { // the trailer
		end := bytes.Index(b[n:], []byte("\r\n"))
		if end < 0 {
			if len(b)-n > MaxHead {
				return nil, 0, false, bad(431, "trailer too large")
			}
			return nil, 0, false, ErrMore
		}
		n += end + 2
		if end == 0 {
			return nil, n, true, nil
		}
	}
}

// MaxList bounds the director's answers, which may hold the whole list.
const MaxList = 8 << 20

var reasons = map[int]string{200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 502: "Bad Gateway",
	503: "Service Unavailable", 505: "HTTP Version Not Supported"}

// AppendResponse writes a response; extra fields are whole lines.
func AppendResponse(b []byte, status int, extra string, body []byte, close bool) []byte {
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\n%s", status, reasons[status], extra)
	if status != 204 {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(body))
	}
	if close {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}
