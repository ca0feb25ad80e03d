package replica

import (
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/storage"
)

// entryID identifies a log entry by index and term.
type entryID struct{ index, term uint64 }

// syncedState is what a replica ever had on its disk, even if the disk was lost since.
type syncedState struct {
	entries  map[entryID]bool
	snapshot uint64
}

// committedVersion is a version of the configuration that was committed.
type committedVersion struct {
	committedAt time.Duration
	index       uint64
	request     simRequest
}

// appliedCommand is the command at an index and its result, which must be the same on all replicas.
type appliedCommand struct{ command, result string }

// oracle knows the whole history of the simulated cluster; the checks compare replicas with it.
type oracle struct {
	syncedStates    map[consensus.ReplicaID]*syncedState
	appliedCommands map[uint64]appliedCommand
	versions        []committedVersion
	appliedIndex    uint64 // highest index that any replica has applied
	leaders         map[uint64]consensus.ReplicaID
	members         map[consensus.ReplicaID]bool // ever, of any membership
	voters          map[consensus.ReplicaID]bool
	proposed        consensus.Membership

	commands map[string]simRequest
	requests uint64 // drawn so far; makes each digest unique
	salt     int    // digests that injectedFaults.changesDigests has changed so far
}

// newOracle returns an oracle without history.
func newOracle() oracle {
	return oracle{
		syncedStates:    map[consensus.ReplicaID]*syncedState{},
		appliedCommands: map[uint64]appliedCommand{},
		leaders:         map[uint64]consensus.ReplicaID{},
		members:         map[consensus.ReplicaID]bool{},
		voters:          map[consensus.ReplicaID]bool{},
		commands:        map[string]simRequest{},
	}
}

// recordMembership notes a membership that a leader proposed.
func (o *oracle) recordMembership(membership consensus.Membership) {
	o.proposed = membership
	for _, m := range membership.Members {
		o.members[m.ID] = true
		o.voters[m.ID] = o.voters[m.ID] || m.Voter
	}
}

// recordSynced notes a durable write of a replica.
func (o *oracle) recordSynced(id consensus.ReplicaID, write *storage.Update) {
	state := o.syncedStates[id]
	if state == nil {
		state = &syncedState{entries: map[entryID]bool{}}
		o.syncedStates[id] = state
	}
	for _, e := range write.Entries {
		state.entries[entryID{e.Index, e.Term}] = true
	}
	if write.InstalledSnapshot != nil {
		state.snapshot = max(state.snapshot, write.InstalledSnapshot.Index)
	}
}

// checkBoot checks that the state found on a disk is one that was committed.
func (o *oracle) checkBoot(sim *simulation, process *simProcess, stored *consensus.PersistentState) {
	if version := o.versionAt(stored.Snapshot.Index); process.state.Version() != version {
		sim.fail("machine %d begins at version %d, where %d was committed", process.machine.index, process.state.Version(), version)
	}
}

// versionAt returns the version of the configuration once the log is applied up to an index.
func (o *oracle) versionAt(index uint64) uint64 {
	committed, _ := o.committedAt(index)
	return committed.request.version
}

// committedAt returns the last version committed up to an index.
func (o *oracle) committedAt(index uint64) (l committedVersion, ok bool) {
	for i := len(o.versions) - 1; i >= 0; i-- {
		if o.versions[i].index <= index {
			return o.versions[i], true
		}
	}
	return committedVersion{}, false
}

// everCommitted reports whether a change was ever committed.
func (o *oracle) everCommitted(digest state.Digest) bool {
	return slices.ContainsFunc(o.versions, func(committed committedVersion) bool { return committed.request.digest == digest })
}
