package jobstate

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

var testLimits = Limits{TotalBytes: 64 << 10, TenantBytes: 40 << 10, JobBytes: 4 << 10, ResultRetentionMS: 10_000}

// drawCommand draws a command that may or may not be valid in the state.
func drawCommand(t *rapid.T, state *State, timeMS int64) *Command {
	command := &Command{
		Kind:     CommandKind(rapid.IntRange(1, int(commandKinds)-1).Draw(t, "kind")),
		TimeMS:   timeMS,
		Proposer: rapid.SampledFrom([]string{"m1/1", "m2/1"}).Draw(t, "by"),
	}
	switch command.Kind {
	case CommandSubmit:
		command.Tenant = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "tenant")
		command.Key = fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "key"))
		command.Effect = Effect(rapid.IntRange(0, 2).Draw(t, "effect"))
		command.DeduplicationWindowMS = 3000
		command.Data = make([]byte, rapid.IntRange(0, 5000).Draw(t, "bytes"))
	case CommandSend, CommandEnd, CommandAbandon:
		command.ID = uint64(rapid.IntRange(1, 60).Draw(t, "id"))
		if job := state.Job(command.ID); job != nil {
			command.FencingToken = job.FencingToken
		}
		command.FencingToken += uint64(rapid.IntRange(0, 5).Draw(t, "fence") / 5)
		command.WorkerGroup = rapid.SampledFrom([]string{"g", "h"}).Draw(t, "group")
		command.NotRun = rapid.IntRange(0, 3).Draw(t, "unrun") == 0
		command.Data = make([]byte, rapid.IntRange(0, 6000).Draw(t, "result"))
	case CommandExclude, CommandInclude:
		command.Worker = rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "worker")
	}
	return command
}

// Two states to which the same commands were applied are equal bit for bit, even if one was restored from a snapshot; a job
// ends once; the used bytes are those of the items.
func TestReplicasStayIdentical(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := New(testLimits), New(testLimits)
		timeMS, ends := int64(1_000_000), map[uint64]JobState{}
		for index := uint64(1); index <= 60; index++ {
			timeMS += int64(rapid.IntRange(-2000, 2000).Draw(t, "time")) // the proposers' clocks differ by seconds
			data := drawCommand(t, first, timeMS).Encode()
			before := first.NowMS()
			firstResult, err := first.Apply(index, data)
			secondResult, _ := second.Apply(index, data)
			if err != nil || fmt.Sprint(firstResult.Err) != fmt.Sprint(secondResult.Err) {
				t.Fatalf("%v, %v, %v", err, firstResult.Err, secondResult.Err)
			}
			if first.NowMS() < before {
				t.Fatal("the time decreased")
			}
			if firstResult.Job != nil && firstResult.Job.State.Terminal() {
				if previous := ends[firstResult.Job.ID]; previous != 0 && previous != firstResult.Job.State {
					t.Fatalf("job %d ended as %s, then as %s", firstResult.Job.ID, previous, firstResult.Job.State)
				}
				ends[firstResult.Job.ID] = firstResult.Job.State
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				fresh := New(testLimits)
				if err := fresh.Restore(second.Snapshot()); err != nil {
					t.Fatal(err)
				}
				second = fresh
			}
			if first.Digest() != second.Digest() {
				t.Fatalf("the states differ after command %d", index)
			}
			sum := 0
			for _, job := range first.jobs {
				sum += job.sizeBytes()
			}
			if _, used := first.Usage(); used != sum+exclusionBytes*len(first.exclusions) {
				t.Fatalf("%d bytes used, the jobs have %d", used, sum)
			}
		}
		if !bytes.Equal(first.Snapshot(), second.Snapshot()) {
			t.Fatal("the snapshots differ")
		}
	})
}

