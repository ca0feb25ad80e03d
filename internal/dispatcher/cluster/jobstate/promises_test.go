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

var bounds = Bounds{Bytes: 64 << 10, TenantBytes: 40 << 10, JobBytes: 4 << 10, ResultMS: 10_000}

// drawn is a command that may or may not make sense in a state.
func drawn(t *rapid.T, s *State, at int64) *Command {
	c := &Command{Kind: Kind(rapid.IntRange(1, int(kinds)-1).Draw(t, "kind")), At: at, By: rapid.SampledFrom([]string{"m1/1", "m2/1"}).Draw(t, "by")}
	switch c.Kind {
	case Take:
		c.Tenant, c.Key = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "tenant"), fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "key"))
		c.Effect, c.WindowMS = Effect(rapid.IntRange(0, 2).Draw(t, "effect")), 3000
		c.Data = make([]byte, rapid.IntRange(0, 5000).Draw(t, "bytes"))
	case Send, End, GiveUp:
		c.ID = uint64(rapid.IntRange(1, 60).Draw(t, "id"))
		if job := s.Job(c.ID); job != nil {
			c.Fence = job.Fence
		}
		c.Fence += uint64(rapid.IntRange(0, 5).Draw(t, "fence") / 5)
		c.Group, c.Unrun = rapid.SampledFrom([]string{"g", "h"}).Draw(t, "group"), rapid.IntRange(0, 3).Draw(t, "unrun") == 0
		c.Data = make([]byte, rapid.IntRange(0, 6000).Draw(t, "result"))
	case Exclude, Include:
		c.Worker = rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "worker")
	}
	return c
}

// Two states that take the same commands are the same bit for bit, also where one went through a snapshot; a job ends once; the bounds hold.
func TestStatesThatTakeTheSameAreTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(bounds), New(bounds)
		at, ends := int64(1_000_000), map[uint64]JobState{}
		for i := uint64(1); i <= 60; i++ {
			at += int64(rapid.IntRange(-2000, 2000).Draw(t, "time")) // clocks are seconds apart
			text := drawn(t, a, at).Encode()
			now := a.Now()
			ra, err := a.Apply(i, text)
			rb, _ := b.Apply(i, text)
			if err != nil || fmt.Sprint(ra.Err) != fmt.Sprint(rb.Err) {
				t.Fatalf("%v, %v, %v", err, ra.Err, rb.Err)
			}
			if a.Now() < now {
				t.Fatal("time went back")
			}
			if ra.Job != nil && ra.Job.State.Over() {
				if was := ends[ra.Job.ID]; was != 0 && was != ra.Job.State {
					t.Fatalf("job %d ended as %s, then as %s", ra.Job.ID, was, ra.Job.State)
				}
				ends[ra.Job.ID] = ra.Job.State
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				fresh := New(bounds)
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
				sum += job.bytes()
			}
			if _, held := a.Held(); held != sum+outBytes*len(a.out) {
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
		s := New(bounds)
		id := apply(t, s, 1, Command{Kind: Take, At: 1000, Tenant: "a", Key: "k", Effect: c.effect, WindowMS: 3000}).Job.ID
		apply(t, s, 2, Command{Kind: Send, At: 1000, By: "m1", ID: id, Group: "g"})
		job := apply(t, s, 3, Command{Kind: GiveUp, At: 1000 + c.after, ID: id, Fence: 1}).Job
		if job.State != c.again {
			t.Errorf("%s: %s", c.name, job.State)
		}
		if job.State == Waiting {
			err := apply(t, s, 4, Command{Kind: Send, At: 1000 + c.after, By: "m2", ID: id, Fence: 1, Group: "elsewhere"}).Err
			var may *MayHaveRun
			if errors.As(err, &may) != (c.effect == Keyed) {
				t.Errorf("%s, sent to other workers: %v", c.name, err)
			}
		}
	}
}

