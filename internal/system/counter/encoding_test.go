package counter

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

var testSender = Sender{Address: "10.0.0.1:7000", Zone: "z1", Origin: 42}

// logsOf returns logs that hold a vector durably.
func logsOf(vector VersionVector) (sorted []*operationLog) {
	logs := logSet{byOrigin: map[Origin]*operationLog{}}
	for origin, sequence := range vector {
		logs.get(origin).durable = sequence
	}
	return logs.sorted
}

// encodeRanges encodes ranges without a limit.
func encodeRanges(from *Sender, ranges []entryRange) []byte {
	encoder := newRangeEncoder(math.MaxInt32)
	for i := range ranges {
		encoded := &ranges[i]
		encoder.add(encoded.origin, encoded.first, encoded.last(), func(sequence uint64) Operation {
			return encoded.operations[sequence-encoded.first]
		})
	}
	return encoder.finish(from)
}

func drawOperation(t *rapid.T) Operation {
	id := rapid.OneOf(
		rapid.StringMatching(`[0-9a-f]{1,40}`),
		rapid.StringN(1, 64, MaxIDSize),
		rapid.Just(strings.Repeat("f", MaxIDSize)),
		rapid.Just(strings.Repeat("x", MaxIDSize)),
	)
	return Operation{
		ID:      id.Draw(t, "id"),
		Counter: rapid.OneOf(rapid.SampledFrom(counterNames), rapid.StringN(1, 64, MaxCounterSize)).Draw(t, "counter"),
		Amount:  rapid.OneOf(rapid.Int64(), rapid.SampledFrom([]int64{0, math.MinInt64, math.MaxInt64})).Draw(t, "amount"),
	}
}

func drawRanges(t *rapid.T) (ranges []entryRange) {
	for range rapid.IntRange(0, 4).Draw(t, "ranges") {
		drawn := entryRange{
			origin: Origin(rapid.Uint64Min(1).Draw(t, "origin")),
			first:  rapid.OneOf(rapid.Uint64Range(1, 300), rapid.Uint64Range(1, maxSequence)).Draw(t, "first"),
		}
		for range rapid.IntRange(1, 5).Draw(t, "operations") {
			drawn.operations = append(drawn.operations, drawOperation(t))
		}
		ranges = append(ranges, drawn)
	}
	return ranges
}

func drawVector(t *rapid.T) VersionVector {
	vector := VersionVector{}
	for range rapid.IntRange(0, 9).Draw(t, "origins") {
		origin := Origin(rapid.Uint64Min(1).Draw(t, "origin"))
		vector[origin] = rapid.OneOf(rapid.Uint64Range(1, 300), rapid.Uint64Min(1)).Draw(t, "sequence")
	}
	return vector
}

// requireMalformed checks that all truncations of an encoding, and any change of a byte, are found.
func requireMalformed(t *rapid.T, data []byte, decode func([]byte) error) {
	for size := range data {
		if size > 0 && !errors.As(decode(data[:size]), new(*DecodeError)) {
			t.Fatalf("%d of %d bytes decode", size, len(data))
		}
	}
	for at := range data {
		changed := slices.Clone(data)
		changed[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if !errors.As(decode(changed), new(*DecodeError)) {
			t.Fatalf("a change of byte %d passes", at)
		}
	}
	if !errors.As(decode(append(slices.Clone(data), 0)), new(*DecodeError)) {
		t.Fatal("a byte too many passes")
	}
}

func TestVectorEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vector := drawVector(t)
		data := encodeVector(&testSender, logsOf(vector))
		decoded, err := decodeVector(&testSender, data)
		if err != nil || !reflect.DeepEqual(decoded, vector) {
			t.Fatalf("got %v, %v, want %v", decoded, err, vector)
		}
		requireMalformed(t, data, func(data []byte) error {
			_, err := decodeVector(&testSender, data)
			return err
		})
		for _, other := range []Sender{{"10.0.0.2:7000", "z1", 42}, {"10.0.0.1:7000", "z2", 42}, {"10.0.0.1:7000", "z1", 43}} {
			if _, err := decodeVector(&other, data); err == nil {
				t.Fatalf("the vector of %v is taken for one of %v", testSender, other)
			}
		}
	})
}

func TestRangesEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranges := drawRanges(t)
		data := encodeRanges(&testSender, ranges)
		decoded, err := decodeRanges(&testSender, data)
		if err != nil || !reflect.DeepEqual(decoded, ranges) {
			t.Fatalf("got %v, %v, want %v", decoded, err, ranges)
		}
		if len(data) > 0 {
			requireMalformed(t, data, func(data []byte) error {
				_, err := decodeRanges(&testSender, data)
				return err
			})
		}
	})
}

// TestRangeLimit checks that ranges end at the limit, with at least one operation.
func TestRangeLimit(t *testing.T) {
	operationAt := func(sequence uint64) Operation {
		return Operation{ID: fmt.Sprintf("%016x", sequence), Counter: "t1", Amount: 4}
	}
	for _, limit := range []int{1, 100, 1000} {
		encoder := newRangeEncoder(limit)
		encoder.add(7, 1, 500, operationAt)
		encoder.add(8, 1, 500, operationAt)
		ranges, err := decodeRanges(&testSender, encoder.finish(&testSender))
		if err != nil || len(ranges) != 1 || ranges[0].origin != 7 || ranges[0].first != 1 {
			t.Fatalf("limit %d: %v, %v", limit, ranges, err)
		}
		const size = 1 + 8 + 1 + 1 // of an operation
		const name = 1 + len("t1") // once
		beyondFirst := max(0, limit-name-size)
		want := 1 + (beyondFirst+size-1)/size
		if count := len(ranges[0].operations); count != want {
			t.Errorf("limit %d: %d operations, want %d", limit, count, want)
		}
	}
}

