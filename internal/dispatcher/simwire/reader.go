package simwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// FrameError says where a batch stopped making sense.
type FrameError struct {
	Batch  uint32
	Offset int // from the start of the frame
	Code   int // code of the record, or -1 in the header
	Reason string
}

func (e *FrameError) Error() string {
	return fmt.Sprintf("wire: batch %d, byte %d, code %d: %s", e.Batch, e.Offset, e.Code, e.Reason)
}

// Frame is one batch as it was read.
type Frame struct {
	Batch, Records uint32
	Now            float64
	Body           []byte
}

// Reader reads batches from a stream.
type Reader struct {
	source *bufio.Reader
	body   []byte
}

// NewReader returns a Reader of a stream.
func NewReader(source io.Reader) *Reader { return &Reader{source: bufio.NewReaderSize(source, 1<<16)} }

// Next reads one batch, which is valid until the next call; a clean end of the stream is io.EOF.
func (r *Reader) Next() (Frame, error) {
	var header [headerSize]byte
	if n, err := io.ReadFull(r.source, header[:]); err != nil {
		if err == io.EOF {
			return Frame{}, io.EOF
		}
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return Frame{}, &FrameError{Offset: n, Code: -1, Reason: "header cut short"}
		}
		return Frame{}, fmt.Errorf("wire: read header: %w", err)
	}
	frame := Frame{Batch: binary.LittleEndian.Uint32(header[:]), Records: binary.LittleEndian.Uint32(header[4:]),
		Now: math.Float64frombits(binary.LittleEndian.Uint64(header[12:]))}
	size := int(binary.LittleEndian.Uint32(header[8:]))
	if math.IsNaN(frame.Now) || math.IsInf(frame.Now, 0) {
		return frame, &FrameError{Batch: frame.Batch, Offset: 12, Code: -1, Reason: "clock is not a number"}
	}
	if int(frame.Records) > size/2 {
		return frame, &FrameError{Batch: frame.Batch, Offset: 4, Code: -1, Reason: "more records than bytes hold"}
	}
	// The length is not trusted for an allocation: the buffer grows with what has really come.
	r.body = r.body[:0]
	for len(r.body) < size {
		step := min(size-len(r.body), 1<<16)
		offset := len(r.body)
		r.body = append(r.body, make([]byte, step)...)
		if n, err := io.ReadFull(r.source, r.body[offset:]); err != nil {
			return frame, &FrameError{Batch: frame.Batch, Offset: headerSize + offset + n, Code: -1, Reason: "body cut short"}
		}
	}
	frame.Body = r.body
	return frame, nil
}