func TestOnlyOneOfTwoHeirsSends(t *testing.T) {
	s := New(bounds)
	id := apply(t, s, 1, Command{Kind: Take, At: 1000, Tenant: "a", Key: "k"}).Job.ID
	if err := apply(t, s, 2, Command{Kind: Send, At: 1000, By: "m1", ID: id}).Err; err != nil {
		t.Fatal(err)
	}
	var fenced *Fenced
	if err := apply(t, s, 3, Command{Kind: Send, At: 1000, By: "m2", ID: id}).Err; !errors.As(err, &fenced) || fenced.By != "m1" || fenced.Now != 1 {
		t.Errorf("the second one's send: %v", err)
	}
	apply(t, s, 4, Command{Kind: GiveUp, At: 2000, ID: id, Fence: 1})
	apply(t, s, 5, Command{Kind: Send, At: 2000, By: "m2", ID: id, Fence: 1})
	if r := apply(t, s, 6, Command{Kind: End, At: 3000, By: "m1", ID: id, Fence: 1, Data: []byte("x")}); r.Err != nil || r.Job.State != Done {
		t.Errorf("the first end is the one, also of who was outlived: %v", r.Err)
	}
	var ended *Ended
	if err := apply(t, s, 7, Command{Kind: End, At: 3000, By: "m2", ID: id, Fence: 2}).Err; !errors.As(err, &ended) {
		t.Errorf("a second end: %v", err)
	}
}

func TestAtTheBoundsItIsRefusedAndSaysWhen(t *testing.T) {
	s := New(bounds)
	data := make([]byte, 3000)
	var full *Full
	i := uint64(0)
	for ; !errors.As(apply(t, s, i+1, Command{Kind: Take, At: 1000, Tenant: "a", Key: fmt.Sprint(i), Data: data}).Err, &full); i++ {
	}
	if full.Tenant != "a" || full.RetryMS <= 0 {
		t.Errorf("%+v", full)
	}
	if r := apply(t, s, 100, Command{Kind: Take, At: 1000, Tenant: "b", Key: "b", Data: data}); r.Err != nil {
		t.Errorf("another tenant: %v", r.Err)
	}
	apply(t, s, 101, Command{Kind: Send, At: 1000, By: "m", ID: 1})
	apply(t, s, 102, Command{Kind: End, At: 1000, By: "m", ID: 1, Fence: 1})
	if r := apply(t, s, 103, Command{Kind: Take, At: 1000, Tenant: "a", Key: "again", Data: data}); r.Err != nil {
		t.Errorf("after an end has freed its data: %v", r.Err)
	}
	apply(t, s, 104, Command{Kind: Pass, At: 1000 + bounds.ResultMS})
	if s.Job(1) != nil {
		t.Error("a result is kept beyond its time")
	}
	var large *TooLarge
	if err := apply(t, s, 105, Command{Kind: Take, At: 1000, Tenant: "b", Data: make([]byte, 5000)}).Err; !errors.As(err, &large) {
		t.Errorf("too large: %v", err)
	}
	var other *OtherJob
	if err := apply(t, s, 106, Command{Kind: Take, At: 1000, Tenant: "b", Key: "b", Data: []byte("other")}).Err; !errors.As(err, &other) {
		t.Errorf("a key for another job: %v", err)
	}
}

// Every problem has a code and a word for operators, and both stand on their page.
func TestEveryProblemIsOnThePage(t *testing.T) {
	page, err := os.ReadFile("../../../../docs/promises.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range []Problem{&Full{}, &TooLarge{}, &NotHeld{}, &Fenced{}, &Ended{}, &MayHaveRun{}, &OtherJob{}, &Unreadable{Cause: errForm}} {
		if p.Code() == "" || p.Do() == "" || p.Error() == "" || !strings.Contains(string(page), "`"+p.Code()+"`") || !strings.Contains(string(page), p.Do()) {
			t.Errorf("%T: %q is not on the page as it is", p, p.Code())
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add((&Command{Kind: Take, At: 1, Tenant: "a", Key: "k", Data: []byte("x")}).Encode())
	f.Fuzz(func(t *testing.T, text []byte) {
		if c, err := Decode(text); err == nil {
			if again, err := Decode(c.Encode()); err != nil || !cmp.Equal(c, again) {
				t.Errorf("%v: %v, %v", c, again, err)
			}
			if _, err := New(bounds).Apply(1, text); err != nil {
				t.Error(err)
			}
		}
	})
}

func FuzzRestore(f *testing.F) {
	s := New(bounds)
	s.Apply(1, (&Command{Kind: Take, At: 1, Tenant: "a", Key: "k", Data: []byte("x")}).Encode())
	f.Add(s.Snapshot())
	f.Fuzz(func(t *testing.T, text []byte) {
		s := New(bounds)
		if err := s.Restore(text); err == nil {
			s.Apply(1<<40, (&Command{Kind: Pass, At: 1 << 40}).Encode())
		}
	})
}
