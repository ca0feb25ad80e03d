package replica

import (
	"bytes"
	"testing"

	"cinderroad/internal/system/consensus"
)

// FuzzReadMessage checks that what readMessage reads is encoded to the same bytes again.
func FuzzReadMessage(f *testing.F) {
	var batch []byte
	for i := range 3 {
		message := consensus.Message{
			Kind:    consensus.MessageAppend,
			From:    1,
			To:      2,
			Term:    uint64(i + 1),
			Entries: []consensus.Entry{{Index: 1, Term: 1, Data: []byte("a")}},
		}
		batch = appendMessage(batch, 7, &message)
	}
	f.Add(batch)
	f.Add(batch[:len(batch)-1])
	f.Add([]byte{0, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, batch []byte) {
		for rest := batch; len(rest) > 0; {
			partition, message, after, err := readMessage(rest)
			if err != nil {
				return
			}
			again := appendMessage(nil, partition, &message)
			if len(rest)-len(after) == len(again) && !bytes.Equal(again, rest[:len(again)]) {
				t.Fatalf("%x became %x", rest, again)
			}
			if _, _, left, err := readMessage(again); err != nil || len(left) > 0 {
				t.Fatal(err, left)
			}
			rest = after
		}
	})
}