func applyCommand(t *testing.T, state *State, index uint64, command Command) Result {
	t.Helper()
	result, err := state.Apply(index, command.Encode())
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestAbandonFollowsEffect(t *testing.T) {
	for _, c := range []struct {
		name   string
		effect Effect
		group  string
		after  int64 // ms from the first send to the abandoning
		want   JobState
	}{
		{"safe", Safe, "other", 60_000, Waiting},
		{"keyed, within its window", Keyed, "g", 2000, Waiting},
		{"keyed, at its window's end", Keyed, "g", 3000, Unknown},
		{"unsafe", Unsafe, "g", 1, Unknown},
	} {
		state := New(testLimits)
		id := applyCommand(t, state, 1, Command{
			Kind:                  CommandSubmit,
			TimeMS:                1000,
			Tenant:                "a",
			Key:                   "k",
			Effect:                c.effect,
			DeduplicationWindowMS: 3000,
		}).Job.ID
		applyCommand(t, state, 2, Command{Kind: CommandSend, TimeMS: 1000, Proposer: "m1", ID: id, WorkerGroup: "g"})
		job := applyCommand(t, state, 3, Command{Kind: CommandAbandon, TimeMS: 1000 + c.after, ID: id, FencingToken: 1}).Job
		if job.State != c.want {
			t.Errorf("%s: state %s, want %s", c.name, job.State, c.want)
		}
		if job.State == Waiting {
			err := applyCommand(t, state, 4, Command{
				Kind:         CommandSend,
				TimeMS:       1000 + c.after,
				Proposer:     "m2",
				ID:           id,
				FencingToken: 1,
				WorkerGroup:  "elsewhere",
			}).Err
			var mayHaveRun *MayHaveRunError
			if errors.As(err, &mayHaveRun) != (c.effect == Keyed) {
				t.Errorf("%s, sent to another worker group: %v", c.name, err)
			}
		}
	}
}

func TestFencingAllowsOneSender(t *testing.T) {
	state := New(testLimits)
	id := applyCommand(t, state, 1, Command{Kind: CommandSubmit, TimeMS: 1000, Tenant: "a", Key: "k"}).Job.ID
	if err := applyCommand(t, state, 2, Command{Kind: CommandSend, TimeMS: 1000, Proposer: "m1", ID: id}).Err; err != nil {
		t.Fatal(err)
	}
	var fenced *FencedError
	err := applyCommand(t, state, 3, Command{
		Kind:     CommandSend,
		TimeMS:   1000,
		Proposer: "m2",
		ID:       id,
	}).Err
	if !errors.As(err, &fenced) || fenced.Owner != "m1" || fenced.CurrentToken != 1 {
		t.Errorf("send with an old fencing token: %v", err)
	}
	applyCommand(t, state, 4, Command{Kind: CommandAbandon, TimeMS: 2000, ID: id, FencingToken: 1})
	applyCommand(t, state, 5, Command{Kind: CommandSend, TimeMS: 2000, Proposer: "m2", ID: id, FencingToken: 1})
	result := applyCommand(t, state, 6, Command{
		Kind:         CommandEnd,
		TimeMS:       3000,
		Proposer:     "m1",
		ID:           id,
		FencingToken: 1,
		Data:         []byte("x"),
	})
	if result.Err != nil || result.Job.State != Done {
		t.Errorf("end by an earlier sender: %v", result.Err)
	}
	var ended *JobEndedError
	err = applyCommand(t, state, 7, Command{
		Kind:         CommandEnd,
		TimeMS:       3000,
		Proposer:     "m2",
		ID:           id,
		FencingToken: 2,
	}).Err
	if !errors.As(err, &ended) {
		t.Errorf("second end: %v", err)
	}
}

func TestSubmitEnforcesLimits(t *testing.T) {
	state := New(testLimits)
	data := make([]byte, 3000)
	submit := func(index uint64, tenant, key string, data []byte) error {
		command := Command{Kind: CommandSubmit, TimeMS: 1000, Tenant: tenant, Key: key, Data: data}
		return applyCommand(t, state, index, command).Err
	}
	var full *StateFullError
	for index := uint64(0); !errors.As(submit(index+1, "a", fmt.Sprint(index), data), &full); index++ {
	}
	if full.Tenant != "a" || full.RetryMS <= 0 {
		t.Errorf("%+v", full)
	}
	if err := submit(100, "b", "b", data); err != nil {
		t.Errorf("another tenant: %v", err)
	}
	applyCommand(t, state, 101, Command{Kind: CommandSend, TimeMS: 1000, Proposer: "m", ID: 1})
	applyCommand(t, state, 102, Command{Kind: CommandEnd, TimeMS: 1000, Proposer: "m", ID: 1, FencingToken: 1})
	if err := submit(103, "a", "again", data); err != nil {
		t.Errorf("after an ended job has freed its data: %v", err)
	}
	applyCommand(t, state, 104, Command{Kind: CommandAdvanceTime, TimeMS: 1000 + testLimits.ResultRetentionMS})
	if state.Job(1) != nil {
		t.Error("the result is retained for too long")
	}
	var tooLarge *JobTooLargeError
	if err := submit(105, "b", "", make([]byte, 5000)); !errors.As(err, &tooLarge) {
		t.Errorf("job over the limit: %v", err)
	}
	var conflict *KeyConflictError
	if err := submit(106, "b", "b", []byte("other")); !errors.As(err, &conflict) {
		t.Errorf("key of another job: %v", err)
	}
}
