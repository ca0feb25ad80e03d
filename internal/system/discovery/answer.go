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
	statusOK      = 200
	statusTooMany = 429
	// maxHeaders bounds the header lines of an answer.
	maxHeaders = 100
)

// MalformedResponseError says that the platform's bytes are not an HTTP/1.1 answer that the client understands.
type MalformedResponseError struct{ Reason string }

// Error says what happened.
func (e *MalformedResponseError) Error() string {
	return fmt.Sprintf("discovery: the platform's answer cannot be read: %s", e.Reason)
}

// answer is an HTTP/1.1 answer.
type answer struct {
	status     int
	body       []byte
	retryAfter time.Duration
	closes     bool // the connection is not to be used again
	length     int  // of the body; -1: not told
	chunked    bool
}

// readAnswer reads an answer whole.
func readAnswer(reader *bufio.Reader) (answer, error) {
	got, err := readHead(reader)
	for err == nil && got.status >= 100 && got.status < 200 {
		got, err = readHead(reader)
	}
	if err != nil {
		return answer{}, err
	}
	got.body, err = readBody(reader, &got)
	return got, err
}

func readHead(reader *bufio.Reader) (answer, error) {
	line, err := readLine(reader)
	if err != nil {
		return answer{}, err
	}
	got := answer{length: -1}
	if err := got.readStatus(line); err != nil {
		return answer{}, err
	}
	for range maxHeaders {
		line, err := readLine(reader)
		if err != nil {
			return answer{}, err
		}
		if line == "" {
			return got, nil
		}
		if err := got.readHeader(line); err != nil {
			return answer{}, err
		}
	}
	return answer{}, &MalformedResponseError{Reason: "it has too many headers"}
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

func (a *answer) readStatus(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if !strings.HasPrefix(version, "HTTP/1.") || err != nil || status < 100 || status > 999 {
		return &MalformedResponseError{Reason: "it does not begin with a status line"}
	}
	a.status = status
	a.closes = version != "HTTP/1.1"
	return nil
}

func (a *answer) readHeader(line string) error {
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
		a.length = int(length)
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return &MalformedResponseError{Reason: "its transfer encoding is not known"}
		}
		a.chunked = true
	case "connection":
		a.closes = a.closes || strings.EqualFold(value, "close")
	case "retry-after":
		a.retryAfter = parseSeconds(value)
	}
	return nil
}

func readBody(reader *bufio.Reader, head *answer) ([]byte, error) {
	switch {
	case head.status == 204 || head.status == 304:
		return nil, nil
	case head.chunked:
		return readChunks(reader)
	case head.length >= 0:
		return readBytes(reader, nil, head.length)
	}
	head.closes = true
	body, err := io.ReadAll(io.LimitReader(reader, maxPageBytes+1))
	if err == nil && len(body) > maxPageBytes {
		err = tooLong()
	}
	return body, err
}

// readBytes appends count bytes to what came before.
func readBytes(reader *bufio.Reader, before []byte, count int) ([]byte, error) {
	if count > maxPageBytes-len(before) {
		return nil, tooLong()
	}
	body := append(before, make([]byte, count)...)
	_, err := io.ReadFull(reader, body[len(before):])
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

func readChunks(reader *bufio.Reader) ([]byte, error) {
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
	for range maxHeaders {
		line, err := readLine(reader)
		if err != nil || line == "" {
			return err
		}
	}
	return &MalformedResponseError{Reason: "its trailer is too long"}
}

func tooLong() error { return &MalformedResponseError{Reason: "its body is too long"} }
