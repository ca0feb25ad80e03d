package httpfront

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"cinderroad/internal/shared/httpwire"
)

// Bounds of a message, in bytes.
const (
	MaxHead = 16 << 10
	MaxBody = 64 << 10
)

// MaxList bounds the answers of discovery, which may hold the full list, in bytes.
const MaxList = 8 << 20

// ErrIncomplete reports that the message is not complete yet.
var ErrIncomplete = httpwire.ErrIncomplete

// SyntaxError is a message that violates HTTP or the bounds; Status is what a server answers to it.
type SyntaxError = httpwire.SyntaxError

// Header is the fields of a message in their order.
type Header = httpwire.Header

// Request is a complete request.
type Request struct {
	Method, Target string
	Header         Header
	Body           []byte
	Close          bool // the connection ends after the answer
}

// Response is a complete response.
type Response struct {
	Status int
	Header Header
	Body   []byte
	Close  bool // the connection ends after it
}

// ParseRequest reads one request from the start of b and returns how many bytes it took; ErrIncomplete asks for more.
func ParseRequest(b []byte) (request Request, n int, err error) {
	if n, err = httpwire.SkipBlankLines(b); err != nil {
		return request, 0, err
	}
	line, header, head, err := parseHead(b[n:])
	if errors.Is(err, ErrIncomplete) && !httpwire.IsMessagePrefix(b[n:]) {
		return request, 0, httpwire.NewSyntaxError(400, "request line") // no further bytes can make it valid
	}
	if err != nil {
		return request, 0, err
	}
	n += head
	method, target, version, err := httpwire.ParseRequestLine(line)
	if err != nil {
		return request, 0, err
	}
	request = Request{Method: method, Target: target, Header: header, Close: header.ClosesConnection(version)}
	body, bodySize, err := parseBody(b[n:], header, MaxBody)
	if err != nil {
		return request, 0, err
	}
	request.Body = body
	return request, n + bodySize, nil
}

// Values of the argument ended of the functions that read responses.
const (
	streamOpen  = false // the peer may send more
	streamEnded = true  // the peer sends no more: what has come is all of the response
)

// ParseResponse reads one response from the start of b. ended reports that the peer will send no more, which ends a body
// without a length.
func ParseResponse(b []byte, ended bool) (response Response, n int, err error) {
	return parseResponse(b, ended, MaxBody)
}

// parseResponse reads a response whose body holds at most limit bytes.
func parseResponse(b []byte, ended bool, limit int) (response Response, n int, err error) {
	for {
		line, header, head, err := parseHead(b[n:])
		if err != nil {
			return response, 0, err
		}
		n += head
		version, status, _, err := httpwire.ParseStatusLine(line)
		if err != nil {
			return response, 0, err
		}
		if status >= 100 && status < 200 {
			continue // an interim response; the final one follows
		}
		response = Response{Status: status, Header: header, Close: header.ClosesConnection(version)}
		break
	}
	if response.Status == 204 || response.Status == 304 {
		return response, n, nil
	}
	if !response.Header.Has("Content-Length") && !response.Header.Has("Transfer-Encoding") {
		response.Close = true
		if len(b)-n > limit {
			return response, 0, httpwire.NewSyntaxError(502, "body too large")
		}
		if !ended {
			return response, 0, ErrIncomplete
		}
		response.Body = bytes.Clone(b[n:])
		return response, len(b), nil
	}
	body, bodySize, err := parseBody(b[n:], response.Header, limit)
	if err != nil {
		return response, 0, err
	}
	response.Body = body
	return response, n + bodySize, nil
}

// parseHead reads a start line and the fields after it.
func parseHead(b []byte) (line string, header Header, n int, err error) {
	return httpwire.ParseHead(b, MaxHead)
}

// ExpectsContinue reports whether b holds a complete head whose sender waits for "100 Continue" before the body.
func ExpectsContinue(b []byte) bool {
	_, header, n, err := parseHead(b)
	return err == nil && n == len(b) && strings.EqualFold(header.Get("Expect"), "100-continue")
}

// parseBody reads the body that the header announces, of at most limit bytes. Two lengths, or a length and a transfer
// coding, are an error: the next machine could read them differently, which would smuggle a request in the body.
func parseBody(b []byte, h Header, limit int) (body []byte, n int, err error) {
	lengths, codings := h.Count("Content-Length"), h.Count("Transfer-Encoding")
	switch {
	case lengths+codings > 1:
		return nil, 0, httpwire.NewSyntaxError(400, "two lengths")
	case codings == 1:
		if !strings.EqualFold(h.Get("Transfer-Encoding"), "chunked") {
			return nil, 0, httpwire.NewSyntaxError(400, "transfer coding")
		}
		return parseChunks(b, limit)
	case lengths == 0:
		return nil, 0, nil
	}
	size, err := httpwire.ParseLength(h.Get("Content-Length"))
	if err != nil {
		return nil, 0, err
	}
	if size > int64(limit) {
		return nil, 0, httpwire.NewSyntaxError(413, "body too large")
	}
	if int64(len(b)) < size {
		return nil, 0, ErrIncomplete
	}
	return bytes.Clone(b[:size]), int(size), nil
}

// parseChunks reads a chunked body. The framing is bounded, too, since it is buffered.
func parseChunks(b []byte, limit int) (body []byte, n int, err error) {
	for {
		chunk, m, last, err := ParseChunk(b[n:], limit)
		if errors.Is(err, ErrIncomplete) && len(b) > 2*limit+MaxHead {
			return nil, 0, httpwire.NewSyntaxError(413, "body too large")
		}
		if err != nil {
			return nil, 0, err
		}
		n += m
		if last {
			return body, n, nil
		}
		body = append(body, chunk...)
		if len(body) > limit {
			return nil, 0, httpwire.NewSyntaxError(413, "body too large")
		}
	}
}

// ParseChunk reads one chunk of a chunked body, of at most limit bytes; last marks the end of the body, its trailer included.
func ParseChunk(b []byte, limit int) (chunk []byte, n int, last bool, err error) {
	return httpwire.ParseChunk(b, limit)
}

// AppendResponse appends a response to b; extra holds complete header lines.
func AppendResponse(b []byte, status int, extra string, body []byte, close bool) []byte {
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\n%s", status, httpwire.ReasonPhrase(status), extra)
	if status != 204 {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(body))
	}
	if close {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}
