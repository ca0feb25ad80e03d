package replica

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/control/state"
	"cinderroad/internal/system/feed"
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

func (t *oracle) recordSynced(id consensus.ReplicaID, w *storage.Update) {
	s := t.syncedStates[id]
	if s == nil {
		s = &syncedState{entries: map[entryID]bool{}}
		t.syncedStates[id] = s
	}
	for _, e := range w.Entries {
		s.entries[entryID{e.Index, e.Term}] = true
	}
	if w.InstalledSnapshot != nil {
		s.snapshot = max(s.snapshot, w.InstalledSnapshot.Index)
	}
}

// checkBoot sees that what a process finds on its disk leads to what was agreed.
func (t *oracle) checkBoot(w *simulation, p *simProcess, stored *consensus.PersistentState) {
	if version := t.versionAt(stored.Snapshot.Index); p.state.Version() != version {
		w.fail("machine %d begins at version %d, where %d was agreed", p.slot.number, p.state.Version(), version)
	}
}

// versionAt is the version in force once the log is applied up to an index.
func (t *oracle) versionAt(index uint64) uint64 {
	l, _ := t.committedAt(index)
	return l.request.version
}

func (t *oracle) committedAt(index uint64) (l committedVersion, is bool) {
	for i := len(t.versions) - 1; i >= 0; i-- {
		if t.versions[i].index <= index {
			return t.versions[i], true
		}
	}
	return committedVersion{}, false
}

// everCommitted tells whether a change ever was.
func (t *oracle) everCommitted(digest state.Digest) bool {
	return slices.ContainsFunc(t.versions, func(l committedVersion) bool { return l.request.digest == digest })
}

// checkApplied sees that all replicas do the same at an index, and that accepted changes make one chain without repeats.
func (w *simulation) checkApplied(p *simProcess, index uint64, command, result []byte) {
	this := appliedCommand{string(command), string(result)}
	if have, is := w.oracle.appliedCommands[index]; is {
		if have != this {
			w.fail("machine %d does something else at %d than another did", p.slot.number, index)
		}
		return
	}
	w.oracle.appliedCommands[index] = this
	decoded, err := state.DecodeResult(result)
	if err != nil || decoded.Outcome == state.Unreadable {
		w.fail("result at %d: %+v, %v", index, decoded, err)
	}
	if decoded.Outcome != state.Accepted {
		return
	}
	request, known := w.oracle.commands[this.command]
	if !known {
		w.fail("a change is in force at %d that nobody sent", index)
	}
	if request.zone != "" {
		w.recordEvacuation(&request)
		return
	}
	before := w.oracle.versionAt(index)
	if request.base != before || request.version <= before {
		w.fail("version %d on %d is put in force at %d on %d", request.version, request.base, index, before)
	}
	for _, l := range w.oracle.versions {
		if l.request.digest == request.digest || l.index >= index {
			w.fail("a change is put in force at %d and at %d", l.index, index)
		}
	}
	w.logf("%d puts version %d in force at %d", p.slot.number, request.version, index)
	w.oracle.versions = append(w.oracle.versions, committedVersion{w.now, index, request})
}

// checkStep holds after each step of a process.
func (w *simulation) checkStep(p *simProcess) {
	version := p.state.Version()
	if version < p.version || p.group.appliedIndex < p.appliedIndex {
		w.fail("machine %d goes back from version %d at %d to %d at %d", p.slot.number, p.version, p.appliedIndex, version,
			p.group.appliedIndex)
	}
	if p.group.appliedIndex != p.appliedIndex && version != w.oracle.versionAt(p.group.appliedIndex) {
		w.fail("machine %d is at version %d, where %d was agreed", p.slot.number, version, w.oracle.versionAt(p.group.appliedIndex))
	}
	p.version, p.appliedIndex = version, p.group.appliedIndex
	w.checkStaleness(p)
	if p.appliedIndex > w.oracle.appliedIndex {
		w.checkMajority(p)
		w.oracle.appliedIndex = p.appliedIndex
	}
	if p.group.node.Role() == consensus.Leader {
		w.checkLeader(p)
	}
}

