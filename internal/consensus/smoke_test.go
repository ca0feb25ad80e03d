package consensus

import (
	"testing"
	"time"
)

func TestGroupOfThreeAgrees(t *testing.T) {
	founders := Membership{Members: []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}}
	machines := map[ReplicaID]*Machine{}
	for id := ReplicaID(1); id <= 3; id++ {
		machines[id] = New(0, Options{ID: id, Heartbeat: 150 * time.Millisecond, Election: 700 * time.Millisecond,
			Seed: 1, MaxAppendBytes: 1 << 16, MaxInflight: 8, SnapshotAfter: 100},
			Stored{Snapshot: Snapshot{Membership: founders}})
	}
	applied := map[ReplicaID]int{}
	proposed := false
	for now := time.Duration(0); now < 5*time.Second; now += time.Millisecond {
		for id := ReplicaID(1); id <= 3; id++ {
			m := machines[id]
			m.Tick(now)
			if m.Status().Role == Leader && !proposed {
				if _, _, err := m.Propose(now, []byte("x")); err != nil {
					t.Fatal(err)
				}
				proposed = true
			}
			for r := m.Ready(); !r.Empty(); r = m.Ready() {
				m.Persisted(r)
				for _, msg := range append(r.Early, r.Messages...) {
					machines[msg.To].Step(now, msg)
				}
				for _, entry := range r.Committed {
					applied[id] += len(entry.Data)
				}
			}
		}
	}
	for id, m := range machines {
		if applied[id] != 1 {
			t.Errorf("replica %d applied %d commands: %+v", id, applied[id], m.Status())
		}
	}
}
