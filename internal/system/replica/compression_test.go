package replica

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestDeliverRequestCompression checks that requests are compressed if that saves bytes, and decompress to the same
// messages.
func TestDeliverRequestCompression(t *testing.T) {
	random := rand.NewChaCha8([32]byte{1})
	noise := make([]byte, 2*bulkThresholdBytes)
	_, _ = random.Read(noise)
	var text []byte
	for i := 0; len(text) < 2*bulkThresholdBytes; i++ {
		text = fmt.Appendf(text, `{"path":"/models/%d","timeout_ms":%d}`, i, 500+i%7)
	}
	for name, messages := range map[string][]byte{"none": nil, "few": text[:100], "noise": noise, "text": text} {
		request := newDeliverRequest(messages)
		if size := len(request.Packed) + len(request.Messages); size > len(messages) {
			t.Errorf("%s: %d bytes are sent for %d", name, size, len(messages))
		}
		if name == "text" && 3*len(request.Packed) > len(text) {
			t.Errorf("text of %d bytes takes %d", len(text), len(request.Packed))
		}
		if got, err := request.decompress(); err != nil || !bytes.Equal(got, messages) {
			t.Errorf("%s: %d bytes come out of %d, %v", name, len(got), len(messages), err)
		}
	}
}

// TestMalformedDeliverRequests checks that malformed or oversized requests are rejected.
func TestMalformedDeliverRequests(t *testing.T) {
	whole := newDeliverRequest(make([]byte, 2*bulkThresholdBytes)).Packed
	huge := append(binary.AppendUvarint(nil, maxDecompressedBytes+1), whole...)
	for name, packed := range map[string][]byte{
		"cut short":             whole[:len(whole)/2],
		"huge":                  huge,
		"no size":               {0xff},
		"more than it can hold": binary.AppendUvarint(nil, 1<<20),
	} {
		if _, err := (&DeliverRequest{Packed: packed}).decompress(); err == nil {
			t.Errorf("%s: it is accepted", name)
		}
	}
}

// BenchmarkNewDeliverRequest compresses the messages of a configuration of 4 MB.
func BenchmarkNewDeliverRequest(b *testing.B) {
	var text []byte
	for i := 0; len(text) < 4<<20; i++ {
		text = fmt.Appendf(text, `{"path":"/models/%d","timeout_ms":%d,"zone":"%x"}`, i, 500+i%7, i*2654435761)
	}
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		b.ReportMetric(float64(len(newDeliverRequest(text).Packed)), "packed-bytes")
	}
}
