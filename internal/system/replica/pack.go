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
	// packLevel is fast: the receiver waits, and the processor's time is short where links are thin.
	packLevel = 2
	// mostUnpacked is how many bytes packed messages may hold.
	mostUnpacked = 64 << 20
	// mostInflated is what a byte of a deflated stream may stand for, at most.
	mostInflated = 1032
)

var errPackedSize = errors.New("the size of packed ones is impossible")

// packers are writers that are used again soon, and dropped otherwise: each takes 0.8 MB.
var packers = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, packLevel)
	if err != nil {
		panic(err) // the level is a constant
	}
	return writer
}}

// packedRequest is the request that brings large messages: deflated, where that makes them smaller.
func packedRequest(messages []byte) *DeliverRequest {
	if len(messages) < bulkBytes {
		return &DeliverRequest{Messages: messages}
	}
	deflated := bytes.NewBuffer(binary.AppendUvarint(nil, uint64(len(messages))))
	writer := packers.Get().(*flate.Writer)
	defer packers.Put(writer)
	writer.Reset(deflated)
	defer writer.Reset(io.Discard)
	for part := range slices.Chunk(messages, bulkBytes) {
		_, _ = writer.Write(part) // a buffer takes all
		runtime.Gosched()         // heartbeats have their turn
	}
	_ = writer.Close()
	if deflated.Len() >= len(messages) {
		return &DeliverRequest{Messages: messages}
	}
	return &DeliverRequest{Packed: deflated.Bytes()}
}

// unpacked returns the messages that a request brings.
func (r *DeliverRequest) unpacked() ([]byte, error) {
	if len(r.Packed) == 0 {
		return r.Messages, nil
	}
	size, read := binary.Uvarint(r.Packed)
	if read <= 0 || size > mostUnpacked || size > mostInflated*uint64(len(r.Packed)) {
		return nil, &MalformedMessagesError{errPackedSize}
	}
	messages := make([]byte, size)
	inflated := flate.NewReader(bytes.NewReader(r.Packed[read:]))
	for part := range slices.Chunk(messages, bulkBytes) {
		if _, err := io.ReadFull(inflated, part); err != nil {
			return nil, &MalformedMessagesError{err}
		}
		runtime.Gosched()
	}
	return messages, nil
}
