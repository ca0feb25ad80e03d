package consensus

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
	"time"
)

// place is where an entry stands, and of which term it is.
type place struct{ index, term uint64 }

// known is what all logs have to agree on for a place.
type known struct {
	before uint64 // term of the entry before
	kind   EntryKind
	data   []byte
}

// truth is what an observer of the whole cluster knows.
type truth struct {
	leaders     map[uint64]*process   // by term
	entries     map[place]known       // that ever stood in a log
	committed   []Entry               // in order, from index 1
	committedIn []uint64              // term of the leader that committed each
	states      map[uint64]uint64     // of the state machine, by index
	synced      map[ReplicaID]*synced // by replica, its disk lost or not
	asked       map[uint64]int        // by token of a read: how many entries were committed when it came
	reads       int
	membership  Membership // committed
	proposed    Membership // last
}

// synced is what a replica had on its disk at some time.
type synced struct {
	entries  map[place]bool
	snapshot uint64
}

func newTruth() truth {
	return truth{leaders: map[uint64]*process{}, entries: map[place]known{}, states: map[uint64]uint64{},
		synced: map[ReplicaID]*synced{}, asked: map[uint64]int{}}
}

func (t *truth) noteSynced(id ReplicaID, r Ready) {
	s := t.synced[id]
	if s == nil {
		s = &synced{entries: map[place]bool{}}
		t.synced[id] = s
	}
	for _, entry := range r.Entries {
		s.entries[place{entry.Index, entry.Term}] = true
	}
	if r.Snapshot != nil {
		s.snapshot = max(s.snapshot, r.Snapshot.Index)
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

// check holds after each step.
func (w *world) check() {
	for _, p := range w.processes() {
		w.checkCommit(p)
	}
	for _, p := range w.processes() {
		if p.machine.role == Leader {
			w.checkLeader(p)
		}
		w.checkLease(p)
	}
}

// checkCommit sees that what is committed stays the same everywhere, and was synced by a majority before.
func (w *world) checkCommit(p *process) {
	l := &p.machine.log
	if l.commit < p.commit {
		w.fail("replica %d: commit went back from %d to %d", p.id, p.commit, l.commit)
	}
	for index := max(p.commit, l.offset) + 1; index <= l.commit; index++ {
		entry := l.entries[index-l.offset-1]
		if index <= uint64(len(w.truth.committed)) {
			if !sameEntry(w.truth.committed[index-1], entry) {
				w.fail("replica %d: committed entry %d differs: %v, was %v", p.id, index, entry, w.truth.committed[index-1])
			}
			continue
		}
		w.checkNewCommit(p, entry)
	}
	p.commit = l.commit
}

func sameEntry(a, b Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && a.Kind == b.Kind && bytes.Equal(a.Data, b.Data)
}

func (w *world) checkNewCommit(p *process, entry Entry) {
	if entry.Index != uint64(len(w.truth.committed))+1 {
		w.fail("replica %d commits %d, the last known one is %d", p.id, entry.Index, len(w.truth.committed))
		return
	}
	if p.machine.role == Leader || p.machine.role == Follower && p.machine.leaderID == 0 { // or has just stepped down
		w.checkMajority(p, entry)
	} else {
		w.fail("replica %d commits %d first, and does not lead", p.id, entry.Index)
	}
	w.truth.committed = append(w.truth.committed, entry)
	w.truth.committedIn = append(w.truth.committedIn, p.machine.term)
	if entry.Kind == EntryMembership {
		w.truth.membership, _ = DecodeMembership(entry.Data)
	}
}

// checkMajority sees that a majority of the voters has synced an entry that is committed.
func (w *world) checkMajority(p *process, entry Entry) {
	have := map[ReplicaID]bool{}
	for _, member := range p.machine.membership().Members {
		s := w.truth.synced[member.ID]
		have[member.ID] = s != nil && (s.entries[place{entry.Index, entry.Term}] || s.snapshot >= entry.Index)
	}
	for _, voters := range voterSets(p.machine.membership()) {
		synced := 0
		for _, id := range voters {
			if have[id] {
				synced++
			}
		}
		if synced <= len(voters)/2 {
			w.fail("replica %d commits %d, which %d of the voters %v have synced", p.id, entry.Index, synced, voters)
		}
	}
}

// voterSets are the sets of voters that have to agree, each by its majority: two of a joint membership.
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

// checkLeader sees that there is one leader a term, that it has all that is committed, and that at most one change of
// membership is under way.
func (w *world) checkLeader(p *process) {
	m := p.machine
	first := w.truth.leaders[m.term]
	if first != nil && first != p {
		w.fail("replicas %d and %d both led term %d (the same: a life apart)", first.id, p.id, m.term)
	}
	if m.persistedTerm != m.term {
		w.fail("replica %d leads term %d, which is not on its disk", p.id, m.term)
	}
	if first == nil {
		w.logf("%d leads term %d", p.id, m.term)
		w.truth.leaders[m.term] = p
		for i, entry := range w.truth.committed {
			// Votes that were long under way may still make a leader of a term that is past.
			if w.truth.committedIn[i] < m.term && entry.Index > m.log.offset && !m.log.matchTerm(entry.Index, entry.Term) {
				w.fail("replica %d leads term %d without committed entry %v", p.id, m.term, entry)
			}
		}
	}
	changes := 0
	for _, at := range m.log.memberships {
		if at.index > uint64(len(w.truth.committed)) {
			changes++
		}
	}
	if changes > 1 {
		w.fail("replica %d leads with %d changes of membership under way", p.id, changes)
	}
}

// checkLease sees that nobody leads a later term while a lease lasts.
func (w *world) checkLease(p *process) {
	until := p.machine.LeaseExpiry()
	if until <= p.clock() {
		return
	}
	for _, other := range w.processes() {
		if other == p || other.machine.role != Leader {
			continue
		}
		if other.machine.term > p.machine.term || other.machine.LeaseExpiry() > other.clock() {
			w.fail("replica %d leads term %d while %d, of term %d, has a lease for %v", other.id, other.machine.term, p.id,
				p.machine.term, until-p.clock())
		}
	}
}

// checkReady sees that logs which agree in an entry agree in all before it.
func (w *world) checkReady(p *process, r Ready) {
	for _, entry := range r.Entries {
		before, _ := p.machine.log.term(entry.Index - 1)
		at := place{entry.Index, entry.Term}
		have, is := w.truth.entries[at]
		if !is {
			w.truth.entries[at] = known{before, entry.Kind, entry.Data}
			continue
		}
		if have.before != before || have.kind != entry.Kind || !bytes.Equal(have.data, entry.Data) {
			w.fail("replica %d: entry %v after term %d differs from another log's", p.id, entry, before)
		}
	}
	if r.MustSync != (r.Snapshot != nil || len(r.Entries) > 0 || r.HardState != nil && r.sequence > 0) {
		w.fail("replica %d: MustSync is %v of %+v", p.id, r.MustSync, r)
	}
}

// checkState sees that all state machines go through the same states.
func (w *world) checkState(p *process) {
	have, is := w.truth.states[p.applied]
	if is && have != p.state {
		w.fail("replica %d is in another state at %d", p.id, p.applied)
	}
	w.truth.states[p.applied] = p.state
}

// checkSent sees that replicas that were not taken in are silent, and that only voters stand for election.
func (w *world) checkSent(p *process, msg Message) {
	member := p.machine.membership().has(p.id)
	switch msg.Kind {
	case MessagePreVote, MessageVote:
		if !w.votedOf(p) {
			w.fail("replica %d stands for election and is no voter", p.id)
		}
	case MessagePreVoteReply, MessageVoteReply:
		if !member && !msg.Reject && !p.heard {
			w.fail("replica %d votes and is no member", p.id)
		}
	default:
		if !p.heard {
			w.fail("replica %d sends message %d before it was taken in", p.id, msg.Kind)
		}
	}
}

// votedOf tells whether a replica is a voter, or was one until the membership that it has only now been sent.
func (w *world) votedOf(p *process) bool {
	for _, at := range p.machine.log.memberships {
		if at.membership.hasVote(p.id) {
			return true
		}
	}
	return w.truth.membership.hasVote(p.id)
}

// checkRead sees that a read shows all that was committed anywhere when it came.
func (w *world) checkRead(p *process, read ReadState) {
	asked, is := w.truth.asked[read.Token]
	if !is {
		w.fail("replica %d answers read %d twice, or one that nobody asked", p.id, read.Token)
	}
	delete(w.truth.asked, read.Token)
	if read.Err != nil {
		return
	}
	w.truth.reads++
	if read.Index < uint64(asked) {
		w.fail("replica %d reads at %d what was asked at %d", p.id, read.Index, asked)
	}
}

// checkHealed sees that all is well some time after the last fault.
func (w *world) checkHealed() {
	if w.failed != "" {
		return
	}
	if !w.agreed() {
		w.fail("the membership is not whole again: %v", w.truth.membership)
	}
	for _, p := range w.processes() {
		if p.applied+1000 < uint64(len(w.truth.committed)) {
			w.fail("replica %d is at %d of %d", p.id, p.applied, len(w.truth.committed))
		}
	}
	before := len(w.truth.committed)
	w.run(2 * time.Second)
	if len(w.truth.committed) == before {
		w.fail("nothing is agreed on any more")
	}
}
