package httpwire

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	maxChunkLineBytes = 1024     // of the line before a chunk
	maxTrailerBytes   = 16 << 10 // of the fields after the last chunk
	maxChunkBytes     = 1 << 31  // sizes of chunks are below this
)

// FramingKind is the way in which the end of a body is determined.
type FramingKind uint8

// The kinds of framing.
const (
	NoBody FramingKind = iota
	ByLength
	Chunked
	UntilClose // responses only
)

// Framing determines where a body ends.
type Framing struct {
	Kind   FramingKind
	Length int64 // bytes, for ByLength
}

// framing returns the framing that a header announces. More than one length or coding is an error: the next hop could
// read it differently, and a request could be smuggled in the body.
func framing(header Header) (Framing, error) {
	lengths := header.Count("Content-Length")
	codings := header.Count("Transfer-Encoding")
	switch {
	case lengths+codings > 1:
		return Framing{}, NewSyntaxError(400, "two lengths")
	case codings == 1:
		if !strings.EqualFold(header.Get("Transfer-Encoding"), "chunked") {
			return Framing{}, NewSyntaxError(400, "transfer coding")
		}
		return Framing{Kind: Chunked}, nil
	case lengths == 0:
		return Framing{Kind: NoBody}, nil
	}
	size, err := ParseLength(header.Get("Content-Length"))
	return Framing{Kind: ByLength, Length: size}, err
}

// ParseLength parses the value of Content-Length. A number too large for any body is a SyntaxError with status 413.
func ParseLength(value string) (int64, error) {
	if value == "" || strings.Trim(value, "0123456789") != "" {
		return 0, NewSyntaxError(400, "content length")
	}
	size, err := strconv.ParseInt(value, 10, 63)
	if err != nil {
		return 0, NewSyntaxError(413, "body too large")
	}
	return size, nil
}

// chunkState is the next element expected in a chunked body.
type chunkState uint8

const (
	chunkStateLine    chunkState = iota // the line with the chunk's size
	chunkStateData                      // bytes of the chunk
	chunkStateEnd                       // the line break after them
	chunkStateTrailer                   // the fields after the last chunk
)

// BodyReader decodes a body incrementally. Call Reset before the first byte.
type BodyReader struct {
	kind         FramingKind
	state        chunkState
	remaining    int64 // bytes of the body, or of the current chunk
	trailerBytes int   // bytes of the trailer that were consumed
}

// Reset prepares the reader for a new body.
func (r *BodyReader) Reset(framing Framing) {
	*r = BodyReader{kind: framing.Kind, remaining: framing.Length}
}

// Next decodes the next part of the body at the start of b: data is that part, a slice of b; n is the number of bytes
// consumed, framing included. done reports the end of the body. Without data, done and an error, the reader needs more
// input: call it again with the bytes that were not consumed and more. A body that ends with the connection is never
// done.
func (r *BodyReader) Next(b []byte) (data []byte, n int, done bool, err error) {
	switch r.kind {
	case NoBody:
		return nil, 0, true, nil
	case UntilClose:
		return b, len(b), false, nil
	case ByLength:
		data = r.consume(b)
		return data, len(data), r.remaining == 0, nil
	}
	return r.nextChunked(b)
}

// consume returns the bytes of b that belong to the current chunk or body.
func (r *BodyReader) consume(b []byte) []byte {
	n := min(int64(len(b)), r.remaining)
	r.remaining -= n
	return b[:n]
}

func (r *BodyReader) nextChunked(b []byte) (data []byte, n int, done bool, err error) {
	for {
		switch r.state {
		case chunkStateData:
			data = r.consume(b[n:])
			n += len(data)
			if r.remaining == 0 {
				r.state = chunkStateEnd
			}
			return data, n, false, nil
		case chunkStateEnd:
			if len(b)-n < 2 {
				return nil, n, false, nil
			}
			if b[n] != '\r' || b[n+1] != '\n' {
				return nil, n, false, NewSyntaxError(400, "chunk end")
			}
			n += 2
			r.state = chunkStateLine
		case chunkStateLine:
			size, consumed, err := parseChunkLine(b[n:])
			if err != nil || consumed == 0 {
				return nil, n, false, err
			}
			n += consumed
			r.remaining = size
			r.state = chunkStateData
			if size == 0 {
				r.state = chunkStateTrailer
			}
		case chunkStateTrailer:
			consumed, done, err := r.skipTrailer(b[n:])
			return nil, n + consumed, done, err
		}
	}
}

// skipTrailer discards the fields after the last chunk.
func (r *BodyReader) skipTrailer(b []byte) (n int, done bool, err error) {
	for {
		end := bytes.Index(b[n:], []byte("\r\n"))
		if end < 0 {
			if r.trailerBytes+len(b)-n > maxTrailerBytes {
				return n, false, NewSyntaxError(431, "trailer too large")
			}
			return n, false, nil
		}
		if end == 0 {
			return n + 2, true, nil
		}
		if _, _, ok := parseField(string(b[n : n+end])); !ok {
			return n, false, NewSyntaxError(400, "trailer field")
		}
		n += end + 2
		r.trailerBytes += end + 2
		if r.trailerBytes > maxTrailerBytes {
			return n, false, NewSyntaxError(431, "trailer too large")
		}
	}
}

// parseChunkLine parses the line before a chunk; n is 0 if it is incomplete.
func parseChunkLine(b []byte) (size int64, n int, err error) {
	end := bytes.Index(b, []byte("\r\n"))
	if end < 0 {
		if len(b) > maxChunkLineBytes {
			return 0, 0, NewSyntaxError(400, "chunk line")
		}
		return 0, 0, nil
	}
	if bytes.ContainsAny(b[:end], "\r\n\x00") {
		return 0, 0, NewSyntaxError(400, "chunk line")
	}
	digits, _, _ := strings.Cut(string(b[:end]), ";")
	length, err := strconv.ParseUint(strings.Trim(digits, " \t"), 16, 31)
	if err != nil || length >= maxChunkBytes {
		return 0, 0, NewSyntaxError(400, "chunk size")
	}
	return int64(length), end + 2, nil
}

// ParseChunk parses one complete chunk of a chunked body, of at most limit bytes; last marks the end of the body,
// including its trailer. It returns ErrIncomplete if more input is needed.
func ParseChunk(b []byte, limit int) (chunk []byte, n int, last bool, err error) {
	size, n, err := parseChunkLine(b)
	switch {
	case err != nil:
		return nil, 0, false, err
	case n == 0:
		return nil, 0, false, ErrIncomplete
	case size > int64(limit):
		return nil, 0, false, NewSyntaxError(413, "chunk too large")
	case size == 0:
		var r BodyReader
		trailerBytes, done, err := r.skipTrailer(b[n:])
		if err == nil && !done {
			err = ErrIncomplete
		}
		if err != nil {
			return nil, 0, false, err
		}
		return nil, n + trailerBytes, true, nil
	case len(b) < n+int(size)+2:
		return nil, 0, false, ErrIncomplete
	case b[n+int(size)] != '\r' || b[n+int(size)+1] != '\n':
		return nil, 0, false, NewSyntaxError(400, "chunk end")
	}
	return b[n : n+int(size)], n + int(size) + 2, false, nil
}
