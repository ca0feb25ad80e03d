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
	// compressionLevel is fast: the receiver waits, and the processor's time is short where links are thin.
	compressionLevel = 2
	// maxDecompressedBytes is how many bytes packed messages may hold.
	maxDecompressedBytes = 64 << 20
	// maxDeflateRatio is what a byte of a deflated stream may stand for, at most.
	maxDeflateRatio = 1032
)

var errDecompressedSize = errors.New("the size of packed ones is impossible")

// deflaters are writers that are used again soon, and dropped otherwise: each takes 0.8 MB.
var deflaters = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, compressionLevel)
	if err != nil {
		panic(err) // the level is a constant
	}
	return writer
}}

// newDeliverRequest is the request that brings large messages: deflated, where that makes them smaller.
func newDeliverRequest(messages []byte) *DeliverRequest {
	if len(messages) < bulkThresholdBytes {
		return &DeliverRequest{Messages: messages}
	}
	deflated := bytes.NewBuffer(binary.AppendUvarint(nil, uint64(len(messages))))
	writer := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(writer)
	writer.Reset(deflated)
	defer writer.Reset(io.Discard)
	for part := range slices.Chunk(messages, bulkThresholdBytes) {
		_, _ = writer.Write(part) // a buffer takes all
		runtime.Gosched()         // heartbeats have their turn
	}
	_ = writer.Close()
	if deflated.Len() >= len(messages) {
		return &DeliverRequest{Messages: messages}
	}
	return &DeliverRequest{Packed: deflated.Bytes()}
}

// decompress returns the messages that a request brings.
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
	for part := range slices.Chunk(messages, bulkThresholdBytes) {
		if _, err := io.ReadFull(inflated, part); err != nil {
			return nil, &MalformedMessagesError{err}
		}
		runtime.Gosched()
	}
	return messages, nil
}
