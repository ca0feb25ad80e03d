package state

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cinderroad/internal/system/feed"
)

// TestWriteRunnersExpectedRevision checks that a command that is based on an older revision is rejected.
func TestWriteRunnersExpectedRevision(t *testing.T) {
	write := func(seen uint64, writes ...Write) []byte {
		command := WriteRunners{ExpectedRevision: seen, Writes: writes}
		return command.Encode()
	}
	runners := NewRunners(1, zeroClock, noop)
	steps := []struct {
		command []byte
		want    Result
	}{
		{write(0, put("runner/1", "serving")), Result{OutcomeAccepted, 1}},
		{write(1, put("runner/1", "draining")), Result{OutcomeAccepted, 2}},
		{write(1, put("runner/1", "serving")), Result{OutcomeConflict, 2}}, // was in flight while another machine wrote
		{write(2, Write{Key: "runner/1", Deleted: true}, put("runner/2", "serving")), Result{OutcomeAccepted, 4}},
		{encodeCommit(0, 1, 1), Result{OutcomeMalformed, 0}},
	}
	for i, step := range steps {
		if got := decodeResult(t, runners.Apply(uint64(i+1), step.command)); got != step.want {
			t.Errorf("step %d: %+v, want %+v", i+1, got, step.want)
		}
	}
	batch := runners.Since(2, 0)
	if len(batch.Items) != 2 || batch.To != 4 || batch.Snapshot {
		t.Errorf("changes since 2: %+v", batch)
	}
}

// TestFollowersConverge checks that a feed table that follows by deltas and snapshots, at times from a replica that
// lags, ends with the same items and never goes back.
func TestFollowersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, lagging := NewRunners(1, zeroClock, noop), NewRunners(1, zeroClock, noop)
		follower := feed.NewTable(1)
		var log [][]byte
		applied := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				write := Write{Key: fmt.Sprintf("runner/%d", rapid.IntRange(0, 9).Draw(t, "key"))}
				write.Deleted = rapid.Bool().Draw(t, "deleted")
				if !write.Deleted {
					write.Value = []byte{byte(len(log))}
				}
				command := WriteRunners{ExpectedRevision: leader.Revision(), Writes: []Write{write}}
				log = append(log, command.Encode())
				leader.Apply(uint64(len(log)), log[len(log)-1])
			case 1:
				for applied < len(log) && rapid.Bool().Draw(t, "on") {
					applied++
					lagging.Apply(uint64(applied), log[applied-1])
				}
			case 2:
				source := rapid.SampledFrom([]*Runners{leader, lagging}).Draw(t, "source")
				before := follower.Index()
				if batch := source.Since(before, 0); batch.To > before {
					follower.Apply(0, batch)
				}
				if follower.Index() < before {
					t.Fatal("the follower went back")
				}
			}
		}
		if batch := leader.Since(follower.Index(), 0); batch.To > follower.Index() {
			follower.Apply(0, batch)
		}
		want := leader.values("")
		got := Values{}
		for item := range follower.Items(0, "") {
			got = append(got, item)
		}
		if len(want) != len(got) {
			t.Fatalf("the follower holds %d items, want %d", len(got), len(want))
		}
		for i := range want {
			if want[i].Key != got[i].Key || !bytes.Equal(want[i].Value, got[i].Value) {
				t.Fatalf("item %s differs", want[i].Key)
			}
		}
	})
}
