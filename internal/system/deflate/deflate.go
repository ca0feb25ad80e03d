// Package deflate compresses data for other machines of the system, and bounds what a receiver allocates for it.
//
// The packed form is the length of the data as an unsigned varint, then the data in the deflate format (RFC 1951). The
// length is stated by the sender: a receiver names the greatest one that it accepts, and rejects one that the packed
// bytes cannot expand to.
package deflate

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"sync"

	"cinderroad/internal/shared/codec"
)

const (
	// MaxRatio is the greatest number of bytes that one byte of a deflate stream can expand to: four matches, of two bits
	// each (a bit for the length and a bit for the distance), of the format's longest length, 258 bytes.
	MaxRatio = 1032
	// level is a fast one, since receivers wait, and machines with slow links have little processor time. Its writer
	// takes a third less memory than that of the fastest level.
	level = 2
)

// writers holds idle writers; each takes 0.8 MB, so those that are not used again soon are dropped.
var writers = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, level)
	if err != nil {
		panic(err) // impossible: the level is valid
	}
	return writer
}}

// Pack returns the packed form of the data that write writes, which must be size bytes: Pack does not check that, and the
// receiver would reject other data. Writes never fail. write must not keep the writer. Pack may be called concurrently.
func Pack(size int, write func(to io.Writer)) []byte {
	packed := bytes.NewBuffer(binary.AppendUvarint(nil, uint64(size)))
	writer := writers.Get().(*flate.Writer)
	defer writers.Put(writer)
	writer.Reset(packed)
	defer writer.Reset(io.Discard) // an idle writer must not keep the packed data in memory
	write(writer)
	_ = writer.Close() // a buffer returns no error
	return packed.Bytes()
}

// Open returns the stated size of packed data in bytes, and a reader of the data. It returns false if no size is stated, or
// one above maxSize or above what the packed bytes can expand to. The reader may end before size bytes with an error, or
// return more: the caller checks that.
func Open(packed []byte, maxSize uint64) (size uint64, data io.Reader, ok bool) {
	fields := codec.NewReader(packed)
	size = fields.Uvarint("size")
	_, malformed := fields.Malformed()
	if malformed || size > maxSize || size > MaxRatio*uint64(len(packed)) {
		return 0, nil, false
	}
	return size, flate.NewReader(bytes.NewReader(fields.Rest())), true
}
