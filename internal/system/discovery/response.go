package discovery

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

const (
	statusOK              = 200
	statusNoContent       = 204
	statusNotModified     = 304
	statusTooManyRequests = 429
	// maxHeaderLines bounds the header lines, and the trailer lines, of a response.
	maxHeaderLines = 100
)

// MalformedResponseError says that the platform did not send an HTTP/1.1 response that the client understands.
type MalformedResponseError struct{ Reason string }

// Error says what is wrong with the response.
func (e *MalformedResponseError) Error() string {
	return fmt.Sprintf("discovery: the platform's response cannot be read: %s", e.Reason)
}

// response is an HTTP/1.1 response.
type response struct {
	status          int
	body            []byte
	retryAfter      time.Duration
	closeConnection bool // the connection must not be used again
	contentLength   int  // bytes of the body; -1: the head does not say
	chunked         bool
}

// readResponse reads a response with its body, after any interim (1xx) ones.
func readResponse(reader *bufio.Reader) (response, error) {
	parsed, err := readResponseHead(reader)
	for err == nil && parsed.status >= 100 && parsed.status < statusOK {
		parsed, err = readResponseHead(reader)
	}
	if err != nil {
		return response{}, err
	}
	parsed.body, err = readBody(reader, &parsed)
	return parsed, err
}

// readResponseHead reads the status line and the headers.
func readResponseHead(reader *bufio.Reader) (response, error) {
	line, err := readLine(reader)
	if err != nil {
		return response{}, err
	}
	head := response{contentLength: -1}
	if err := head.parseStatusLine(line); err != nil {
		return response{}, err
	}
	for range maxHeaderLines {
		line, err := readLine(reader)
		if err != nil {
			return response{}, err
		}
		if line == "" {
			return head, nil
		}
		if err := head.parseHeader(line); err != nil {
			return response{}, err
		}
	}
	return response{}, &MalformedResponseError{Reason: "it has too many headers"}
}

func readLine(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		return "", &MalformedResponseError{Reason: "a line of it is too long"}
	}
	if err == io.EOF {
		return "", io.ErrUnexpectedEOF
	}
	if err != nil {
		return "", err
	}
	return strings.TrimSuffix(string(line[:len(line)-1]), "\r"), nil
}

func (r *response) parseStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if !strings.HasPrefix(version, "HTTP/1.") || err != nil || status < 100 || status > 999 {
		return &MalformedResponseError{Reason: "it does not begin with a status line"}
	}
	r.status = status
	r.closeConnection = version != "HTTP/1.1"
	return nil
}

// parseHeader reads a header line. Headers that do not matter here are ignored.
func (r *response) parseHeader(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found {
		return &MalformedResponseError{Reason: "a header has no colon"}
	}
	value = strings.TrimSpace(value)
	switch strings.ToLower(name) {
	case "content-length":
		length, err := strconv.ParseUint(value, 10, 31)
		if err != nil {
			return &MalformedResponseError{Reason: "its length is not a number"}
		}
		r.contentLength = int(length)
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return &MalformedResponseError{Reason: "its transfer encoding is not known"}
		}
		r.chunked = true
	case "connection":
		r.closeConnection = r.closeConnection || strings.EqualFold(value, "close")
	case "retry-after":
		r.retryAfter = parseRetryAfter(value)
	}
	return nil
}

// readBody reads the body that belongs to a head. A body of unknown length ends with the connection.
func readBody(reader *bufio.Reader, head *response) ([]byte, error) {
	switch {
	case head.status == statusNoContent || head.status == statusNotModified:
		return nil, nil
	case head.chunked:
		return readChunkedBody(reader)
	case head.contentLength >= 0:
		return readBytes(reader, nil, head.contentLength)
	}
	head.closeConnection = true
	body, err := io.ReadAll(io.LimitReader(reader, maxPageBytes+1))
	if err == nil && len(body) > maxPageBytes {
		err = bodyTooLongError()
	}
	return body, err
}

// readBytes appends the next count bytes to before.
func readBytes(reader *bufio.Reader, before []byte, count int) ([]byte, error) {
	if count > maxPageBytes-len(before) {
		return nil, bodyTooLongError()
	}
	body := append(before, make([]byte, count)...)
	_, err := io.ReadFull(reader, body[len(before):])
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// readChunkedBody reads a body in the chunked transfer encoding, with its trailer.
func readChunkedBody(reader *bufio.Reader) ([]byte, error) {
	var body []byte
	for {
		line, err := readLine(reader)
		if err != nil {
			return nil, err
		}
		text, _, _ := strings.Cut(line, ";")
		size, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
		if err != nil {
			return nil, &MalformedResponseError{Reason: "the size of a chunk is not a number"}
		}
		if size == 0 {
			return body, skipTrailer(reader)
		}
		if body, err = readBytes(reader, body, int(size)); err != nil {
			return nil, err
		}
		if line, err := readLine(reader); err != nil || line != "" {
			return nil, &MalformedResponseError{Reason: "a chunk does not end where it should"}
		}
	}
}

// skipTrailer reads the header lines after a chunked body.
func skipTrailer(reader *bufio.Reader) error {
	for range maxHeaderLines {
		line, err := readLine(reader)
		if err != nil || line == "" {
			return err
		}
	}
	return &MalformedResponseError{Reason: "its trailer is too long"}
}

func bodyTooLongError() error { return &MalformedResponseError{Reason: "its body is too long"} }

// parseRetryAfter returns the duration of a Retry-After header in seconds, which may be a fraction; 0 if it is no such
// number.
func parseRetryAfter(text string) time.Duration {
	const maxNanoseconds = 1 << 62
	seconds, err := strconv.ParseFloat(text, 64)
	nanoseconds := seconds * float64(time.Second)
	if err != nil || !(nanoseconds > 0 && nanoseconds < maxNanoseconds) {
		return 0
	}
	return time.Duration(nanoseconds)
}
