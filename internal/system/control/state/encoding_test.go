package state

import (
	"bytes"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// drawWrites draws up to eight writes.
func drawWrites(t *rapid.T) []Write {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Write {
		write := Write{Key: rapid.String().Draw(t, "key"), Deleted: rapid.Bool().Draw(t, "deleted")}
		if !write.Deleted {
			write.Value = rapid.SliceOf(rapid.Byte()).Draw(t, "value")
		}
		return write
	}), 0, 8).Draw(t, "writes")
}

// sameWrites reports whether two lists of writes are equal.
func sameWrites(a, b []Write) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Key != b[i].Key || a[i].Deleted != b[i].Deleted || !bytes.Equal(a[i].Value, b[i].Value) {
			return false
		}
	}
	return true
}

// TestCommandRoundTrip checks that random commands are the same after encoding and decoding.
func TestCommandRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		commit := CommitConfiguration{
			BaseVersion: rapid.Uint64().Draw(t, "based"),
			Version:     rapid.Uint64().Draw(t, "version"),
			Writes:      drawWrites(t),
		}
		copy(commit.Digest[:], rapid.SliceOfN(rapid.Byte(), DigestSize, DigestSize).Draw(t, "digest"))
		decoded, err := decodeCommand(commit.Encode())
		if err != nil {
			t.Fatal(err)
		}
		got := decoded.(*CommitConfiguration)
		if got.BaseVersion != commit.BaseVersion || got.Version != commit.Version || got.Digest != commit.Digest ||
			!sameWrites(got.Writes, commit.Writes) {
			t.Fatalf("%+v came back as %+v", commit, got)
		}
		evacuation := SetEvacuation{
			Zone:             rapid.String().Draw(t, "zone"),
			Evacuated:        rapid.Bool().Draw(t, "on"),
			ExpectedRevision: rapid.Uint64().Draw(t, "seen"),
		}
		if decoded, err = decodeCommand(evacuation.Encode()); err != nil || !reflect.DeepEqual(decoded, &evacuation) {
			t.Fatalf("%+v came back as %+v, %v", evacuation, decoded, err)
		}
		runners := WriteRunners{ExpectedRevision: rapid.Uint64().Draw(t, "seen"), Writes: drawWrites(t)}
		decoded, err = decodeCommand(runners.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if got := decoded.(*WriteRunners); got.ExpectedRevision != runners.ExpectedRevision || !sameWrites(got.Writes, runners.Writes) {
			t.Fatalf("%+v came back as %+v", runners, got)
		}
	})
}

// FuzzDecodeCommand checks that whatever decodes is encoded to the same bytes, and that no input makes Apply panic.
func FuzzDecodeCommand(f *testing.F) {
	f.Add(encodeCommit(1, 2, 3, put("route/a", "{}"), Write{Key: "route/b", Deleted: true}))
	f.Add((&SetEvacuation{Zone: "a", Evacuated: true, ExpectedRevision: 300}).Encode())
	f.Add((&WriteRunners{ExpectedRevision: 7, Writes: []Write{put("runner/i-1", "x")}}).Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		newTestConfiguration().Apply(1, data)
		NewRunners(1, zeroClock, noop).Apply(1, data)
		decoded, err := decodeCommand(data)
		if err != nil {
			return
		}
		again := decoded.(interface{ Encode() []byte }).Encode()
		if !bytes.Equal(again, data) {
			t.Errorf("%x was read and written as %x", data, again)
		}
	})
}

// FuzzRestore checks that a snapshot is restored completely or changes nothing.
func FuzzRestore(f *testing.F) {
	configuration := newTestConfiguration()
	configuration.Apply(1, encodeCommit(0, 2, 3, put("route/a", "{}"), put("service/b", "{}")))
	configuration.Apply(2, (&SetEvacuation{Zone: "a", Evacuated: true}).Encode())
	f.Add(configuration.Snapshot())
	seed := NewRunners(1, zeroClock, noop)
	seed.Apply(1, (&WriteRunners{Writes: []Write{put("runner/i-1", "x")}}).Encode())
	f.Add(seed.Snapshot())
	f.Fuzz(func(t *testing.T, data []byte) {
		configuration := newTestConfiguration()
		empty := configuration.Snapshot()
		if configuration.Restore(1, data) != nil {
			if !bytes.Equal(configuration.Snapshot(), empty) {
				t.Error("a snapshot that can't be read changed the state")
			}
		} else {
			again := newTestConfiguration()
			if err := again.Restore(1, configuration.Snapshot()); err != nil {
				t.Errorf("its own snapshot can't be read: %v", err)
			}
		}
		runners := NewRunners(1, zeroClock, noop)
		if runners.Restore(1, data) == nil {
			if err := NewRunners(1, zeroClock, noop).Restore(1, runners.Snapshot()); err != nil {
				t.Errorf("its own snapshot can't be read: %v", err)
			}
		}
	})
}

// TestResultRoundTrip checks that results are the same after encoding and decoding, and that malformed ones are rejected.
func TestResultRoundTrip(t *testing.T) {
	for _, result := range []Result{{OutcomeAccepted, 1}, {OutcomeConflict, 1 << 63}, {OutcomeAlreadyAccepted, 0}, {OutcomeForgotten, 5}} {
		if got := decodeResult(t, result.Encode()); got != result {
			t.Errorf("%+v came back as %+v", result, got)
		}
	}
	for _, bytes := range [][]byte{nil, {1}, {9, 1}, {1, 1, 1}} {
		if _, err := DecodeResult(bytes); err == nil {
			t.Errorf("%x was read as a result", bytes)
		}
	}
}
