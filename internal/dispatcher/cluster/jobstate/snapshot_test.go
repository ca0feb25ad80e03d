package jobstate

import (
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
