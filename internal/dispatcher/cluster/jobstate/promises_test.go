package jobstate

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var testLimits = Limits{TotalBytes: 64 << 10, TenantBytes: 40 << 10, JobBytes: 4 << 10, ResultRetentionMS: 10_000}

// drawCommand is a command that may or may not make sense in a state.
func drawCommand(t *rapid.T, s *State, at int64) *Command {
	c := &Command{Kind: CommandKind(rapid.IntRange(1, int(commandKinds)-1).Draw(t, "kind")), TimeMS: at, Proposer: rapid.SampledFrom([]string{"m1/1", "m2/1"}).Draw(t, "by")}
	switch c.Kind {
	case CommandSubmit:
		c.Tenant, c.Key = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "tenant"), fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "key"))
		c.Effect, c.DeduplicationWindowMS = Effect(rapid.IntRange(0, 2).Draw(t, "effect")), 3000
		c.Data = make([]byte, rapid.IntRange(0, 5000).Draw(t, "bytes"))
	case CommandSend, CommandEnd, CommandAbandon:
		c.ID = uint64(rapid.IntRange(1, 60).Draw(t, "id"))
		if job := s.Job(c.ID); job != nil {
			c.FencingToken = job.FencingToken
		}
		c.FencingToken += uint64(rapid.IntRange(0, 5).Draw(t, "fence") / 5)
		c.WorkerGroup, c.NotRun = rapid.SampledFrom([]string{"g", "h"}).Draw(t, "group"), rapid.IntRange(0, 3).Draw(t, "unrun") == 0
		c.Data = make([]byte, rapid.IntRange(0, 6000).Draw(t, "result"))
	case CommandExclude, CommandInclude:
		c.Worker = rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "worker")
	}
	return c
}

// Two states that take the same commands are the same bit for bit, also where one went through a snapshot; a job ends once; the bounds hold.
func TestStatesThatTakeTheSameAreTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(testLimits), New(testLimits)
		at, ends := int64(1_000_000), map[uint64]JobState{}
		for i := uint64(1); i <= 60; i++ {
			at += int64(rapid.IntRange(-2000, 2000).Draw(t, "time")) // clocks are seconds apart
			text := drawCommand(t, a, at).Encode()
			now := a.NowMS()
			ra, err := a.Apply(i, text)
			rb, _ := b.Apply(i, text)
			if err != nil || fmt.Sprint(ra.Err) != fmt.Sprint(rb.Err) {
				t.Fatalf("%v, %v, %v", err, ra.Err, rb.Err)
			}
			if a.NowMS() < now {
				t.Fatal("time went back")
			}
			if ra.Job != nil && ra.Job.State.Terminal() {
				if was := ends[ra.Job.ID]; was != 0 && was != ra.Job.State {
					t.Fatalf("job %d ended as %s, then as %s", ra.Job.ID, was, ra.Job.State)
				}
				ends[ra.Job.ID] = ra.Job.State
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				fresh := New(testLimits)
				if err := fresh.Restore(b.Snapshot()); err != nil {
					t.Fatal(err)
				}
				b = fresh
			}
			if a.Digest() != b.Digest() {
				t.Fatalf("they differ after command %d", i)
			}
			sum := 0
			for _, job := range a.jobs {
				sum += job.sizeBytes()
			}
			if _, held := a.Usage(); held != sum+exclusionBytes*len(a.exclusions) {
				t.Fatalf("%d bytes counted, %d held", held, sum)
			}
		}
		if !bytes.Equal(a.Snapshot(), b.Snapshot()) {
			t.Fatal("their snapshots differ")
		}
	})
}

