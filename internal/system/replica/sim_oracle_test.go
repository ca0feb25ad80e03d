package replica

import (
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/storage"
)

// entryID is where an entry stands, and of which term it is.
type entryID struct{ index, term uint64 }

// syncedState is what a replica had on its disk at some time, its disk lost or not.
type syncedState struct {
	entries  map[entryID]bool
	snapshot uint64
}

// committedVersion is a version of the configuration that was put in force.
type committedVersion struct {
	committedAt time.Duration
	index       uint64
	request     simRequest
}

// appliedCommand is what all replicas must do alike at an index.
type appliedCommand struct{ command, result string }

// oracle is what an observer of the whole core knows.
type oracle struct {
	syncedStates    map[consensus.ReplicaID]*syncedState
	appliedCommands map[uint64]appliedCommand
	versions        []committedVersion
	appliedIndex    uint64 // highest index that any replica has applied
	leaders         map[uint64]consensus.ReplicaID
	members         map[consensus.ReplicaID]bool // of any membership
	voters          map[consensus.ReplicaID]bool
	proposed        consensus.Membership

	commands map[string]simRequest
	requests uint64
	salt     int
}

func newOracle() oracle {
	return oracle{syncedStates: map[consensus.ReplicaID]*syncedState{}, appliedCommands: map[uint64]appliedCommand{},
		leaders: map[uint64]consensus.ReplicaID{}, members: map[consensus.ReplicaID]bool{},
		voters: map[consensus.ReplicaID]bool{}, commands: map[string]simRequest{}}
}

func (t *oracle) recordMembership(membership consensus.Membership) {
	t.proposed = membership
	for _, m := range membership.Members {
		t.members[m.ID] = true
		t.voters[m.ID] = t.voters[m.ID] || m.Voter
	}
}

func (t *oracle) recordSynced(id consensus.ReplicaID, write *storage.Update) {
	state := t.syncedStates[id]
	if state == nil {
		state = &syncedState{entries: map[entryID]bool{}}
		t.syncedStates[id] = state
	}
	for _, e := range write.Entries {
		state.entries[entryID{e.Index, e.Term}] = true
	}
	if write.InstalledSnapshot != nil {
		state.snapshot = max(state.snapshot, write.InstalledSnapshot.Index)
	}
}

// checkBoot sees that what a process finds on its disk leads to what was agreed.
func (t *oracle) checkBoot(sim *simulation, process *simProcess, stored *consensus.PersistentState) {
	if version := t.versionAt(stored.Snapshot.Index); process.state.Version() != version {
		sim.fail("machine %d begins at version %d, where %d was agreed", process.machine.index, process.state.Version(), version)
	}
}

// versionAt is the version in force once the log is applied up to an index.
func (t *oracle) versionAt(index uint64) uint64 {
	committed, _ := t.committedAt(index)
	return committed.request.version
}

func (t *oracle) committedAt(index uint64) (l committedVersion, ok bool) {
	for i := len(t.versions) - 1; i >= 0; i-- {
		if t.versions[i].index <= index {
			return t.versions[i], true
		}
	}
	return committedVersion{}, false
}

// everCommitted tells whether a change ever was.
func (t *oracle) everCommitted(digest state.Digest) bool {
	return slices.ContainsFunc(t.versions, func(committed committedVersion) bool { return committed.request.digest == digest })
}
