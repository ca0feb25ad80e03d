// Package httpwire reads and writes HTTP/1.1 messages (RFC 9112) over bytes that the caller holds. It does no I/O: a
// parser that needs more bytes says so with ErrIncomplete. Whatever two readers could frame differently is an error, so that
// no request can hide inside another one.
package httpwire

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

const (
	maxBlankBytes     = 16 // bytes of empty lines before a request
	typicalFieldCount = 16 // of a usual message
)

// ErrIncomplete says that the message is not whole yet.
var ErrIncomplete = errors.New("httpwire: message not whole")

// SyntaxError is a message that breaks HTTP or the bounds; Status is what a server answers to it.
type SyntaxError struct {
	Status int
	Reason string
}

func (e *SyntaxError) Error() string { return "httpwire: " + e.Reason }

// NewSyntaxError makes a SyntaxError.
func NewSyntaxError(status int, reason string) error {
	return &SyntaxError{Status: status, Reason: reason}
}

// Header is the fields of a message in their order.
type Header []struct{ Name, Value string }

// Get returns the first value of a name, in any case.
func (h Header) Get(name string) string {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// Has says whether a name is there, if only with an empty value.
func (h Header) Has(name string) bool { return h.Count(name) > 0 }

// Count says how many fields have the name.
func (h Header) Count(name string) (n int) {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			n++
		}
	}
	return n
}

// GetUnique is the value of a field; ok is false when it is there twice, which two readers might take differently.
func (h Header) GetUnique(name string) (value string, ok bool) {
	return h.Get(name), h.Count(name) <= 1
}

// HasElement says whether one of the comma-separated elements of the fields of a name is the given one, in any case.
func (h Header) HasElement(name, element string) bool {
	for i := range h {
		if !strings.EqualFold(h[i].Name, name) {
			continue
		}
		for part := range strings.SplitSeq(h[i].Value, ",") {
			if strings.EqualFold(strings.Trim(part, " \t"), element) {
				return true
			}
		}
	}
	return false
}

// ClosesConnection says whether the connection ends after the message.
func (h Header) ClosesConnection(version string) bool {
	return h.HasElement("Connection", "close") || version == "HTTP/1.0" && !h.HasElement("Connection", "keep-alive")
}

// ParseHead reads a start line and the fields after it, of at most limit bytes together.
func ParseHead(b []byte, limit int) (line string, header Header, n int, err error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 && len(b) < limit {
		return "", nil, 0, ErrIncomplete
	}
	if end < 0 || end+4 > limit {
		return "", nil, 0, NewSyntaxError(431, "header too large")
	}
	line, rest, _ := strings.Cut(string(b[:end]), "\r\n")
	if strings.ContainsAny(line, "\r\n\x00") {
		return "", nil, 0, NewSyntaxError(400, "start line")
	}
	if rest != "" {
		header = make(Header, 0, typicalFieldCount)
	}
	for rest != "" {
		var field string
		field, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := parseField(field)
		if !ok {
			return "", nil, 0, NewSyntaxError(400, "header field")
		}
		header = append(header, struct{ Name, Value string }{name, value})
	}
	return line, header, end + 4, nil
}

// parseField reads one line of a header or a trailer.
func parseField(line string) (name, value string, ok bool) {
	name, value, ok = strings.Cut(line, ":")
	if !ok || !IsToken(name) || strings.ContainsFunc(value, isControl) {
		return "", "", false
	}
	return name, strings.Trim(value, " \t"), true
}