func apply(t *testing.T, s *State, index uint64, c Command) Result {
	t.Helper()
	r, err := s.Apply(index, c.Encode())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestWhatMayHaveRunKeepsItsClassesRule(t *testing.T) {
	for _, c := range []struct {
		name   string
		effect Effect
		group  string
		after  int64 // ms from the first send to the giving up
		again  JobState
	}{
		{"safe", Safe, "other", 60_000, Waiting},
		{"keyed, in time", Keyed, "g", 2000, Waiting},
		{"keyed, at its window's end", Keyed, "g", 3000, Unknown},
		{"unsafe", Unsafe, "g", 1, Unknown},
	} {
		s := New(testLimits)
		id := apply(t, s, 1, Command{Kind: CommandSubmit, TimeMS: 1000, Tenant: "a", Key: "k", Effect: c.effect, DeduplicationWindowMS: 3000}).Job.ID
		apply(t, s, 2, Command{Kind: CommandSend, TimeMS: 1000, Proposer: "m1", ID: id, WorkerGroup: "g"})
		job := apply(t, s, 3, Command{Kind: CommandAbandon, TimeMS: 1000 + c.after, ID: id, FencingToken: 1}).Job
		if job.State != c.again {
			t.Errorf("%s: %s", c.name, job.State)
		}
		if job.State == Waiting {
			err := apply(t, s, 4, Command{Kind: CommandSend, TimeMS: 1000 + c.after, Proposer: "m2", ID: id, FencingToken: 1, WorkerGroup: "elsewhere"}).Err
			var may *MayHaveRunError
			if errors.As(err, &may) != (c.effect == Keyed) {
				t.Errorf("%s, sent to other workers: %v", c.name, err)
			}
		}
	}
}

func TestOnlyOneOfTwoHeirsSends(t *testing.T) {
	s := New(testLimits)
	id := apply(t, s, 1, Command{Kind: CommandSubmit, TimeMS: 1000, Tenant: "a", Key: "k"}).Job.ID
	if err := apply(t, s, 2, Command{Kind: CommandSend, TimeMS: 1000, Proposer: "m1", ID: id}).Err; err != nil {
		t.Fatal(err)
	}
	var fenced *FencedError
	if err := apply(t, s, 3, Command{Kind: CommandSend, TimeMS: 1000, Proposer: "m2", ID: id}).Err; !errors.As(err, &fenced) || fenced.Owner != "m1" || fenced.CurrentToken != 1 {
		t.Errorf("the second one's send: %v", err)
	}
	apply(t, s, 4, Command{Kind: CommandAbandon, TimeMS: 2000, ID: id, FencingToken: 1})
	apply(t, s, 5, Command{Kind: CommandSend, TimeMS: 2000, Proposer: "m2", ID: id, FencingToken: 1})
	if r := apply(t, s, 6, Command{Kind: CommandEnd, TimeMS: 3000, Proposer: "m1", ID: id, FencingToken: 1, Data: []byte("x")}); r.Err != nil || r.Job.State != Done {
		t.Errorf("the first end is the one, also of who was outlived: %v", r.Err)
	}
	var ended *JobEndedError
	if err := apply(t, s, 7, Command{Kind: CommandEnd, TimeMS: 3000, Proposer: "m2", ID: id, FencingToken: 2}).Err; !errors.As(err, &ended) {
		t.Errorf("a second end: %v", err)
	}
}

func TestAtTheBoundsItIsRefusedAndSaysWhen(t *testing.T) {
	s := New(testLimits)
	data := make([]byte, 3000)
	var full *StateFullError
	i := uint64(0)
	for ; !errors.As(apply(t, s, i+1, Command{Kind: CommandSubmit, TimeMS: 1000, Tenant: "a", Key: fmt.Sprint(i), Data: data}).Err, &full); i++ {
	}
	if full.Tenant != "a" || full.RetryMS <= 0 {
		t.Errorf("%+v", full)
	}
	if r := apply(t, s, 100, Command{Kind: CommandSubmit, TimeMS: 1000, Tenant: "b", Key: "b", Data: data}); r.Err != nil {
		t.Errorf("another tenant: %v", r.Err)
	}
	apply(t, s, 101, Command{Kind: CommandSend, TimeMS: 1000, Proposer: "m", ID: 1})
	apply(t, s, 102, Command{Kind: CommandEnd, TimeMS: 1000, Proposer: "m", ID: 1, FencingToken: 1})
	if r := apply(t, s, 103, Command{Kind: CommandSubmit, TimeMS: 1000, Tenant: "a", Key: "again", Data: data}); r.Err != nil {
		t.Errorf("after an end has freed its data: %v", r.Err)
	}
	apply(t, s, 104, Command{Kind: CommandAdvanceTime, TimeMS: 1000 + testLimits.ResultRetentionMS})
	if s.Job(1) != nil {
		t.Error("a result is kept beyond its time")
	}
	var large *JobTooLargeError
	if err := apply(t, s, 105, Command{Kind: CommandSubmit, TimeMS: 1000, Tenant: "b", Data: make([]byte, 5000)}).Err; !errors.As(err, &large) {
		t.Errorf("too large: %v", err)
	}
	var other *KeyConflictError
	if err := apply(t, s, 106, Command{Kind: CommandSubmit, TimeMS: 1000, Tenant: "b", Key: "b", Data: []byte("other")}).Err; !errors.As(err, &other) {
		t.Errorf("a key for another job: %v", err)
	}
}

// Every problem has a code and a word for operators, and both stand on their page.
func TestEveryProblemIsOnThePage(t *testing.T) {
	page, err := os.ReadFile("../../../../docs/promises.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range []CodedError{&StateFullError{}, &JobTooLargeError{}, &JobNotFoundError{}, &FencedError{}, &JobEndedError{}, &MayHaveRunError{}, &KeyConflictError{}, &DecodeError{Cause: errUnsupportedVersion}} {
		if p.Code() == "" || p.Remedy() == "" || p.Error() == "" || !strings.Contains(string(page), "`"+p.Code()+"`") || !strings.Contains(string(page), p.Remedy()) {
			t.Errorf("%T: %q is not on the page as it is", p, p.Code())
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add((&Command{Kind: CommandSubmit, TimeMS: 1, Tenant: "a", Key: "k", Data: []byte("x")}).Encode())
	f.Fuzz(func(t *testing.T, text []byte) {
		if c, err := Decode(text); err == nil {
			if again, err := Decode(c.Encode()); err != nil || !cmp.Equal(c, again) {
				t.Errorf("%v: %v, %v", c, again, err)
			}
			if _, err := New(testLimits).Apply(1, text); err != nil {
				t.Error(err)
			}
		}
	})
}

func FuzzRestore(f *testing.F) {
	s := New(testLimits)
	s.Apply(1, (&Command{Kind: CommandSubmit, TimeMS: 1, Tenant: "a", Key: "k", Data: []byte("x")}).Encode())
	f.Add(s.Snapshot())
	f.Fuzz(func(t *testing.T, text []byte) {
		s := New(testLimits)
		if err := s.Restore(text); err == nil {
			s.Apply(1<<40, (&Command{Kind: CommandAdvanceTime, TimeMS: 1 << 40}).Encode())
		}
	})
}