// checkMajority sees that what is applied first was synced by a majority of the voters.
func (w *simulation) checkMajority(p *simProcess) {
	at, is := p.group.node.CreateSnapshot(p.appliedIndex, nil)
	if !is {
		w.fail("machine %d has applied %d first, and knows no term of it", p.slot.number, p.appliedIndex)
		return
	}
	membership := p.group.node.Membership()
	have := func(id consensus.ReplicaID) bool {
		s := w.oracle.syncedStates[id]
		return s != nil && (s.entries[entryID{at.Index, at.Term}] || s.snapshot >= at.Index)
	}
	if !majorityOfEach(membership, have) {
		w.fail("machine %d applies %d, which no majority of %v has synced", p.slot.number, p.appliedIndex,
			memberList(membership.Members))
	}
}

// majorityOfEach tells whether something is true of a majority of the voters, in both voter sets of a joint membership.
// It counts by itself, so that the agreement's own counting is checked by it.
func majorityOfEach(membership consensus.Membership, is func(consensus.ReplicaID) bool) bool {
	var voters, agreeing, outgoing, agreeingOutgoing int
	for _, m := range membership.Members {
		if m.Voter {
			voters++
		}
		if m.Outgoing {
			outgoing++
		}
		if m.Voter && is(m.ID) {
			agreeing++
		}
		if m.Outgoing && is(m.ID) {
			agreeingOutgoing++
		}
	}
	return 2*agreeing > voters && (outgoing == 0 || 2*agreeingOutgoing > outgoing)
}

// maxStalledLeadership is how long a replica may lead whose disk does not finish a write.
const maxStalledLeadership = diskStallTimeout + defaultElectionTimeout + 300*time.Millisecond

// checkLeader sees that there is one leader a term, a voter, whose disk works.
func (w *simulation) checkLeader(p *simProcess) {
	term := p.group.lastHardState.Term // a leader's is on its disk
	id, is := w.oracle.leaders[term]
	if is && id != p.host.self.ID {
		w.fail("replicas %s and %s both led term %d", formatReplicaID(id), formatReplicaID(p.host.self.ID), term)
	}
	if !is {
		w.logf("%d leads term %d", p.slot.number, term)
		w.stats.counters.terms++
		w.oracle.leaders[term] = p.host.self.ID
	}
	stalled := len(p.activeJobs) > 0 && len(durableWrites(p.activeJobs)) > 0 && p.clock()-p.writeStarted > maxStalledLeadership
	if stalled && w.now-p.resumedAt > maxStalledLeadership {
		w.fail("machine %d leads, and its disk has not finished a write for %v", p.slot.number, p.clock()-p.writeStarted)
	}
}

// checkSent sees that replicas that were not taken in neither vote nor stand for election.
func (w *simulation) checkSent(p *simProcess, message *consensus.Message) {
	id := p.slot.id()
	switch message.Kind {
	case consensus.MessagePreVote, consensus.MessageVote:
		if !w.oracle.voters[id] {
			w.fail("machine %d stands for election and never was a voter", p.slot.number)
		}
	case consensus.MessagePreVoteReply, consensus.MessageVoteReply:
		if !message.Reject && !w.oracle.members[id] {
			w.fail("machine %d votes and never was a member", p.slot.number)
		}
	}
}

// membershipDifference counts what differs between two memberships.
type membershipDifference struct {
	members   int // that come, go or change in any way
	votes     int // that are given or taken away
	addsVoter bool
}

func diffMemberships(before, after consensus.Membership) (d membershipDifference) {
	find := func(in consensus.Membership, id consensus.ReplicaID) consensus.Member {
		for _, m := range in.Members {
			if m.ID == id {
				return m
			}
		}
		return consensus.Member{}
	}
	for _, m := range after.Members {
		old := find(before, m.ID)
		if old != m {
			d.members++
		}
		if old.Voter != m.Voter {
			d.votes++
		}
		d.addsVoter = d.addsVoter || old.ID == 0 && m.HasVote()
	}
	for _, m := range before.Members {
		if find(after, m.ID).ID != 0 {
			continue
		}
		d.members++
		if m.Voter {
			d.votes++
		}
	}
	return d
}

