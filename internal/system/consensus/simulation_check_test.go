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
	statesByIndex      map[uint64]uint64        // of the state machine
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
	return observations{leadersByTerm: map[uint64]*simulatedProcess{}, entriesByID: map[entryID]entryContent{}, statesByIndex: map[uint64]uint64{},
		syncedLogs: map[ReplicaID]*syncedLog{}, pendingReads: map[uint64]int{}}
}

func (t *observations) recordSync(id ReplicaID, r Ready) {
	log := t.syncedLogs[id]
	if log == nil {
		log = &syncedLog{entries: map[entryID]bool{}}
		t.syncedLogs[id] = log
	}
	for _, entry := range r.Entries {
		log.entries[entryID{entry.Index, entry.Term}] = true
	}
	if r.Snapshot != nil {
		log.snapshot = max(log.snapshot, r.Snapshot.Index)
	}
}

func nextState(state uint64, entry Entry) uint64 {
	h := fnv.New64a()
	h.Write(binary.BigEndian.AppendUint64(nil, state))
	h.Write(EncodeEntry(entry))
	return h.Sum64()
}

func decodeState(data []byte) uint64 {
	if len(data) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(data)
}

// check checks the invariants that hold after each step.
func (sim *simulation) check() {
	for _, p := range sim.processes() {
		sim.checkCommit(p)
	}
	for _, p := range sim.processes() {
		if p.node.role == Leader {
			sim.checkLeader(p)
		}
		sim.checkLease(p)
	}
}

// checkCommit checks that committed entries never change and that a majority had synced them before.
func (sim *simulation) checkCommit(p *simulatedProcess) {
	log := &p.node.log
	if log.commit < p.commit {
		sim.fail("replica %d: commit went back from %d to %d", p.id, p.commit, log.commit)
	}
	for index := max(p.commit, log.offset) + 1; index <= log.commit; index++ {
		entry := log.entries[index-log.offset-1]
		if index <= uint64(len(sim.oracle.committed)) {
			if !sameEntry(sim.oracle.committed[index-1], entry) {
				sim.fail("replica %d: committed entry %d differs: %v, was %v", p.id, index, entry, sim.oracle.committed[index-1])
			}
			continue
		}
		sim.checkNewCommit(p, entry)
	}
	p.commit = log.commit
}

func sameEntry(a, b Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && a.Kind == b.Kind && bytes.Equal(a.Data, b.Data)
}

func (sim *simulation) checkNewCommit(p *simulatedProcess, entry Entry) {
	if entry.Index != uint64(len(sim.oracle.committed))+1 {
		sim.fail("replica %d commits %d, the last known one is %d", p.id, entry.Index, len(sim.oracle.committed))
		return
	}
	if p.node.role == Leader || p.node.role == Follower && p.node.leaderID == 0 { // or has just stepped down
		sim.checkMajority(p, entry)
	} else {
		sim.fail("replica %d commits %d first, and does not lead", p.id, entry.Index)
	}
	sim.oracle.committed = append(sim.oracle.committed, entry)
	sim.oracle.commitTerms = append(sim.oracle.commitTerms, p.node.term)
	if entry.Kind == EntryMembership {
		sim.oracle.membership, _ = DecodeMembership(entry.Data)
	}
}