// isControl says whether c is a control byte other than the tab: none belongs into a field's value.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// IsToken says whether s is an HTTP token.
func IsToken(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c <= ' ' || c >= 0x7f || strings.IndexByte(`()<>@,;:\"/[]?={}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

// IsVisibleASCII says whether s holds visible ASCII alone. What else a target or an id holds might be read in another
// way by the next machine, or end its line there.
func IsVisibleASCII(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

// IsMessagePrefix says whether b, the part of a head that has come, may still become a message.
func IsMessagePrefix(b []byte) bool {
	line, _, _ := bytes.Cut(b, []byte("\r"))
	for _, c := range line {
		if c < ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// RequestHead is the head of a request.
type RequestHead struct {
	Method, Target, Version string
	Header                  Header
	Body                    Framing
	Close                   bool // the client wants the connection to end after the answer
	ExpectsContinue         bool // the client sends the body after a 100
}

// SkipBlankLines counts the bytes of empty lines before a request, which are ignored.
func SkipBlankLines(b []byte) (n int, err error) {
	for bytes.HasPrefix(b[n:], []byte("\r\n")) {
		if n += 2; n > maxBlankBytes {
			return 0, NewSyntaxError(400, "no request")
		}
	}
	return n, nil
}

// ParseRequestHead reads the head of a request, of at most limit bytes, and tells how many bytes it took.
func ParseRequestHead(b []byte, limit int) (head RequestHead, n int, err error) {
	blank, err := SkipBlankLines(b)
	if err != nil {
		return head, 0, err
	}
	line, header, n, err := ParseHead(b[blank:], limit)
	if errors.Is(err, ErrIncomplete) && !IsMessagePrefix(b[blank:]) {
		return head, 0, NewSyntaxError(400, "request line") // no more bytes can mend it
	}
	if err != nil {
		return head, 0, err
	}
	if head.Method, head.Target, head.Version, err = ParseRequestLine(line); err != nil {
		return head, 0, err
	}
	head.Header = header
	head.Close = header.ClosesConnection(head.Version)
	head.ExpectsContinue = head.Version == "HTTP/1.1" && strings.EqualFold(header.Get("Expect"), "100-continue")
	if head.Body, err = requestFraming(header, head.Version); err != nil {
		return head, 0, err
	}
	return head, blank + n, nil
}

// ParseRequestLine reads the first line of a request, whose target must be in origin form.
func ParseRequestLine(line string) (method, target, version string, err error) {
	method, rest, _ := strings.Cut(line, " ")
	target, version, _ = strings.Cut(rest, " ")
	if !IsToken(method) || !strings.HasPrefix(target, "/") || !IsVisibleASCII(target) || version == "" ||
		strings.Contains(version, " ") {
		return "", "", "", NewSyntaxError(400, "request line")
	}
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return "", "", "", NewSyntaxError(505, "HTTP version")
	}
	return method, target, version, nil
}

// ResponseHead is the head of a final response.
type ResponseHead struct {
	Status int
	Reason string
	Header Header
	Body   Framing
	Close  bool // the connection ends after the response
}

// ParseResponseHead reads the head of the response to a request with the given method, of at most limit bytes; interim
// responses before it are skipped.
func ParseResponseHead(b []byte, method string, limit int) (head ResponseHead, n int, err error) {
	for {
		line, header, headBytes, err := ParseHead(b[n:], limit)
		if errors.Is(err, ErrIncomplete) && !startsResponse(b[n:]) {
			return head, 0, NewSyntaxError(502, "status line")
		}
		if err != nil {
			return head, 0, err
		}
		n += headBytes
		version, status, reason, err := ParseStatusLine(line)
		if err != nil {
			return head, 0, err
		}
		if status == 101 {
			return head, 0, NewSyntaxError(502, "change of protocol")
		}
		if status < 200 {
			continue
		}
		head = ResponseHead{Status: status, Reason: reason, Header: header, Close: header.ClosesConnection(version)}
		if head.Body, err = responseFraming(&head, method); err != nil {
			return ResponseHead{}, 0, err
		}
		head.Close = head.Close || head.Body.Kind == UntilClose
		return head, n, nil
	}
}

// startsResponse says whether b may still become a response.
func startsResponse(b []byte) bool {
	const protocol = "HTTP/1."
	n := min(len(b), len(protocol))
	return string(b[:n]) == protocol[:n] && IsMessagePrefix(b)
}

// ParseStatusLine reads the first line of a response.
func ParseStatusLine(line string) (version string, status int, reason string, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	status, err = strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return "", 0, "", NewSyntaxError(502, "status line")
	}
	return version, status, reason, nil
}
