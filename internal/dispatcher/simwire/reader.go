package simwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// noCode is FrameError.Code outside of records.
const noCode = -1

// FrameError says where a batch stopped making sense.
type FrameError struct {
	Batch  uint32
	Offset int // from the start of the frame
	Code   int // of the record; noCode: not in a record
	Reason string
}

// Error implements error.
func (e *FrameError) Error() string {
	return fmt.Sprintf("simwire: batch %d, byte %d, code %d: %s", e.Batch, e.Offset, e.Code, e.Reason)
}

// Frame is one batch as it was read.
type Frame struct {
	Batch   uint32  // its number
	Records uint32  // in Body
	Now     float64 // seconds of the simulator's clock
	Body    []byte
}

// readSize is how many bytes are read from the stream, or added to a body, at a time.
const readSize = 1 << 16

// Reader reads batches from a stream.
type Reader struct {
	source *bufio.Reader
	body   []byte // buffer of Frame.Body
}

// NewReader returns a Reader of a stream.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, readSize)}
}

// Next reads one batch, which is valid until the next call; a clean end of the stream is io.EOF.
func (r *Reader) Next() (Frame, error) {
	var header [headerSize]byte
	if n, err := io.ReadFull(r.source, header[:]); err != nil {
		if err == io.EOF {
			return Frame{}, io.EOF
		}
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return Frame{}, &FrameError{Offset: n, Code: noCode, Reason: "header cut short"}
		}
		return Frame{}, fmt.Errorf("simwire: read header: %w", err)
	}
	frame := Frame{
		Batch:   binary.LittleEndian.Uint32(header[:]),
		Records: binary.LittleEndian.Uint32(header[recordsOffset:]),
		Now:     math.Float64frombits(binary.LittleEndian.Uint64(header[clockOffset:])),
	}
	size := int(binary.LittleEndian.Uint32(header[sizeOffset:]))
	if math.IsNaN(frame.Now) || math.IsInf(frame.Now, 0) {
		return frame, &FrameError{Batch: frame.Batch, Offset: clockOffset, Code: noCode, Reason: "clock is not a number"}
	}
	if int(frame.Records) > size/minRecordSize {
		return frame, &FrameError{Batch: frame.Batch, Offset: recordsOffset, Code: noCode, Reason: "more records than bytes hold"}
	}
	// The size is not trusted for an allocation: the buffer grows with the bytes that have come.
	r.body = r.body[:0]
	for len(r.body) < size {
		step := min(size-len(r.body), readSize)
		offset := len(r.body)
		r.body = append(r.body, make([]byte, step)...)
		if n, err := io.ReadFull(r.source, r.body[offset:]); err != nil {
			return frame, &FrameError{Batch: frame.Batch, Offset: headerSize + offset + n, Code: noCode, Reason: "body cut short"}
		}
	}
	frame.Body = r.body
	return frame, nil
}
