package jobstate

import (
	"fmt"
	"testing"
)

// newFilledState returns a State with the given number of jobs of 200 bytes each.
func newFilledState(b *testing.B, jobs int) *State {
	b.Helper()
	state := New(Limits{TotalBytes: 1 << 30, TenantBytes: 1 << 30, JobBytes: 8 << 10, ResultRetentionMS: 600_000})
	for i := range jobs {
		command := Command{
			Kind:     CommandSubmit,
			TimeMS:   1000,
			Tenant:   "t",
			Key:      fmt.Sprint(i),
			Class:    "c",
			Function: "f",
			Data:     make([]byte, 200),
		}
		if result, err := state.Apply(uint64(i+1), command.Encode()); err != nil || result.Err != nil {
			b.Fatal(err, result.Err)
		}
	}
	return state
}

// BenchmarkSubmitSendEnd measures submitting, sending and ending a job beside 100,000 others.
func BenchmarkSubmitSendEnd(b *testing.B) {
	state := newFilledState(b, 100_000)
	index := uint64(100_000)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		index += 3
		id := index - 2
		state.Apply(id, (&Command{
			Kind:   CommandSubmit,
			TimeMS: 1000,
			Tenant: "t",
			Key:    fmt.Sprint("b", i),
			Class:  "c",
			Data:   make([]byte, 200),
		}).Encode())
		state.Apply(index-1, (&Command{Kind: CommandSend, TimeMS: 1000, Proposer: "m", ID: id}).Encode())
		state.Apply(index, (&Command{
			Kind:         CommandEnd,
			TimeMS:       1000,
			Proposer:     "m",
			ID:           id,
			FencingToken: 1,
			Data:         make([]byte, 50),
		}).Encode())
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, jobs := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			state := newFilledState(b, jobs)
			b.ReportAllocs()
			for b.Loop() {
				b.SetBytes(int64(len(state.Snapshot())))
			}
		})
	}
}
