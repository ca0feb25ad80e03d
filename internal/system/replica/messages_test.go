package replica

import (
	"bytes"
	"errors"
	"slices"
	"testing"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
)

// TestReadMessageFraming checks which framings of a message are accepted, that the rest follows the message, and that a
// framing that ends early or names a partition beyond 16 bits is reported as truncated.
func TestReadMessageFraming(t *testing.T) {
	encoded := consensus.EncodeMessage(consensus.Message{Kind: consensus.MessageVote, From: 1, To: 2, Term: 3})
	length := byte(len(encoded))
	overlong := bytes.Repeat([]byte{0xff}, 11)
	rest := []byte{9, 9}
	for name, test := range map[string]struct {
		data      []byte
		partition feed.Partition
		truncated bool
	}{
		"whole":                          {slices.Concat([]byte{7, length}, encoded, rest), 7, false},
		"greatest partition":             {slices.Concat([]byte{0xff, 0xff, 3, length}, encoded, rest), 0xffff, false},
		"partition in a longer varint":   {slices.Concat([]byte{0x87, 0, length}, encoded, rest), 7, false},
		"length in a longer varint":      {slices.Concat([]byte{7, length | 0x80, 0}, encoded, rest), 7, false},
		"nothing":                        {nil, 0, true},
		"partition cut short":            {[]byte{0x80}, 0, true},
		"partition beyond 16 bits":       {slices.Concat([]byte{0x80, 0x80, 4, length}, encoded), 0, true},
		"partition beyond 64 bits":       {slices.Concat(overlong, []byte{length}, encoded), 0, true},
		"no length":                      {[]byte{7}, 0, true},
		"length cut short":               {[]byte{7, 0x80}, 0, true},
		"length beyond 64 bits":          {slices.Concat([]byte{7}, overlong, encoded), 0, true},
		"length beyond the end":          {slices.Concat([]byte{7, length + 1}, encoded), 0, true},
		"length far beyond the end":      {[]byte{7, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 1}, 0, true},
		"length of a message without it": {[]byte{7, length}, 0, true},
	} {
		partition, message, after, err := readMessage(test.data)
		var malformed *MalformedMessagesError
		if test.truncated {
			if !errors.As(err, &malformed) || !errors.Is(err, errTruncated) || after != nil {
				t.Errorf("%s: got error %v and rest %x", name, err, after)
			}
			continue
		}
		if err != nil || partition != test.partition || message.Term != 3 || !bytes.Equal(after, rest) {
			t.Errorf("%s: got partition %d, %+v, rest %x, error %v", name, partition, message, after, err)
		}
	}
	if _, _, _, err := readMessage([]byte{7, 1, 0xee}); err == nil || errors.Is(err, errTruncated) {
		t.Errorf("a malformed message: got error %v", err)
	}
}

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
