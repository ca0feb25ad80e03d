package httpwire

import (
	"errors"
	"strconv"
	"strings"
)

// ResponseHead is the head of a final response.
type ResponseHead struct {
	Status int
	Reason string
	Header Header
	Body   Framing
	Close  bool // the connection is closed after the response
}

// ParseResponseHead parses the head of the response to a request with the given method, of at most limit bytes. Interim
// responses before it are skipped; n counts them.
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

// startsResponse reports whether b may still become a response.
func startsResponse(b []byte) bool {
	const protocol = "HTTP/1."
	n := min(len(b), len(protocol))
	return string(b[:n]) == protocol[:n] && IsMessagePrefix(b)
}

// ParseStatusLine parses the first line of a response.
func ParseStatusLine(line string) (version string, status int, reason string, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	status, err = strconv.Atoi(code)
	validStatus := err == nil && len(code) == 3 && status >= 100
	if !validStatus || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return "", 0, "", NewSyntaxError(502, "status line")
	}
	return version, status, reason, nil
}

// responseFraming returns the framing of the body of a response to a request with the given method.
func responseFraming(head *ResponseHead, method string) (Framing, error) {
	f, err := framing(head.Header)
	switch {
	case err != nil:
		return f, err
	case method == "HEAD" || head.Status == 204 || head.Status == 304:
		return Framing{Kind: NoBody}, nil
	case f.Kind == NoBody:
		return Framing{Kind: UntilClose}, nil
	}
	return f, nil
}