// allowed tells whether a step is one of those that the agreement may make: one member, anything but votes, or votes
// alone and then through a joint membership that holds the old votes too.
func (d membershipDifference) allowed(before, after consensus.Membership) bool {
	if after.Joint() {
		kept := slices.EqualFunc(before.Members, after.Members, func(a, b consensus.Member) bool {
			votes := a.Voter == b.Outgoing
			b.Voter, b.Outgoing = a.Voter, a.Outgoing
			return votes && a == b
		})
		return kept && d.votes > 1
	}
	return d.votes == 0 || d.members == 1
}

// checkChange sees that memberships change by allowed steps, that only members become voters, and that no change takes the
// majority away.
func (w *simulation) checkChange(p *simProcess, before, after consensus.Membership) {
	d := diffMemberships(before, after)
	if d.members == 0 {
		return // leadership was handed over
	}
	w.logf("%d changes the membership to %v", p.slot.number, memberList(after.Members))
	w.stats.counters.membershipChanges++
	w.oracle.recordMembership(after)
	if d.addsVoter {
		w.fail("machine %d makes a voter of no member: %v", p.slot.number, memberList(after.Members))
	}
	if !d.allowed(before, after) {
		w.fail("machine %d changes %d members and %d votes at once: %v, then %v", p.slot.number, d.members, d.votes,
			memberList(before.Members), memberList(after.Members))
	}
	anywhere := func(*simMachine) bool { return false }
	if w.majorityIntact(before, anywhere) && !w.majorityIntact(after, anywhere) {
		w.fail("machine %d leaves no majority: %v, then %v", p.slot.number, memberList(before.Members), memberList(after.Members))
	}
	if countVoters(before) >= 3 && countVoters(after) < 3 {
		w.fail("machine %d leaves %d voters", p.slot.number, countVoters(after))
	}
}

func countVoters(membership consensus.Membership) (voters int) {
	for _, m := range membership.Members {
		if m.Voter {
			voters++
		}
	}
	return voters
}

// checkAgent sees that an agent does not go back, and holds what was agreed at its place.
func (w *simulation) checkAgent(a *simAgent) {
	value, _ := a.table.Get(feed.KeyVersion)
	owner, _ := a.table.Get(ownerKey)
	l, _ := w.oracle.committedAt(a.table.Index())
	version := l.request.version
	if string(value) != fmt.Sprint(version) && (version > 0 || len(value) > 0) {
		w.fail("an agent holds version %q at %d, where %d was agreed", value, a.table.Index(), version)
	}
	if version > 0 && string(owner) != string(l.request.digest[:]) {
		w.fail("an agent holds version %d in a mixture", version)
	}
	if version < a.version {
		w.fail("an agent goes back from version %d to %d", a.version, version)
	}
	a.version = version
}

// converged tells whether all is well again; why not, if it is not, is in unsettled.
func (w *simulation) converged() bool { return w.notConverged() == "" }

func (w *simulation) notConverged() string {
	p := w.leader()
	if p == nil {
		return "nobody leads"
	}
	slots := w.activeMachines()
	if why := w.membershipNotConverged(p, slots); why != "" {
		return why
	}
	for _, s := range slots {
		q := s.process
		if q == nil {
			return fmt.Sprintf("machine %d is down", s.number)
		}
		if !q.host.isMember(q.group) || q.version != w.oracle.versionAt(w.oracle.appliedIndex) {
			return fmt.Sprintf("machine %d is at version %d of %d", s.number, q.version, w.oracle.versionAt(w.oracle.appliedIndex))
		}
	}
	for _, o := range w.operators {
		if !o.done {
			return fmt.Sprintf("operator %d does not know what became of its change", o.number)
		}
	}
	for _, o := range w.evacuationOperators {
		if why := o.notConverged(); why != "" {
			return why
		}
	}
	for _, a := range w.agents {
		if a.version != p.version {
			return fmt.Sprintf("an agent is at version %d of %d", a.version, p.version)
		}
	}
	return ""
}

