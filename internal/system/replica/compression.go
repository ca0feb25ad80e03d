package replica

import (
	"errors"
	"io"
	"runtime"
	"slices"

	"cinderroad/internal/system/deflate"
)

// maxDecompressedBytes limits the encoded messages of one request.
const maxDecompressedBytes = 64 << 20

var errDecompressedSize = errors.New("the decompressed size is out of range")

// newDeliverRequest returns the request that carries encoded messages, compressed if they are large and compression
// saves bytes.
func newDeliverRequest(messages []byte) *DeliverRequest {
	if len(messages) < bulkThresholdBytes {
		return &DeliverRequest{Messages: messages}
	}
	packed := deflate.Pack(len(messages), func(to io.Writer) {
		for chunk := range slices.Chunk(messages, bulkThresholdBytes) {
			_, _ = to.Write(chunk) // never fails
			runtime.Gosched()      // compression must not delay heartbeats
		}
	})
	if len(packed) >= len(messages) {
		return &DeliverRequest{Messages: messages}
	}
	return &DeliverRequest{Packed: packed}
}

// decompress returns the encoded messages. The size that the sender states is limited before anything is allocated.
func (r *DeliverRequest) decompress() ([]byte, error) {
	if len(r.Packed) == 0 {
		return r.Messages, nil
	}
	size, inflated, ok := deflate.Open(r.Packed, maxDecompressedBytes)
	if !ok {
		return nil, &MalformedMessagesError{errDecompressedSize}
	}
	messages := make([]byte, size)
	for chunk := range slices.Chunk(messages, bulkThresholdBytes) {
		if _, err := io.ReadFull(inflated, chunk); err != nil {
			return nil, &MalformedMessagesError{err}
		}
		runtime.Gosched()
	}
	return messages, nil
}
