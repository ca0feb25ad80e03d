package state

import (
	"bytes"
	"reflect"
	"testing"
)

// verdictOf returns the verdict on the change that encodeCommit encodes.
func verdictOf(c *Configuration, baseVersion uint64, digest int) Verdict {
	return c.CheckRequest(baseVersion, testDigest(digest)).Verdict
}

// TestRetainedChanges checks that each change is recognized while it is retained, and that a change that no longer is
// gets VerdictForgotten and never VerdictSuperseded, before and after a snapshot.
func TestRetainedChanges(t *testing.T) {
	configuration := newTestConfiguration()
	changes := 2*RetainedChanges + 3
	for i := range changes {
		want := Result{Outcome: OutcomeAccepted, Revision: uint64(i + 1)}
		if got := decodeResult(t, configuration.Apply(uint64(i+1), encodeCommit(uint64(i), uint64(i+1), i))); got != want {
			t.Fatalf("change %d: %+v", i, got)
		}
	}
	restored, restoredOver := newTestConfiguration(), newTestConfiguration()
	for i := range RetainedChanges + 1 { // its ring begins in the middle
		restoredOver.Apply(uint64(i+1), encodeCommit(uint64(i), uint64(i+1), i))
	}
	for _, replica := range []*Configuration{restored, restoredOver} {
		if err := replica.Restore(uint64(changes), configuration.Snapshot()); err != nil {
			t.Fatal(err)
		}
	}
	for _, replica := range []*Configuration{configuration, restored, restoredOver} {
		for i := range changes {
			accepted := VerdictAccepted
			other := VerdictSuperseded
			late := OutcomeAlreadyAccepted
			if i < changes-RetainedChanges {
				accepted = VerdictForgotten
				other = VerdictForgotten
				late = OutcomeForgotten
			}
			if got := verdictOf(replica, uint64(i), i); got != accepted {
				t.Fatalf("change %d of %d: verdict %d, want %d", i, changes, got, accepted)
			}
			if got := verdictOf(replica, uint64(i), changes+1); got != other {
				t.Fatalf("another change on base %d of %d: verdict %d, want %d", i, changes, got, other)
			}
			result := decodeResult(t, replica.Apply(uint64(changes+1), encodeCommit(uint64(i), uint64(i+1), i)))
			if result.Outcome != late {
				t.Fatalf("change %d of %d again: %+v", i, changes, result)
			}
		}
		replica.Apply(uint64(changes+2), encodeCommit(uint64(changes), uint64(changes+1), changes))
	}
	if !bytes.Equal(configuration.Snapshot(), restored.Snapshot()) || !bytes.Equal(configuration.Snapshot(), restoredOver.Snapshot()) {
		t.Error("a restored state goes on differently")
	}
}

// TestCheckRequest checks the verdict for every relation of a base version to the history.
func TestCheckRequest(t *testing.T) {
	configuration := newTestConfiguration()
	if got := verdictOf(configuration, 1, 1); got != VerdictPremature {
		t.Errorf("a base that is named before there is any: verdict %d", got)
	}
	configuration.Apply(1, encodeCommit(0, 3, 1))
	configuration.Apply(2, encodeCommit(3, 7, 2))
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
		{"on what is in force", 7, 3, RequestStatus{Verdict: VerdictOpen, Version: 7, Base: configuration.View()}},
		{
			"a text that was accepted, on what is in force", 7, 2,
			RequestStatus{Verdict: VerdictOpen, Version: 7, Base: configuration.View()},
		},
		{"on what is not in force yet", 8, 3, RequestStatus{Verdict: VerdictPremature, Version: 7}},
	}
	for _, test := range tests {
		if got := configuration.CheckRequest(test.based, testDigest(test.digest)); !reflect.DeepEqual(got, test.want) {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}

// TestRestoreRejectsInvalidHistory checks that changes that cannot have led to the version are rejected.
func TestRestoreRejectsInvalidHistory(t *testing.T) {
	snapshot := func(version uint64, changes ...AcceptedChange) []byte {
		c := newTestConfiguration()
		c.version = version
		c.accepted = changes
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
			t.Errorf("%s is accepted", name)
		}
	}
}

// BenchmarkRestore restores a snapshot with as many retained changes as there may be.
func BenchmarkRestore(b *testing.B) {
	configuration := newTestConfiguration()
	for i := range RetainedChanges {
		configuration.Apply(uint64(i+1), encodeCommit(uint64(i), uint64(i+1), i))
	}
	snapshot := configuration.Snapshot()
	restored := newTestConfiguration()
	b.ReportAllocs()
	for b.Loop() {
		if err := restored.Restore(0, snapshot); err != nil {
			b.Fatal(err)
		}
	}
}
