package httpwire

import (
	"bytes"
	"strings"
)

const (
	maxBlankBytes     = 16 // of empty lines before a request
	typicalFieldCount = 16 // initial capacity of a header
)

// ParseHead parses a start line and the fields after it, of at most limit bytes in total; n is the number of bytes
// consumed.
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
		header = append(header, Field{name, value})
	}
	return line, header, end + 4, nil
}

// IsMessagePrefix reports whether b, an incomplete head, may still become a message.
func IsMessagePrefix(b []byte) bool {
	line, _, _ := bytes.Cut(b, []byte("\r"))
	for _, c := range line {
		if c < ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}
