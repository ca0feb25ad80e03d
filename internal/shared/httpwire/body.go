package httpwire

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	maxChunkLineBytes = 1024     // bytes
	maxTrailerBytes   = 16 << 10 // bytes
	maxChunkBytes     = 1 << 31  // bytes
)

// FramingKind says how the end of a body is told.
type FramingKind uint8

// The kinds of framing.
const (
	NoBody FramingKind = iota
	ByLength
	Chunked
	UntilClose // of responses alone
)

// Framing says where a body ends.
type Framing struct {
	Kind   FramingKind
	Length int64 // of ByLength
}

// requestFraming reads how the body of a request is framed.
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

// responseFraming reads how the body of a response is framed.
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

// framing reads the length that a header announces. One that is told twice, or both ways, could be read differently by
// the next machine and hide a request in the body: it is not taken.
func framing(header Header) (Framing, error) {
	lengths, codings := header.Count("Content-Length"), header.Count("Transfer-Encoding")
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

// ParseLength reads the value of Content-Length. One that is digits but larger than any body is a body too large.
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

// chunkState is what a chunked body goes on with.
type chunkState uint8

const (
	chunkStateLine chunkState = iota
	chunkStateData
	chunkStateEnd
	chunkStateTrailer
)

// BodyReader takes a body apart as it comes. Its zero value, after Start, reads from the body's first byte.
type BodyReader struct {
	kind         FramingKind
	state        chunkState
	remaining    int64 // bytes of the body, or of the chunk at hand
	trailerBytes int   // bytes of it so far
}

// Reset makes the reader ready for a body.
func (r *BodyReader) Reset(framing Framing) {
	*r = BodyReader{kind: framing.Kind, remaining: framing.Length}
}

// Next takes the next bytes of the body from the start of b: data is a part of it, a slice of b; n says how many bytes
// of b it took, those of the framing included. done says that the body is whole. With no data, no error and not done it
// needs more bytes; call it again with what is left of b until then. A body that ends with the connection is never
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

// consume takes what belongs to the chunk or body at hand.
func (r *BodyReader) consume(b []byte) []byte {
	m := min(int64(len(b)), r.remaining)
	r.remaining -= m
	return b[:m]
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
			r.remaining, r.state = size, chunkStateData
			if size == 0 {
				r.state = chunkStateTrailer
			}
		case chunkStateTrailer:
			consumed, done, err := r.skipTrailer(b[n:])
			return nil, n + consumed, done, err
		}
	}
}

// skipTrailer drops the fields after the last chunk.
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
		if r.trailerBytes += end + 2; r.trailerBytes > maxTrailerBytes {
			return n, false, NewSyntaxError(431, "trailer too large")
		}
	}
}

// parseChunkLine reads the line before a chunk; n is 0 when it is not whole.
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

// ParseChunk reads one whole chunk of a chunked body, of at most limit bytes; last marks the end of the body, its
// trailer included.
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