// checkMajority checks that a majority of the voters has synced a committed entry.
func (sim *simulation) checkMajority(p *simulatedProcess, entry Entry) {
	have := map[ReplicaID]bool{}
	for _, member := range p.node.membership().Members {
		log := sim.oracle.syncedLogs[member.ID]
		have[member.ID] = log != nil && (log.entries[entryID{entry.Index, entry.Term}] || log.snapshot >= entry.Index)
	}
	for _, voters := range voterSets(p.node.membership()) {
		synced := 0
		for _, id := range voters {
			if have[id] {
				synced++
			}
		}
		if synced <= len(voters)/2 {
			sim.fail("replica %d commits %d, which %d of the voters %v have synced", p.id, entry.Index, synced, voters)
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
func (sim *simulation) checkLeader(p *simulatedProcess) {
	node := p.node
	first := sim.oracle.leadersByTerm[node.term]
	if first != nil && first != p {
		sim.fail("replicas %d and %d both led term %d (equal IDs: before and after a restart)", first.id, p.id, node.term)
	}
	if node.persistedTerm != node.term {
		sim.fail("replica %d leads term %d, which is not on its disk", p.id, node.term)
	}
	if first == nil {
		sim.logf("%d leads term %d", p.id, node.term)
		sim.oracle.leadersByTerm[node.term] = p
		for i, entry := range sim.oracle.committed {
			// Votes that were delayed for long may still elect a leader of a past term.
			if sim.oracle.commitTerms[i] < node.term && entry.Index > node.log.offset && !node.log.matchTerm(entry.Index, entry.Term) {
				sim.fail("replica %d leads term %d without committed entry %v", p.id, node.term, entry)
			}
		}
	}
	changes := 0
	for _, at := range node.log.memberships {
		if at.index > uint64(len(sim.oracle.committed)) {
			changes++
		}
	}
	if changes > 1 {
		sim.fail("replica %d leads with %d membership changes in progress", p.id, changes)
	}
}

// checkLease checks that no other replica leads a later term while a lease lasts.
func (sim *simulation) checkLease(p *simulatedProcess) {
	until := p.node.LeaseExpiry()
	if until <= p.clock() {
		return
	}
	for _, other := range sim.processes() {
		if other == p || other.node.role != Leader {
			continue
		}
		if other.node.term > p.node.term || other.node.LeaseExpiry() > other.clock() {
			sim.fail("replica %d leads term %d while %d, of term %d, has a lease for %v", other.id, other.node.term, p.id,
				p.node.term, until-p.clock())
		}
	}
}

// checkReady checks that logs which agree in an entry agree in the preceding one.
func (sim *simulation) checkReady(p *simulatedProcess, r Ready) {
	for _, entry := range r.Entries {
		before, _ := p.node.log.term(entry.Index - 1)
		id := entryID{entry.Index, entry.Term}
		have, found := sim.oracle.entriesByID[id]
		if !found {
			sim.oracle.entriesByID[id] = entryContent{before, entry.Kind, entry.Data}
			continue
		}
		if have.previousTerm != before || have.kind != entry.Kind || !bytes.Equal(have.data, entry.Data) {
			sim.fail("replica %d: entry %v after term %d differs from another log's", p.id, entry, before)
		}
	}
	if r.MustSync != (r.Snapshot != nil || len(r.Entries) > 0 || r.HardState != nil && r.sequence > 0) {
		sim.fail("replica %d: MustSync is %v of %+v", p.id, r.MustSync, r)
	}
}

// checkState checks that all state machines go through the same states.
func (sim *simulation) checkState(p *simulatedProcess) {
	have, found := sim.oracle.statesByIndex[p.applied]
	if found && have != p.state {
		sim.fail("replica %d is in another state at %d", p.id, p.applied)
	}
	sim.oracle.statesByIndex[p.applied] = p.state
}

// checkSent checks that replicas send nothing before they are members, and that only voters start elections.
func (sim *simulation) checkSent(p *simulatedProcess, msg Message) {
	member := p.node.membership().has(p.id)
	switch msg.Kind {
	case MessagePreVote, MessageVote:
		if !sim.knownAsVoter(p) {
			sim.fail("replica %d starts an election and is no voter", p.id)
		}
	case MessagePreVoteReply, MessageVoteReply:
		if !member && !msg.Reject && !p.hasMembership {
			sim.fail("replica %d votes and is no member", p.id)
		}
	default:
		if !p.hasMembership {
			sim.fail("replica %d sends message kind %d before it is a member", p.id, msg.Kind)
		}
	}
}

// knownAsVoter reports whether a replica votes by any membership in its log, or by the committed one.
func (sim *simulation) knownAsVoter(p *simulatedProcess) bool {
	for _, at := range p.node.log.memberships {
		if at.membership.hasVote(p.id) {
			return true
		}
	}
	return sim.oracle.membership.hasVote(p.id)
}

// checkRead checks that a read shows everything that was committed anywhere when it was requested.
func (sim *simulation) checkRead(p *simulatedProcess, read ReadState) {
	asked, found := sim.oracle.pendingReads[read.Token]
	if !found {
		sim.fail("replica %d completes read %d twice, or one that nobody requested", p.id, read.Token)
	}
	delete(sim.oracle.pendingReads, read.Token)
	if read.Err != nil {
		return
	}
	sim.oracle.completedReads++
	if read.Index < uint64(asked) {
		sim.fail("replica %d reads at %d what was requested at %d", p.id, read.Index, asked)
	}
}

// checkRecovered checks that the cluster is complete and makes progress some time after the last fault.
func (sim *simulation) checkRecovered() {
	if sim.failure != "" {
		return
	}
	if !sim.membershipRestored() {
		sim.fail("the membership is not complete again: %v", sim.oracle.membership)
	}
	for _, p := range sim.processes() {
		if p.applied+1000 < uint64(len(sim.oracle.committed)) {
			sim.fail("replica %d is at %d of %d", p.id, p.applied, len(sim.oracle.committed))
		}
	}
	before := len(sim.oracle.committed)
	sim.run(2 * time.Second)
	if len(sim.oracle.committed) == before {
		sim.fail("nothing is committed any more")
	}
}