// seal gives a content the checksum of the test's sender.
func seal(content ...byte) []byte { return testSender.appendChecksum(content) }

// TestMalformedContents checks encodings whose checksum is right and whose contents nobody writes.
func TestMalformedContents(t *testing.T) {
	origin := func(number uint64) []byte { return binary.LittleEndian.AppendUint64(nil, number) }
	join := func(parts ...[]byte) []byte {
		return seal(slices.Concat(append([][]byte{{encodingVersion}}, parts...)...)...)
	}
	operation := []byte{2, 'x', 0, 1, 't', 8} // id "x", new counter "t", amount 4
	vectors := map[string][]byte{
		"empty":             {},
		"another version":   seal(encodingVersion+1, 0),
		"origin 0":          join([]byte{1}, origin(0), []byte{5}),
		"sequence 0":        join([]byte{1}, origin(3), []byte{0}),
		"origins unordered": join([]byte{2}, origin(3), []byte{5}, origin(2), []byte{5}),
		"an origin twice":   join([]byte{2}, origin(3), []byte{5}, origin(3), []byte{5}),
		"huge count":        join([]byte{0xff, 0xff, 0xff, 0x7f}),
		"overlong number":   join([]byte{1}, origin(3), []byte{0x85, 0x00}),
		"too large":         seal(append([]byte{encodingVersion}, make([]byte, maxVectorBytes)...)...),
	}
	for name, data := range vectors {
		if _, err := decodeVector(&testSender, data); !errors.As(err, new(*DecodeError)) {
			t.Errorf("vector with %s: %v", name, err)
		}
	}
	ranges := map[string][]byte{
		"another version":        seal(encodingVersion+1, 0),
		"origin 0":               join(origin(0), []byte{1, 1}, operation),
		"first 0":                join(origin(3), []byte{0, 1}, operation),
		"first beyond":           join(origin(3), binary.AppendUvarint(nil, maxSequence+1), []byte{1}, operation),
		"no operation":           join(origin(3), []byte{1, 0}),
		"huge count":             join(origin(3), []byte{1}, binary.AppendUvarint(nil, 1<<40), operation),
		"unknown counter":        join(origin(3), []byte{1, 1}, []byte{2, 'x', 1, 8}),
		"empty id":               join(origin(3), []byte{1, 1}, []byte{0, 0, 1, 't', 8}),
		"empty packed id":        join(origin(3), []byte{1, 1}, []byte{1, 0, 1, 't', 8}),
		"empty counter":          join(origin(3), []byte{1, 1}, []byte{2, 'x', 0, 0, 8, 0}),
		"long id":                join(origin(3), []byte{1, 1}, binary.AppendUvarint(nil, (MaxIDSize+1)<<1), make([]byte, 300)),
		"long packed id":         join(origin(3), []byte{1, 1}, binary.AppendUvarint(nil, (MaxIDSize/2+1)<<1|1), make([]byte, 300)),
		"something that follows": join(origin(3), []byte{1, 1}, operation, []byte{0}),
		"too large":              seal(append([]byte{encodingVersion}, make([]byte, maxRangesBytes)...)...),
	}
	for name, data := range ranges {
		if _, err := decodeRanges(&testSender, data); !errors.As(err, new(*DecodeError)) {
			t.Errorf("ranges with %s: %v", name, err)
		}
	}
	if _, err := decodeRanges(&testSender, join(origin(3), []byte{1, 1}, operation)); err != nil {
		t.Errorf("the well-formed range: %v", err)
	}
}

// FuzzVector checks that what decodes is the encoding of what it decodes to.
func FuzzVector(f *testing.F) {
	for _, vector := range []VersionVector{{}, {1: 1}, {1: 300, math.MaxUint64: math.MaxUint64}} {
		data := encodeVector(&testSender, logsOf(vector))
		f.Add(data[:len(data)-checksumSize])
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		data := testSender.appendChecksum(slices.Clip(content))
		vector, err := decodeVector(&testSender, data)
		if err != nil {
			return
		}
		if again := encodeVector(&testSender, logsOf(vector)); !bytes.Equal(again, data) {
			t.Errorf("% x decodes to %v, which encodes to % x", data, vector, again)
		}
	})
}

// FuzzRanges checks that what decodes is within the bounds, survives another encoding, and that a node takes it without a gap.
func FuzzRanges(f *testing.F) {
	for _, amount := range []int64{0, 1, -1, math.MinInt64, math.MaxInt64} {
		operations := []Operation{{"00ff", "t1", amount}, {"x", "t1", amount}, {"y", "t2", amount}}
		data := encodeRanges(&testSender, []entryRange{{42, 1, operations}, {7, 1, operations}, {7, 3, operations}})
		f.Add(data[:len(data)-checksumSize])
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		data := testSender.appendChecksum(slices.Clip(content))
		ranges, err := decodeRanges(&testSender, data)
		if err != nil {
			return
		}
		again, err := decodeRanges(&testSender, encodeRanges(&testSender, ranges))
		if err != nil || !reflect.DeepEqual(again, ranges) {
			t.Errorf("%v decodes again to %v, %v", ranges, again, err)
		}
		node := newTestNode(t, Options{Origin: 7})
		node.HandleRequest(&ExchangeRequest{From: testSender, Vector: encodeVector(&testSender, nil), Ranges: data}, testStart)
		ready := node.Ready(testStart)
		next := VersionVector{}
		for _, entry := range ready.Entries {
			next[entry.Origin]++
			if entry.Sequence != next[entry.Origin] || entry.Origin == 7 || entry.Operation.validate() != nil {
				t.Fatalf("the node takes %+v after %v", entry, next)
			}
		}
	})
}
