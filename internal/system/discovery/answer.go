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
	statusTooManyRequests = 429
	// maxHeaderLines bounds the header lines of an answer.
	maxHeaderLines = 100
)

// MalformedResponseError says that the platform's bytes are not an HTTP/1.1 answer that the client understands.
type MalformedResponseError struct{ Reason string }

// Error says what happened.
func (e *MalformedResponseError) Error() string {
	return fmt.Sprintf("discovery: the platform's answer cannot be read: %s", e.Reason)
}

// response is an HTTP/1.1 answer.
type response struct {
	status          int
	body            []byte
	retryAfter      time.Duration
	closeConnection bool // the connection is not to be used again
	contentLength   int  // of the body; -1: not told
	chunked         bool
}

// readResponse reads an answer whole.
func readResponse(reader *bufio.Reader) (response, error) {
	parsed, err := readResponseHead(reader)
	for err == nil && parsed.status >= 100 && parsed.status < 200 {
		parsed, err = readResponseHead(reader)
	}
	if err != nil {
		return response{}, err
	}
	parsed.body, err = readBody(reader, &parsed)
	return parsed, err
}

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

func (a *response) parseStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if !strings.HasPrefix(version, "HTTP/1.") || err != nil || status < 100 || status > 999 {
		return &MalformedResponseError{Reason: "it does not begin with a status line"}
	}
	a.status = status
	a.closeConnection = version != "HTTP/1.1"
	return nil
}

func (a *response) parseHeader(line string) error {
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
		a.contentLength = int(length)
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return &MalformedResponseError{Reason: "its transfer encoding is not known"}
		}
		a.chunked = true
	case "connection":
		a.closeConnection = a.closeConnection || strings.EqualFold(value, "close")
	case "retry-after":
		a.retryAfter = parseRetryAfter(value)
	}
	return nil
}

func readBody(reader *bufio.Reader, head *response) ([]byte, error) {
	switch {
	case head.status == 204 || head.status == 304:
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

// readBytes appends count bytes to what came before.
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
