package state

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cinderroad/internal/system/feed"
)

func still() time.Duration { return 0 }

func ignore() {}

func newTestConfiguration() *Configuration { return NewConfiguration(still, ignore) }

func digestOf(n int) Digest { return Digest{byte(n), byte(n >> 8), 1} }

func commitOf(based, version uint64, digest int, writes ...Write) []byte {
	command := CommitConfiguration{BaseVersion: based, Version: version, Digest: digestOf(digest), Writes: writes}
	return command.Encode()
}

func put(key, value string) Write { return Write{Key: key, Value: []byte(value)} }

func resultOf(t testing.TB, answer []byte) Result {
	t.Helper()
	result, err := DecodeResult(answer)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestCommits(t *testing.T) {
	steps := []struct {
		name    string
		command []byte
		want    Result
	}{
		{"nothing is in force, a base is named", commitOf(1, 2, 1), Result{OutcomeConflict, 0}},
		{"the first", commitOf(0, 3, 2, put("route/a", "1")), Result{OutcomeAccepted, 3}},
		{"the first again", commitOf(0, 3, 2, put("route/a", "1")), Result{OutcomeAlreadyAccepted, 3}},
		{"another first", commitOf(0, 4, 3, put("route/a", "2")), Result{OutcomeConflict, 3}},
		{"a version that is not above its base", commitOf(3, 3, 4), Result{OutcomeConflict, 3}},
		{"the next", commitOf(3, 9, 5, put("route/b", "3"), Write{Key: "route/a", Deleted: true}), Result{OutcomeAccepted, 9}},
		{"the first again, later", commitOf(0, 3, 2, put("route/a", "1")), Result{OutcomeAlreadyAccepted, 3}},
		{"a race on the base before", commitOf(3, 10, 6), Result{OutcomeConflict, 9}},
		{"no command", nil, Result{OutcomeMalformed, 0}},
		{"a command of another kind of partition", (&WriteRunners{}).Encode(), Result{OutcomeMalformed, 0}},
	}
	c := newTestConfiguration()
	for i, step := range steps {
		if got := resultOf(t, c.Apply(uint64(i+1), step.command)); got != step.want {
			t.Errorf("%s: %+v, want %+v", step.name, got, step.want)
		}
	}
	var got []string
	for key, value := range c.View().Values.WithPrefix("") {
		got = append(got, key+"="+string(value))
	}
	if want := []string{"route/b=3", "version=9"}; !reflect.DeepEqual(got, want) {
		t.Errorf("in force: %q, want %q", got, want)
	}
}

// verdictOf is how the change that commitOf(based, based+1, digest) makes stands.
func verdictOf(c *Configuration, based uint64, digest int) Verdict {
	return c.CheckRequest(based, digestOf(digest)).Verdict
}

// TestWhatIsRemembered holds that each change is recognized while it is remembered, and that one which is not any more is
// never said to be superseded, before and after a snapshot.
func TestWhatIsRemembered(t *testing.T) {
	c := newTestConfiguration()
	changes := 2*RetainedChanges + 3
	for i := range changes {
		want := Result{Outcome: OutcomeAccepted, Revision: uint64(i + 1)}
		if got := resultOf(t, c.Apply(uint64(i+1), commitOf(uint64(i), uint64(i+1), i))); got != want {
			t.Fatalf("change %d: %+v", i, got)
		}
	}
	copied, again := newTestConfiguration(), newTestConfiguration()
	for i := range RetainedChanges + 1 { // its ring begins in the middle
		again.Apply(uint64(i+1), commitOf(uint64(i), uint64(i+1), i))
	}
	for _, replica := range []*Configuration{copied, again} {
		if err := replica.Restore(uint64(changes), c.Snapshot()); err != nil {
			t.Fatal(err)
		}
	}
	for _, replica := range []*Configuration{c, copied, again} {
		for i := range changes {
			taken, other, late := VerdictAccepted, VerdictSuperseded, OutcomeAlreadyAccepted
			if i < changes-RetainedChanges {
				taken, other, late = VerdictForgotten, VerdictForgotten, OutcomeForgotten
			}
			if got := verdictOf(replica, uint64(i), i); got != taken {
				t.Fatalf("change %d of %d: verdict %d, want %d", i, changes, got, taken)
			}
			if got := verdictOf(replica, uint64(i), changes+1); got != other {
				t.Fatalf("another change on base %d of %d: verdict %d, want %d", i, changes, got, other)
			}
			result := resultOf(t, replica.Apply(uint64(changes+1), commitOf(uint64(i), uint64(i+1), i)))
			if result.Outcome != late {
				t.Fatalf("change %d of %d again: %+v", i, changes, result)
			}
		}
		replica.Apply(uint64(changes+2), commitOf(uint64(changes), uint64(changes+1), changes))
	}
	if !bytes.Equal(c.Snapshot(), copied.Snapshot()) || !bytes.Equal(c.Snapshot(), again.Snapshot()) {
		t.Error("a restored state goes on differently")
	}
}

func TestVerdicts(t *testing.T) {
	c := newTestConfiguration()
	if got := verdictOf(c, 1, 1); got != VerdictPremature {
		t.Errorf("a base that is named before there is any: verdict %d", got)
	}
	c.Apply(1, commitOf(0, 3, 1))
	c.Apply(2, commitOf(3, 7, 2))
	tests := []struct {
		name   string
		based  uint64
		digest int
		want   RequestStatus
	}{
		{"the first", 0, 1, RequestStatus{Verdict: VerdictAccepted, Version: 3}},
		{"another first", 0, 2, RequestStatus{Verdict: VerdictSuperseded, Version: 7}},
		{"a version that never was", 2, 1, RequestStatus{Verdict: VerdictSuperseded, Version: 7}},
		{"the second", 3, 2, RequestStatus{Verdict: VerdictAccepted, Version: 7}},
		{"the first's text on the second's base", 3, 1, RequestStatus{Verdict: VerdictSuperseded, Version: 7}},
		{"on what is in force", 7, 3, RequestStatus{Verdict: VerdictOpen, Version: 7, Base: c.View()}},
		{"a text that was accepted, on what is in force", 7, 2, RequestStatus{Verdict: VerdictOpen, Version: 7, Base: c.View()}},
		{"on what is not in force yet", 8, 3, RequestStatus{Verdict: VerdictPremature, Version: 7}},
	}
	for _, test := range tests {
		if got := c.CheckRequest(test.based, digestOf(test.digest)); !reflect.DeepEqual(got, test.want) {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}

// TestSnapshotsOfNoHistory holds that changes which can't have led to the version are not taken.
func TestSnapshotsOfNoHistory(t *testing.T) {
	snapshot := func(version uint64, changes ...AcceptedChange) []byte {
		c := newTestConfiguration()
		c.version, c.accepted = version, changes
		return c.Snapshot()
	}
	for name, data := range map[string][]byte{
		"a version without a change":  snapshot(3),
		"another version":             snapshot(4, AcceptedChange{BaseVersion: 0, Version: 3}),
		"a gap":                       snapshot(9, AcceptedChange{BaseVersion: 0, Version: 3}, AcceptedChange{BaseVersion: 4, Version: 9}),
		"a change that goes back":     snapshot(2, AcceptedChange{BaseVersion: 3, Version: 2}),
		"a change that makes nothing": snapshot(2, AcceptedChange{BaseVersion: 2, Version: 2}),
	} {
		if newTestConfiguration().Restore(1, data) == nil {
			t.Errorf("%s is taken", name)
		}
	}
}

func TestEvacuations(t *testing.T) {
	order := func(zone string, on bool, seen uint64) []byte {
		command := SetEvacuation{Zone: zone, Evacuated: on, ExpectedRevision: seen}
		return command.Encode()
	}
	steps := []struct {
		name    string
		command []byte
		want    Result
	}{
		{"a zone is emptied", order("a", true, 0), Result{OutcomeAccepted, 1}},
		{"the same order comes late", order("a", true, 0), Result{OutcomeConflict, 1}},
		{"it is emptied already", order("a", true, 1), Result{OutcomeAlreadyAccepted, 3}},
		{"an order from before that comes late", order("a", false, 1), Result{OutcomeConflict, 3}},
		{"another zone", order("b", true, 3), Result{OutcomeAccepted, 5}},
		{"one is taken back", order("a", false, 5), Result{OutcomeAccepted, 6}},
		{"an order from before comes late", order("a", true, 5), Result{OutcomeConflict, 6}},
		{"it is taken back already", order("a", false, 6), Result{OutcomeAlreadyAccepted, 8}},
		{"an order comes late that was sent before that", order("a", true, 6), Result{OutcomeConflict, 8}},
	}
	c := newTestConfiguration()
	for i, step := range steps {
		if got := resultOf(t, c.Apply(uint64(i+1), step.command)); got != step.want {
			t.Errorf("%s: %+v, want %+v", step.name, got, step.want)
		}
	}
	if zones := c.EvacuatedZones(); !reflect.DeepEqual(zones, []string{"b"}) {
		t.Errorf("evacuated: %q", zones)
	}
	for zone, want := range map[string]Evacuation{"a": {Revision: 8, LastOrder: 8}, "b": {Evacuated: true, Revision: 8, LastOrder: 5},
		"c": {Revision: 8}} {
		if got := c.Evacuation(zone); got != want {
			t.Errorf("zone %s: %+v, want %+v", zone, got, want)
		}
	}
	restored := newTestConfiguration()
	if err := restored.Restore(9, c.Snapshot()); err != nil {
		t.Fatal(err)
	}
	for _, zone := range []string{"a", "b", "c"} {
		if before, after := c.Evacuation(zone), restored.Evacuation(zone); after.Revision != 8 || after.LastOrder < before.LastOrder {
			t.Errorf("zone %s after a snapshot: %+v, before %+v", zone, after, before)
		}
	}
}

func TestRunnersAreFenced(t *testing.T) {
	write := func(seen uint64, writes ...Write) []byte {
		command := WriteRunners{ExpectedRevision: seen, Writes: writes}
		return command.Encode()
	}
	s := NewRunners(1, still, ignore)
	steps := []struct {
		command []byte
		want    Result
	}{
		{write(0, put("runner/1", "serving")), Result{OutcomeAccepted, 1}},
		{write(1, put("runner/1", "draining")), Result{OutcomeAccepted, 2}},
		{write(1, put("runner/1", "serving")), Result{OutcomeConflict, 2}}, // was under way while another machine wrote
		{write(2, Write{Key: "runner/1", Deleted: true}, put("runner/2", "serving")), Result{OutcomeAccepted, 4}},
		{commitOf(0, 1, 1), Result{OutcomeMalformed, 0}},
	}
	for i, step := range steps {
		if got := resultOf(t, s.Apply(uint64(i+1), step.command)); got != step.want {
			t.Errorf("step %d: %+v, want %+v", i+1, got, step.want)
		}
	}
	batch := s.Since(2, 0)
	if len(batch.Items) != 2 || batch.To != 4 || batch.Snapshot {
		t.Errorf("changes since 2: %+v", batch)
	}
}

// replicaPair is two replicas that are driven alike, one of which is restored from snapshots now and then.
type replicaPair struct {
	first, second *Configuration
}

func (p *replicaPair) apply(t *rapid.T, index uint64, command []byte) Result {
	one, other := p.first.Apply(index, command), p.second.Apply(index, command)
	if !bytes.Equal(one, other) {
		t.Fatalf("replicas answer differently: %v and %v", one, other)
	}
	result, err := DecodeResult(one)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// TestStormsOfChanges sends drawn changes, resends and evacuations: never two of one base are taken, a change that was
// taken is known for good, and replicas stay alike.
func TestStormsOfChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pair := replicaPair{newTestConfiguration(), newTestConfiguration()}
		takenOn := map[uint64]int{}    // digest of the change that was taken on a base
		takenAs := map[int]uint64{}    // version of a digest
		sent := map[int][]byte{}       // commands by digest
		var last, index, seen uint64   // version in force, log, evacuations
		evacuated := map[string]bool{} // model
		steps := rapid.IntRange(1, 120).Draw(t, "steps")
		for range steps {
			index += uint64(rapid.IntRange(1, 3).Draw(t, "gap"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // a new change
				based := last
				if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
					based = rapid.Uint64Range(0, last).Draw(t, "based")
				}
				version := based + rapid.Uint64Range(0, 4).Draw(t, "step")
				digest := len(sent) + 1
				key := fmt.Sprintf("route/%d", rapid.IntRange(0, 5).Draw(t, "route"))
				write := Write{Key: key, Value: []byte(fmt.Sprint(digest))}
				if rapid.Bool().Draw(t, "delete") {
					write = Write{Key: key, Deleted: true}
				}
				sent[digest] = commitOf(based, version, digest, write)
				result := pair.apply(t, index, sent[digest])
				want := based == last && version > last
				if (result.Outcome == OutcomeAccepted) != want {
					t.Fatalf("change on %d as %d while %d is in force: %+v", based, version, last, result)
				}
				if want {
					if other, twice := takenOn[based]; twice {
						t.Fatalf("changes %d and %d were both taken on %d", other, digest, based)
					}
					takenOn[based], takenAs[digest], last = digest, version, version
				}
			case 1: // one again
				if len(sent) == 0 {
					continue
				}
				digest := rapid.IntRange(1, len(sent)).Draw(t, "again")
				result := pair.apply(t, index, sent[digest])
				if version, taken := takenAs[digest]; taken && result != (Result{Outcome: OutcomeAlreadyAccepted, Revision: version}) {
					t.Fatalf("change %d, taken as %d, sent again: %+v", digest, version, result)
				} else if !taken && result.Outcome == OutcomeAccepted {
					// it was refused for its base before, which can't have come back
					t.Fatalf("change %d was refused and taken later", digest)
				}
			case 2: // an evacuation
				zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
				on := rapid.Bool().Draw(t, "on")
				late := rapid.IntRange(0, 3).Draw(t, "late") == 0 && seen > 0
				command := SetEvacuation{Zone: zone, Evacuated: on, ExpectedRevision: seen}
				if late {
					command.ExpectedRevision--
				}
				result := pair.apply(t, index, command.Encode())
				if late != (result.Outcome == OutcomeConflict) {
					t.Fatalf("evacuation: %+v, late: %t", result, late)
				}
				if !late {
					if (result.Outcome == OutcomeAccepted) != (evacuated[zone] != on) {
						t.Fatalf("evacuation of %s, %t before, to %t: %+v", zone, evacuated[zone], on, result)
					}
					evacuated[zone], seen = on, index
				}
			case 3: // a replica starts from a snapshot
				restored := newTestConfiguration()
				if err := restored.Restore(index, pair.first.Snapshot()); err != nil {
					t.Fatal(err)
				}
				pair.second = restored
			}
			if version := pair.second.Version(); version != last {
				t.Fatalf("version %d is in force, want %d", version, last)
			}
			for zone, on := range evacuated {
				if got := pair.second.Evacuation(zone).Evacuated; got != on {
					t.Fatalf("zone %s is evacuated: %t", zone, got)
				}
			}
			if !bytes.Equal(pair.first.Snapshot(), pair.second.Snapshot()) {
				t.Fatal("replicas differ")
			}
		}
	})
}

// TestFollowersSeeTheSame has a follower catch up by deltas and snapshots, from a replica that lags at times.
func TestFollowersSeeTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, lagging := NewRunners(1, still, ignore), NewRunners(1, still, ignore)
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

func TestValuesAreCopied(t *testing.T) {
	command := commitOf(0, 1, 1, put("route/a", "value"))
	c := newTestConfiguration()
	c.Apply(1, command)
	clear(command)
	for _, value := range c.View().Values.WithPrefix("route/") {
		if string(value) != "value" {
			t.Errorf("the state shares the command's bytes: %q", value)
		}
	}
}
