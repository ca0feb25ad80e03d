package consensus

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
	"time"
)

// entryID identifies an entry.
type entryID struct{ index, term uint64 }

// entryContent is what all logs must agree on for an entryID.
type entryContent struct {
	previousTerm uint64
	kind         EntryKind
	data         []byte
}

// observations is what an observer of the whole cluster knows.
type observations struct {
	leadersByTerm      map[uint64]*simulatedProcess
	entriesByID        map[entryID]entryContent // all that were ever in a log
	committed          []Entry                  // in order, from index 1
	commitTerms        []uint64                 // term of the leader that committed each entry
	statesByIndex      map[uint64]uint64        // of the state machine, by the index applied last
	syncedLogs         map[ReplicaID]*syncedLog // including those of lost disks
	pendingReads       map[uint64]int           // by token: the number of entries committed when the read was requested
	completedReads     int
	membership         Membership // the committed one
	proposedMembership Membership // the one proposed last
}

// syncedLog is what a replica's disk has held at any time.
type syncedLog struct {
	entries  map[entryID]bool
	snapshot uint64
}

func newObservations() observations {
	return observations{
		leadersByTerm: map[uint64]*simulatedProcess{},
		entriesByID:   map[entryID]entryContent{},
		statesByIndex: map[uint64]uint64{},
		syncedLogs:    map[ReplicaID]*syncedLog{},
		pendingReads:  map[uint64]int{},
	}
}

func (o *observations) recordSync(id ReplicaID, ready Ready) {
	log := o.syncedLogs[id]
	if log == nil {
		log = &syncedLog{entries: map[entryID]bool{}}
		o.syncedLogs[id] = log
	}
	for _, entry := range ready.Entries {
		log.entries[entryID{entry.Index, entry.Term}] = true
	}
	if ready.Snapshot != nil {
		log.snapshot = max(log.snapshot, ready.Snapshot.Index)
	}
}

func nextState(state uint64, entry Entry) uint64 {
	hash := fnv.New64a()
	hash.Write(binary.BigEndian.AppendUint64(nil, state))
	hash.Write(EncodeEntry(entry))
	return hash.Sum64()
}

func decodeState(data []byte) uint64 {
	if len(data) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(data)
}

// check checks the invariants that hold after each step.
func (sim *simulation) check() {
	for _, process := range sim.processes() {
		sim.checkCommit(process)
	}
	for _, process := range sim.processes() {
		if process.node.role == Leader {
			sim.checkLeader(process)
		}
		sim.checkLease(process)
	}
}

// checkCommit checks that committed entries never change and that a majority had synced them before.
func (sim *simulation) checkCommit(process *simulatedProcess) {
	log := &process.node.log
	if log.commit < process.commit {
		sim.fail("replica %d: commit index decreased from %d to %d", process.id, process.commit, log.commit)
	}
	for index := max(process.commit, log.offset) + 1; index <= log.commit; index++ {
		entry := log.entries[index-log.offset-1]
		if index <= uint64(len(sim.observed.committed)) {
			if !sameEntry(sim.observed.committed[index-1], entry) {
				sim.fail("replica %d: committed entry %d differs: %v, was %v", process.id, index, entry, sim.observed.committed[index-1])
			}
			continue
		}
		sim.checkNewCommit(process, entry)
	}
	process.commit = log.commit
}

func sameEntry(a, b Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && a.Kind == b.Kind && bytes.Equal(a.Data, b.Data)
}

func (sim *simulation) checkNewCommit(process *simulatedProcess, entry Entry) {
	if entry.Index != uint64(len(sim.observed.committed))+1 {
		sim.fail("replica %d commits %d, the last known one is %d", process.id, entry.Index, len(sim.observed.committed))
		return
	}
	if process.node.role == Leader || process.node.role == Follower && process.node.leaderID == 0 { // or has just stepped down
		sim.checkMajority(process, entry)
	} else {
		sim.fail("replica %d commits %d first, and does not lead", process.id, entry.Index)
	}
	sim.observed.committed = append(sim.observed.committed, entry)
	sim.observed.commitTerms = append(sim.observed.commitTerms, process.node.term)
	if entry.Kind == EntryMembership {
		sim.observed.membership, _ = DecodeMembership(entry.Data)
	}
}

// checkMajority checks that a majority of the voters has synced a committed entry.
func (sim *simulation) checkMajority(process *simulatedProcess, entry Entry) {
	have := map[ReplicaID]bool{}
	for _, member := range process.node.membership().Members {
		log := sim.observed.syncedLogs[member.ID]
		have[member.ID] = log != nil && (log.entries[entryID{entry.Index, entry.Term}] || log.snapshot >= entry.Index)
	}
	for _, voters := range voterSets(process.node.membership()) {
		synced := 0
		for _, id := range voters {
			if have[id] {
				synced++
			}
		}
		if synced <= len(voters)/2 {
			sim.fail("replica %d commits %d, which %d of the voters %v have synced", process.id, entry.Index, synced, voters)
		}
	}
}

// voterSets returns the sets of voters whose majorities have to agree: two for a joint membership.
func voterSets(membership Membership) (sets [][]ReplicaID) {
	var voters, outgoing []ReplicaID
	for _, member := range membership.Members {
		if member.Voter {
			voters = append(voters, member.ID)
		}
		if member.Outgoing {
			outgoing = append(outgoing, member.ID)
		}
	}
	sets = append(sets, voters)
	if len(outgoing) > 0 {
		sets = append(sets, outgoing)
	}
	return sets
}

