package consensus

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func drawUint(t *rapid.T, name string) uint64 {
	return rapid.OneOf(rapid.Uint64Range(0, 5), rapid.Uint64Range(0, 300), rapid.Uint64()).Draw(t, name)
}

func drawData(t *rapid.T, name string) []byte {
	data := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, name)
	if len(data) == 0 {
		return nil
	}
	return data
}

func drawMembership(t *rapid.T) (membership Membership) {
	for range rapid.IntRange(0, 5).Draw(t, "members") {
		membership.Members = append(membership.Members, Member{
			ID:      ReplicaID(drawUint(t, "id")),
			Node:    rapid.StringN(0, 20, -1).Draw(t, "node"),
			Zone:    rapid.StringN(0, 20, -1).Draw(t, "zone"),
			Address: rapid.StringN(0, 200, -1).Draw(t, "address"),
			Voter:   rapid.Bool().Draw(t, "voter"),
		})
	}
	return membership
}

func drawEntry(t *rapid.T) Entry {
	return Entry{
		Index: drawUint(t, "index"),
		Term:  drawUint(t, "term"),
		Kind:  EntryKind(rapid.IntRange(0, int(EntryMembership)).Draw(t, "kind")),
		Data:  drawData(t, "data"),
	}
}

func drawSnapshot(t *rapid.T) Snapshot {
	return Snapshot{
		Index:      drawUint(t, "index"),
		Term:       drawUint(t, "term"),
		Membership: drawMembership(t),
		Data:       drawData(t, "data"),
	}
}

func drawMessage(t *rapid.T) Message {
	message := Message{
		Kind:       MessageKind(rapid.IntRange(0, int(MessageTimeoutNow)).Draw(t, "kind")),
		From:       ReplicaID(drawUint(t, "from")),
		To:         ReplicaID(drawUint(t, "to")),
		Term:       drawUint(t, "term"),
		Index:      drawUint(t, "index"),
		LogTerm:    drawUint(t, "log term"),
		Commit:     drawUint(t, "commit"),
		RejectHint: drawUint(t, "hint"),
		Round:      drawUint(t, "round"),
		Reject:     rapid.Bool().Draw(t, "reject"),
		Force:      rapid.Bool().Draw(t, "force"),
	}
	for range rapid.IntRange(0, 5).Draw(t, "entries") {
		message.Entries = append(message.Entries, drawEntry(t))
	}
	if rapid.Bool().Draw(t, "with snapshot") {
		s := drawSnapshot(t)
		message.Snapshot = &s
	}
	return message
}

// encodingCase is one of the encodings.
type encodingCase struct {
	name   string
	draw   func(*rapid.T) any
	encode func(any) []byte
	decode func([]byte) (any, error)
}

func newEncodingCase[V any](name string, draw func(*rapid.T) V, encode func(V) []byte, decode func([]byte) (V, error)) encodingCase {
	return encodingCase{name, func(t *rapid.T) any { return draw(t) }, func(v any) []byte { return encode(v.(V)) },
		func(b []byte) (any, error) { return decode(b) }}
}

func encodingCases() []encodingCase {
	return []encodingCase{
		newEncodingCase("membership", drawMembership, EncodeMembership, DecodeMembership),
		newEncodingCase("entry", drawEntry, EncodeEntry, DecodeEntry),
		newEncodingCase("snapshot", drawSnapshot, EncodeSnapshot, DecodeSnapshot),
		newEncodingCase("message", drawMessage, EncodeMessage, DecodeMessage),
		newEncodingCase("hard state", func(t *rapid.T) HardState {
			return HardState{
				Term:   drawUint(t, "term"),
				Vote:   ReplicaID(drawUint(t, "vote")),
				Commit: drawUint(t, "commit"),
			}
		}, EncodeHardState, DecodeHardState),
	}
}

func TestEncodingRoundTrip(t *testing.T) {
	for _, c := range encodingCases() {
		t.Run(c.name, rapid.MakeCheck(func(t *rapid.T) {
			value := c.draw(t)
			data := c.encode(value)
			got, err := c.decode(data)
			if err != nil || !reflect.DeepEqual(got, value) {
				t.Fatalf("got %+v, %v, want %+v", got, err, value)
			}
			for n := range data {
				if _, err := c.decode(data[:n]); !errors.As(err, new(*DecodeError)) {
					t.Fatalf("%d of %d bytes: %v", n, len(data), err)
				}
			}
			if _, err := c.decode(append(data, 0)); err == nil {
				t.Fatal("a byte too many passes")
			}
			clear(data) // the decoded value must have its own memory
			if !reflect.DeepEqual(got, value) {
				t.Fatalf("what was decoded changed with the bytes: %+v", got)
			}
		}))
	}
}

// requireCanonical checks that bytes which decode are the encoding of what they decode to.
func requireCanonical(t *testing.T, data []byte) {
	t.Helper()
	for _, c := range encodingCases() {
		value, err := c.decode(data)
		if err != nil {
			continue
		}
		if again := c.encode(value); !bytes.Equal(again, data) {
			t.Errorf("%s: % x decodes to %+v, which encodes to % x", c.name, data, value, again)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(EncodeMessage(Message{
		Kind:    MessageAppend,
		From:    1,
		To:      2,
		Term:    3,
		Index:   4,
		LogTerm: 2,
		Commit:  4,
		Round:   1 << 40,
		Entries: append(entries(5, 3), membershipEntry(6, 3, voters(1, 2))),
	}))
	f.Add(EncodeMessage(Message{
		Kind:     MessageInstallSnapshot,
		Reject:   true,
		Force:    true,
		Snapshot: &Snapshot{Index: 1, Term: 1, Membership: voters(1, 2), Data: []byte("x")},
	}))
	f.Add(EncodeMembership(withMembers(voters(1), Member{ID: 9, Node: "n", Zone: "z", Address: "a:1"})))
	f.Add(EncodeHardState(HardState{Term: 5, Vote: 6, Commit: 7}))
	f.Add(EncodeEntry(Entry{Index: math.MaxUint64, Term: 1, Data: []byte("x")}))
	f.Fuzz(func(t *testing.T, data []byte) { requireCanonical(t, data) })
}

func TestDecodeCorruptBytes(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		all := encodingCases()
		c := all[rapid.IntRange(0, len(all)-1).Draw(r, "codec")]
		data := c.encode(c.draw(r))
		for range rapid.IntRange(1, 3).Draw(r, "bytes") {
			data[rapid.IntRange(0, len(data)-1).Draw(r, "at")] = rapid.Byte().Draw(r, "byte")
		}
		requireCanonical(t, data)
	})
}

func TestCountsAreCheckedBeforeAllocation(t *testing.T) {
	huge := binary.AppendUvarint(nil, 1<<40)
	message := append([]byte{encodingVersion, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, huge...)
	for name, data := range map[string][]byte{"entries": message, "members": append([]byte{encodingVersion}, huge...)} {
		allocated := testing.AllocsPerRun(10, func() {
			if _, err := DecodeMessage(data); err == nil {
				t.Errorf("%s: passes", name)
			}
			if _, err := DecodeMembership(data); err == nil {
				t.Errorf("%s: passes", name)
			}
		})
		if allocated > 10 {
			t.Errorf("%s: %v allocations", name, allocated)
		}
	}
}
