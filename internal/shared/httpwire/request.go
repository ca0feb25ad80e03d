package httpwire

import (
	"bytes"
	"errors"
	"strings"
)

// RequestHead is the head of a request.
type RequestHead struct {
	Method, Target, Version string
	Header                  Header
	Body                    Framing
	Close                   bool // the connection is to be closed after the response
	ExpectsContinue         bool // the client waits for a 100 response before it sends the body
}

// SkipBlankLines returns the number of bytes of empty lines before a request, which are ignored.
func SkipBlankLines(b []byte) (n int, err error) {
	for bytes.HasPrefix(b[n:], []byte("\r\n")) {
		n += 2
		if n > maxBlankBytes {
			return 0, NewSyntaxError(400, "no request")
		}
	}
	return n, nil
}

// ParseRequestHead parses the head of a request of at most limit bytes; n is the number of bytes consumed.
func ParseRequestHead(b []byte, limit int) (head RequestHead, n int, err error) {
	blank, err := SkipBlankLines(b)
	if err != nil {
		return head, 0, err
	}
	line, header, n, err := ParseHead(b[blank:], limit)
	if errors.Is(err, ErrIncomplete) && !IsMessagePrefix(b[blank:]) {
		return head, 0, NewSyntaxError(400, "request line") // more input cannot make it valid
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

// ParseRequestLine parses the first line of a request, whose target must be in origin form.
func ParseRequestLine(line string) (method, target, version string, err error) {
	method, rest, _ := strings.Cut(line, " ")
	target, version, _ = strings.Cut(rest, " ")
	validTarget := strings.HasPrefix(target, "/") && IsVisibleASCII(target)
	validVersion := version != "" && !strings.Contains(version, " ")
	if !IsToken(method) || !validTarget || !validVersion {
		return "", "", "", NewSyntaxError(400, "request line")
	}
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return "", "", "", NewSyntaxError(505, "HTTP version")
	}
	return method, target, version, nil
}

// requestFraming returns the framing of a request's body.
func requestFraming(header Header, version string) (Framing, error) {
	f, err := framing(header)
	if err != nil {
		return f, err
	}
	if f.Kind == Chunked && version != "HTTP/1.1" {
		return f, NewSyntaxError(400, "transfer coding")
	}
	return f, nil
}