// membershipNotConverged tells what is left to do about the membership: the leader's plan has come to its end, all machines are
// members, and as many may fail as the number of machines allows. A voter that is gone may stay where the group would be no
// better without it.
func (w *simulation) membershipNotConverged(p *simProcess, slots []*simMachine) string {
	status := p.group.node.Status()
	text := "the membership is " + memberList(status.Membership.Members).String()
	if _, more := planChange(p.host.membershipView(p.clock(), p.group, &status)); more || status.MembershipIndex > status.Commit {
		return text + ", which is to change"
	}
	learners := len(status.Membership.Members) - countVoters(status.Membership)
	living := 0
	for _, s := range slots {
		i := slices.IndexFunc(status.Membership.Members, func(m consensus.Member) bool { return m.ID == s.id() })
		switch {
		case i < 0:
			return text + " without " + s.address().String()
		case status.Membership.Members[i].Voter:
			living++
		default:
			learners--
		}
	}
	spare := living - (countVoters(status.Membership)/2 + 1)
	if learners > 0 || spare < (min(len(slots), preferredVoters)-1)/2 {
		return text
	}
	return ""
}

// checkEnd sees that all is well some time after the last fault, and looks at the whole history.
func (w *simulation) checkEnd() {
	if w.failure != "" {
		return
	}
	if why := w.notConverged(); why != "" {
		w.fail("%v after the last fault: %s", recoveryPhase, why)
		return
	}
	w.stats.counters.versions += len(w.oracle.versions)
	for _, op := range w.history.operations {
		if op.response.kind != responseAccepted {
			continue
		}
		if !slices.ContainsFunc(w.oracle.versions, func(l committedVersion) bool {
			return l.request.digest == op.request.digest && l.request.version == op.response.version
		}) {
			w.fail("version %d was acknowledged and is lost", op.response.version)
		}
	}
	w.checkHistory()
	for _, o := range w.evacuationOperators {
		o.checkHistory()
	}
}

// text lists the history.
func (h *requestHistory) text() string {
	var b strings.Builder
	for _, op := range h.operations {
		number := binary.BigEndian.Uint64(op.request.digest[:])
		what := fmt.Sprintf("change %d of %d to %d", number, op.request.base, op.request.version)
		if op.request.read {
			what = "read"
		}
		answer := [...]string{"unknown", "accepted", "conflict", "read"}[op.response.kind]
		fmt.Fprintf(&b, "\n  %v to %v: operator %d: %s: %s %d (%d)", op.invoked, op.returned, op.operator, what, answer,
			op.response.version, binary.BigEndian.Uint64(op.response.digest[:]))
	}
	return b.String()
}

// simCounters count what happened.
type simCounters struct {
	steps, versions, accepted, conflicts, unknown, reads, losses, snapshots, membershipChanges, terms, evacuations int
}

type simStats struct {
	mutex    sync.Mutex
	counters simCounters
}

func (c *simStats) record(r *simRequest, a simResponse) {
	switch {
	case a.kind == responseAccepted:
		c.counters.accepted++
	case a.kind == responseConflict:
		c.counters.conflicts++
	case a.kind == responseRead:
		c.counters.reads++
	case !r.read:
		c.counters.unknown++
	}
}

func (c *simStats) add(other *simCounters) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counters.add(other)
}

func (n *simCounters) counters() []*int {
	return []*int{&n.steps, &n.versions, &n.accepted, &n.conflicts, &n.unknown, &n.reads, &n.losses, &n.snapshots,
		&n.membershipChanges, &n.terms, &n.evacuations}
}

func (n *simCounters) add(other *simCounters) {
	others := other.counters()
	for i, number := range n.counters() {
		*number += *others[i]
	}
}

// String tells the counts.
func (c *simStats) String() string {
	n := &c.counters
	return fmt.Sprintf("%d steps, %d versions, %d accepted, %d conflicts, %d unknown, %d reads, %d disks lost, %d snapshots "+
		"sent, %d changes of membership, %d terms, %d evacuations acknowledged", n.steps, n.versions, n.accepted, n.conflicts, n.unknown, n.reads, n.losses,
		n.snapshots, n.membershipChanges, n.terms, n.evacuations)
}

// checkCoverage sees that what the simulation is for does happen in it.
func (c *simStats) checkCoverage(t *testing.T) {
	for i, number := range c.counters.counters() {
		if *number == 0 {
			t.Errorf("number %d of %v is 0", i, c)
		}
	}
}
