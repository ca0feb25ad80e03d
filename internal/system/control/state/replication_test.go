package state

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// replicaPair is two replicas that apply the same commands; the second is restored from snapshots now and then. The other
// fields are the model that they are compared with.
type replicaPair struct {
	first, second *Configuration

	index           uint64          // of the log
	version         uint64          // of the current configuration
	revision        uint64          // log index of the last accepted order about a zone
	acceptedOn      map[uint64]int  // by base version, the digest of the accepted change
	acceptedVersion map[int]uint64  // by digest, the version of an accepted change
	sent            map[int][]byte  // commands by digest, which are numbered from 1
	evacuated       map[string]bool // by zone
}

// newReplicaPair returns two empty replicas.
func newReplicaPair() *replicaPair {
	return &replicaPair{
		first:           newTestConfiguration(),
		second:          newTestConfiguration(),
		acceptedOn:      map[uint64]int{},
		acceptedVersion: map[int]uint64{},
		sent:            map[int][]byte{},
		evacuated:       map[string]bool{},
	}
}

// apply applies a command at the current index to both replicas, which must return the same result.
func (p *replicaPair) apply(t *rapid.T, command []byte) Result {
	t.Helper()
	firstResult := p.first.Apply(p.index, command)
	secondResult := p.second.Apply(p.index, command)
	if !bytes.Equal(firstResult, secondResult) {
		t.Fatalf("replicas return different results: %v and %v", firstResult, secondResult)
	}
	result, err := DecodeResult(firstResult)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// sendChange sends a new change, which is accepted if it builds on the current version and no other change did.
func (p *replicaPair) sendChange(t *rapid.T) {
	t.Helper()
	base := p.version
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		base = rapid.Uint64Range(0, p.version).Draw(t, "base")
	}
	version := base + rapid.Uint64Range(0, 4).Draw(t, "step")
	digest := len(p.sent) + 1
	key := fmt.Sprintf("route/%d", rapid.IntRange(0, 5).Draw(t, "route"))
	write := Write{Key: key, Value: []byte(fmt.Sprint(digest))}
	if rapid.Bool().Draw(t, "delete") {
		write = Write{Key: key, Deleted: true}
	}
	p.sent[digest] = encodeCommit(base, version, digest, write)
	result := p.apply(t, p.sent[digest])
	want := base == p.version && version > p.version
	if (result.Outcome == OutcomeAccepted) != want {
		t.Fatalf("change on %d as %d while %d is current: %+v", base, version, p.version, result)
	}
	if !want {
		return
	}
	if other, twice := p.acceptedOn[base]; twice {
		t.Fatalf("changes %d and %d were both accepted on %d", other, digest, base)
	}
	p.acceptedOn[base] = digest
	p.acceptedVersion[digest] = version
	p.version = version
}

// repeatChange sends an earlier change again, which is recognized if it was accepted, and else rejected.
func (p *replicaPair) repeatChange(t *rapid.T) {
	t.Helper()
	if len(p.sent) == 0 {
		return
	}
	digest := rapid.IntRange(1, len(p.sent)).Draw(t, "again")
	result := p.apply(t, p.sent[digest])
	version, accepted := p.acceptedVersion[digest]
	if accepted && result != (Result{Outcome: OutcomeAlreadyAccepted, Revision: version}) {
		t.Fatalf("change %d, accepted as %d, sent again: %+v", digest, version, result)
	}
	// It was rejected for its base version before, which cannot become current again.
	if !accepted && result.Outcome == OutcomeAccepted {
		t.Fatalf("change %d was rejected and accepted later", digest)
	}
}

// orderEvacuation sends an order about a zone, at times one that was based on an older revision.
func (p *replicaPair) orderEvacuation(t *rapid.T) {
	t.Helper()
	zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
	evacuate := rapid.Bool().Draw(t, "evacuate")
	late := rapid.IntRange(0, 3).Draw(t, "late") == 0 && p.revision > 0
	command := SetEvacuation{Zone: zone, Evacuated: evacuate, ExpectedRevision: p.revision}
	if late {
		command.ExpectedRevision--
	}
	result := p.apply(t, command.Encode())
	if late != (result.Outcome == OutcomeConflict) {
		t.Fatalf("evacuation: %+v, late: %t", result, late)
	}
	if late {
		return
	}
	if (result.Outcome == OutcomeAccepted) != (p.evacuated[zone] != evacuate) {
		t.Fatalf("evacuation of %s, %t before, to %t: %+v", zone, p.evacuated[zone], evacuate, result)
	}
	p.evacuated[zone] = evacuate
	p.revision = p.index
}

// restoreSecond replaces the second replica by one that starts from a snapshot of the first.
func (p *replicaPair) restoreSecond(t *rapid.T) {
	t.Helper()
	restored := newTestConfiguration()
	if err := restored.Restore(p.index, p.first.Snapshot()); err != nil {
		t.Fatal(err)
	}
	p.second = restored
}

// check compares the replicas with the model and with each other.
func (p *replicaPair) check(t *rapid.T) {
	t.Helper()
	if version := p.second.Version(); version != p.version {
		t.Fatalf("version %d is current, want %d", version, p.version)
	}
	for zone, want := range p.evacuated {
		if got := p.second.Evacuation(zone).Evacuated; got != want {
			t.Fatalf("zone %s is evacuated: %t", zone, got)
		}
	}
	if !bytes.Equal(p.first.Snapshot(), p.second.Snapshot()) {
		t.Fatal("replicas differ")
	}
}

// TestReplicasAgree applies drawn changes, repeated changes and evacuations: no two changes are accepted on one base
// version, an accepted change is recognized from then on, and the replicas stay equal.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pair := newReplicaPair()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			pair.index += uint64(rapid.IntRange(1, 3).Draw(t, "gap"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				pair.sendChange(t)
			case 1:
				pair.repeatChange(t)
			case 2:
				pair.orderEvacuation(t)
			case 3:
				pair.restoreSecond(t)
			}
			pair.check(t)
		}
	})
}
