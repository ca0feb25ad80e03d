package rpc

import (
	"io"
	"sync/atomic"
)

// limitedReader reads from a connection and fails once more than limit bytes were received since the last reset.
type limitedReader struct {
	source    io.Reader
	limit     int64
	remaining int64
	received  atomic.Uint64 // bytes received in total
}

func (b *limitedReader) reset() { b.remaining = b.limit }

// Read reads at most the remaining bytes.
func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, &MessageTooLargeError{b.limit}
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	b.received.Add(uint64(n))
	return n, err
}