// checkLeader checks that a term has one leader, that the leader holds all committed entries, and that at most one
// membership change is in progress.
func (sim *simulation) checkLeader(process *simulatedProcess) {
	node := process.node
	first := sim.observed.leadersByTerm[node.term]
	if first != nil && first != process {
		sim.fail("replicas %d and %d both led term %d (equal IDs: before and after a restart)", first.id, process.id, node.term)
	}
	if node.persistedTerm != node.term {
		sim.fail("replica %d leads term %d, which is not on its disk", process.id, node.term)
	}
	if first == nil {
		sim.logf("%d leads term %d", process.id, node.term)
		sim.observed.leadersByTerm[node.term] = process
		for i, entry := range sim.observed.committed {
			// Votes that were delayed for long may still elect a leader of a past term.
			if sim.observed.commitTerms[i] < node.term && entry.Index > node.log.offset && !node.log.matchTerm(entry.Index, entry.Term) {
				sim.fail("replica %d leads term %d without committed entry %v", process.id, node.term, entry)
			}
		}
	}
	changes := 0
	for _, entry := range node.log.memberships {
		if entry.index > uint64(len(sim.observed.committed)) {
			changes++
		}
	}
	if changes > 1 {
		sim.fail("replica %d leads with %d membership changes in progress", process.id, changes)
	}
}

// checkLease checks that no other replica leads a later term while a lease lasts.
func (sim *simulation) checkLease(process *simulatedProcess) {
	until := process.node.LeaseExpiry()
	if until <= process.clock() {
		return
	}
	for _, other := range sim.processes() {
		if other == process || other.node.role != Leader {
			continue
		}
		if other.node.term > process.node.term || other.node.LeaseExpiry() > other.clock() {
			sim.fail("replica %d leads term %d while %d, of term %d, has a lease for %v", other.id, other.node.term, process.id,
				process.node.term, until-process.clock())
		}
	}
}

// checkReady checks that logs which agree in an entry agree in the preceding one.
func (sim *simulation) checkReady(process *simulatedProcess, ready Ready) {
	for _, entry := range ready.Entries {
		before, _ := process.node.log.term(entry.Index - 1)
		id := entryID{entry.Index, entry.Term}
		have, found := sim.observed.entriesByID[id]
		if !found {
			sim.observed.entriesByID[id] = entryContent{before, entry.Kind, entry.Data}
			continue
		}
		if have.previousTerm != before || have.kind != entry.Kind || !bytes.Equal(have.data, entry.Data) {
			sim.fail("replica %d: entry %v after term %d differs from another log's", process.id, entry, before)
		}
	}
	if ready.MustSync != (ready.Snapshot != nil || len(ready.Entries) > 0 || ready.HardState != nil && ready.sequence > 0) {
		sim.fail("replica %d: MustSync is %v of %+v", process.id, ready.MustSync, ready)
	}
}

// checkState checks that all state machines go through the same states.
func (sim *simulation) checkState(process *simulatedProcess) {
	have, found := sim.observed.statesByIndex[process.applied]
	if found && have != process.state {
		sim.fail("replica %d is in another state at %d", process.id, process.applied)
	}
	sim.observed.statesByIndex[process.applied] = process.state
}

// checkSent checks that replicas send nothing before they are members, and that only voters start elections.
func (sim *simulation) checkSent(process *simulatedProcess, msg Message) {
	member := process.node.membership().has(process.id)
	switch msg.Kind {
	case MessagePreVote, MessageVote:
		if !sim.knownAsVoter(process) {
			sim.fail("replica %d starts an election and is no voter", process.id)
		}
	case MessagePreVoteReply, MessageVoteReply:
		if !member && !msg.Reject && !process.hasMembership {
			sim.fail("replica %d votes and is no member", process.id)
		}
	default:
		if !process.hasMembership {
			sim.fail("replica %d sends message kind %d before it is a member", process.id, msg.Kind)
		}
	}
}

// knownAsVoter reports whether a replica votes by any membership in its log, or by the committed one.
func (sim *simulation) knownAsVoter(process *simulatedProcess) bool {
	for _, entry := range process.node.log.memberships {
		if entry.membership.hasVote(process.id) {
			return true
		}
	}
	return sim.observed.membership.hasVote(process.id)
}

// checkRead checks that a read shows everything that was committed anywhere when it was requested.
func (sim *simulation) checkRead(process *simulatedProcess, read ReadState) {
	committed, found := sim.observed.pendingReads[read.Token]
	if !found {
		sim.fail("replica %d completes read %d twice, or one that nobody requested", process.id, read.Token)
	}
	delete(sim.observed.pendingReads, read.Token)
	if read.Err != nil {
		return
	}
	sim.observed.completedReads++
	if read.Index < uint64(committed) {
		sim.fail("replica %d reads at %d what was requested at %d", process.id, read.Index, committed)
	}
}

// checkRecovered checks that the cluster is complete and makes progress some time after the last fault.
func (sim *simulation) checkRecovered() {
	if sim.failure != "" {
		return
	}
	if !sim.membershipRestored() {
		sim.fail("the membership is not complete again: %v", sim.observed.membership)
	}
	for _, process := range sim.processes() {
		if process.applied+1000 < uint64(len(sim.observed.committed)) {
			sim.fail("replica %d is at %d of %d", process.id, process.applied, len(sim.observed.committed))
		}
	}
	before := len(sim.observed.committed)
	sim.run(2 * time.Second)
	if len(sim.observed.committed) == before {
		sim.fail("nothing is committed any more")
	}
}
