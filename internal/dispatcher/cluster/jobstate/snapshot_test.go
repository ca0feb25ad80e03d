package jobstate

import (
	"bytes"
	"errors"
	"testing"
)

func FuzzRestore(f *testing.F) {
	state := New(testLimits)
	state.Apply(1, (&Command{Kind: CommandSubmit, TimeMS: 1, Tenant: "a", Key: "k", Data: []byte("x")}).Encode())
	f.Add(state.Snapshot())
	f.Fuzz(func(t *testing.T, data []byte) {
		state := New(testLimits)
		if err := state.Restore(data); err == nil {
			state.Apply(1<<40, (&Command{Kind: CommandAdvanceTime, TimeMS: 1 << 40}).Encode())
		}
	})
}

// TestRestoreRejectsRepeatedEnd: a snapshot that names an ended job twice is rejected, since the job would be gone when its
// second mention expires.
func TestRestoreRejectsRepeatedEnd(t *testing.T) {
	state := New(testLimits)
	result, err := state.Apply(1, (&Command{Kind: CommandSubmit, TimeMS: 1, Tenant: "a", Key: "k", Data: []byte("x")}).Encode())
	if err != nil || result.Err != nil {
		t.Fatal(err, result.Err)
	}
	state.jobs[1].State = Done
	state.finish(state.jobs[1], nil)
	before := state.Snapshot()
	restored := New(testLimits)
	if err := restored.Restore(before); err != nil {
		t.Fatal(err)
	}
	state.endedIDs = append(state.endedIDs, 1)
	var decodeError *DecodeError
	if err := restored.Restore(state.Snapshot()); !errors.As(err, &decodeError) {
		t.Fatalf("restored with %v", err)
	}
	if !bytes.Equal(restored.Snapshot(), before) {
		t.Error("a rejected snapshot has changed the state")
	}
	if _, err := restored.Apply(2, (&Command{Kind: CommandAdvanceTime, TimeMS: 1 << 40}).Encode()); err != nil {
		t.Error(err)
	}
}
