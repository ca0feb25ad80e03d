package replica

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"io"
	"runtime"
	"slices"
	"sync"
)

const (
	// compressionLevel is a fast one: the receiver waits, and machines with slow links have little processor time.
	compressionLevel = 2
	// maxDecompressedBytes limits the encoded messages of one request.
	maxDecompressedBytes = 64 << 20
	// maxDeflateRatio is the highest compression ratio that deflate can reach.
	maxDeflateRatio = 1032
)

var errDecompressedSize = errors.New("the decompressed size is out of range")

// deflaters are reusable writers; each takes 0.8 MB, so idle ones may be collected.
var deflaters = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, compressionLevel)
	if err != nil {
		panic(err) // impossible: the level is valid
	}
	return writer
}}

// newDeliverRequest returns the request that carries encoded messages, compressed if they are large and compression
// saves bytes.
func newDeliverRequest(messages []byte) *DeliverRequest {
	if len(messages) < bulkThresholdBytes {
		return &DeliverRequest{Messages: messages}
	}
	deflated := bytes.NewBuffer(binary.AppendUvarint(nil, uint64(len(messages))))
	writer := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(writer)
	writer.Reset(deflated)
	defer writer.Reset(io.Discard)
	for chunk := range slices.Chunk(messages, bulkThresholdBytes) {
		_, _ = writer.Write(chunk) // a buffer returns no error
		runtime.Gosched()          // compression must not delay heartbeats
	}
	_ = writer.Close()
	if deflated.Len() >= len(messages) {
		return &DeliverRequest{Messages: messages}
	}
	return &DeliverRequest{Packed: deflated.Bytes()}
}

// decompress returns the encoded messages. The size that the sender states is limited before anything is allocated.
func (r *DeliverRequest) decompress() ([]byte, error) {
	if len(r.Packed) == 0 {
		return r.Messages, nil
	}
	size, read := binary.Uvarint(r.Packed)
	if read <= 0 || size > maxDecompressedBytes || size > maxDeflateRatio*uint64(len(r.Packed)) {
		return nil, &MalformedMessagesError{errDecompressedSize}
	}
	messages := make([]byte, size)
	inflated := flate.NewReader(bytes.NewReader(r.Packed[read:]))
	for chunk := range slices.Chunk(messages, bulkThresholdBytes) {
		if _, err := io.ReadFull(inflated, chunk); err != nil {
			return nil, &MalformedMessagesError{err}
		}
		runtime.Gosched()
	}
	return messages, nil
}
