// Package copies has several members hold the same state for the fleet: what a majority of them has agreed is there for
// good. The agreement is internal/system/consensus; here are who the copies are, lives without a disk, proposals made at any copy,
// and bounds. Pure: no I/O, no clock, random numbers from a seed; the same input gives the same output.
package jobreplica

import (
	"errors"
	"slices"
	"time"

	"cinderroad/internal/system/consensus"
)

// Member is a life of a member that may hold a copy.
type Member struct {
	ID   uint64 // of this life alone: who lost its memory comes back as another (P3)
	Name string
	Host string // what fails together
	Zone string
}

// consensusMember is the member as the agreement keeps it: the fleet reaches it by its name, which stands for an address.
func (m Member) consensusMember(voter bool) consensus.Member {
	return consensus.Member{ID: consensus.ReplicaID(m.ID), Node: m.Host, Zone: m.Zone, Address: m.Name, Voter: voter}
}

// memberFromConsensus is what consensusMember made a member of a group from.
func memberFromConsensus(m consensus.Member) Member {
	return Member{ID: uint64(m.ID), Name: m.Address, Host: m.Node, Zone: m.Zone}
}

// StateMachine is the state that agreed commands make.
type StateMachine interface {
	// Check tells whether Apply could take the command at all. What it refuses is not proposed: it would stop all copies.
	Check(command []byte) error
	// Apply takes an agreed command; an error is that this copy cannot go on.
	Apply(index uint64, command []byte) (result any, err error)
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// Options are a copy's.
type Options struct {
	Self                Member
	Seed                uint64
	Replicas            int // that there are to be: 3 or 5
	StateMachine        StateMachine
	ElectionTimeout     float64 // seconds without a leader after which one is elected, at least; up to twice as long
	HeartbeatInterval   float64 // seconds between two words of a leader
	ReplaceAfter        float64 // seconds after which a copy that is not heard is replaced
	CompactionThreshold int     // entries after which the log is cut
	MaxCommandBytes     int     // bytes of a command
}

// Bounds of what is sent and of what waits.
const (
	minHeartbeatsPerTimeout = 3        // in a silence
	maxAppendBytes          = 64 << 10 // of entries in one message, or one entry
	maxInflightAppends      = 64       // unanswered messages with entries to one copy
	maxUncommittedBytes     = 4 << 20  // bytes of commands that a leader has proposed and that are not agreed on yet
	maxTermGap              = 1 << 32  // that a copy may have missed: more elections than there can have been
)

// A fleet's state begins here: what stands before is what its first copies were given, not log.
const (
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// consensusConfig are the options of the agreement.
func (o *Options) consensusConfig() consensus.Config {
	return consensus.Config{
		ID:                 consensus.ReplicaID(o.Self.ID),
		HeartbeatInterval:  secondsToDuration(o.HeartbeatInterval),
		ElectionTimeout:    secondsToDuration(max(o.ElectionTimeout, minHeartbeatsPerTimeout*o.HeartbeatInterval)),
		Seed:               o.Seed,
		MaxAppendBytes:     maxAppendBytes,
		MaxInflightAppends: maxInflightAppends,
		SnapshotThreshold:  uint64(o.CompactionThreshold),
	}
}

// secondsToDuration is a time in seconds as the agreement counts it.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// Outgoing is a message for another member.
type Outgoing struct {
	To   uint64
	Data []byte
}

// Applied is a command that was agreed and taken.
type Applied struct {
	Index   uint64
	Command []byte
	Result  any
}

// Replica is this member's part in holding the state.
type Replica struct {
	options             Options
	node                *consensus.Node    // nil: this member holds no copy
	candidates          []Member           // who may become one
	lastContact         map[uint64]float64 // when members last sent something
	now                 float64
	leaderSeenAt        float64 // when a leader was last heard
	maintainedAt        float64 // when the leader last looked after the copies
	membershipChangedAt float64 // when the copies were last changed
	hardState           consensus.HardState
	appliedIndex        uint64
	// uncommittedBytes are bytes of commands that this copy, leading in the term, has proposed.
	uncommittedBytes int
	uncommittedTerm  uint64
	outgoing         []Outgoing
	appliedCommands  []Applied
	stopped          *StoppedError
}

// New is a member that holds no copy yet: it becomes one by Found, or when a leader's first word comes.
func New(now float64, options Options) *Replica {
	return &Replica{options: options, lastContact: map[uint64]float64{}, now: now, membershipChangedAt: now}
}

// Bootstrap begins the state with its first copies, the same list at each of them. It is called once in the life of a fleet's
// state: by hand, or by who has made sure of that.
func (r *Replica) Bootstrap(replicas []Member) error {
	var membership consensus.Membership
	for _, m := range replicas {
		membership.Members = append(membership.Members, m.consensusMember(true))
		r.lastContact[m.ID] = r.now
	}
	slices.SortFunc(membership.Members, compareIDs)
	if !slices.ContainsFunc(replicas, func(m Member) bool { return m.ID == r.options.Self.ID }) {
		return &NotReplicaError{}
	}
	snapshot := consensus.Snapshot{Index: bootstrapIndex, Term: bootstrapTerm, Membership: membership}
	persistent := consensus.PersistentState{HardState: consensus.HardState{Term: bootstrapTerm, Commit: bootstrapIndex}, Snapshot: snapshot}
	if err := persistent.Validate(); err != nil {
		return err
	}
	r.startNode(persistent)
	return nil
}

// startNode makes the machine of the agreement.
func (r *Replica) startNode(persistent consensus.PersistentState) {
	r.node = consensus.New(secondsToDuration(r.now), r.options.consensusConfig(), persistent)
	r.hardState, r.appliedIndex = persistent.HardState, persistent.Snapshot.Index
	r.leaderSeenAt = r.now
}

func (r *Replica) stop(reason string, cause error) {
	r.stopped, r.node, r.outgoing = &StoppedError{reason, cause}, nil, nil
}

// Tick moves the time on, seconds.
func (r *Replica) Tick(now float64) {
	r.now = max(r.now, now)
	if r.node == nil {
		return
	}
	r.tickNode()
	if r.IsLeader() {
		r.leaderSeenAt = r.now
		r.maintainMembership()
	}
	r.processReady()
}

// tickNode does what is due.
func (r *Replica) tickNode() {
	if at := secondsToDuration(r.now); r.node.NextTick() <= at {
		r.node.Tick(at)
	}
}

// Step takes a message. One that is not for this life, or from nobody that may send it, is an error and changes nothing.
func (r *Replica) Step(now float64, data []byte) error {
	r.now = max(r.now, now)
	if r.stopped != nil {
		return r.stopped
	}
	received, err := decodeEnvelope(data)
	if err != nil {
		return err
	}
	if received.to != r.options.Self.ID {
		return errors.New("copies: a message for another life")
	}
	if received.from == 0 || received.from == r.options.Self.ID {
		return errors.New("copies: a message that nobody else can send")
	}
	switch received.kind {
	case kindReplaced:
		return r.handleReplaced(received.from, received.appliedIndex)
	case kindPropose:
		return r.handleForwardedProposal(received)
	default:
		return r.stepNode(&received.message)
	}
}

// stepNode takes a message of the agreement.
func (r *Replica) stepNode(message *consensus.Message) error {
	if message.Term > r.hardState.Term+maxTermGap {
		return errors.New("copies: a term that no election has led to")
	}
	fromLeader := message.Kind == consensus.MessageAppend || message.Kind == consensus.MessageInstallSnapshot
	if r.node == nil {
		if !fromLeader { // only a leader that has this life among its copies speaks first
			return &NotReplicaError{}
		}
		r.startNode(consensus.PersistentState{})
	}
	from := uint64(message.From)
	r.lastContact[from] = r.now
	r.node.Step(secondsToDuration(r.now), *message)
	if fromLeader && r.Leader() == from {
		r.leaderSeenAt = r.now
	}
	if (message.Kind == consensus.MessagePreVote || message.Kind == consensus.MessageVote) && !r.isMember(from) {
		r.send(&envelope{kind: kindReplaced, to: from, appliedIndex: r.appliedIndex})
	}
	r.processReady()
	return nil
}

// Propose has a command agreed; it is applied at each copy, or lost. Where no leader is known it is refused at once.
func (r *Replica) Propose(now float64, command []byte) error {
	r.now = max(r.now, now)
	switch {
	case r.stopped != nil:
		return r.stopped
	case r.node == nil:
		return &NotReplicaError{}
	case len(command) > r.options.MaxCommandBytes:
		return &CommandTooLongError{len(command), r.options.MaxCommandBytes}
	}
	r.tickNode() // who slept finds out here that it leads no more
	defer r.processReady()
	switch leader := r.Leader(); leader {
	case 0:
		return r.noMajorityError()
	case r.options.Self.ID:
		return r.proposeToNode(command)
	default:
		r.send(&envelope{kind: kindPropose, to: leader, command: command})
		return nil
	}
}

// handleForwardedProposal proposes for another copy. Where this one does not lead any more the command is lost.
func (r *Replica) handleForwardedProposal(proposal *envelope) error {
	switch {
	case r.node == nil || !r.isMember(proposal.from):
		return &NotReplicaError{}
	case len(proposal.command) > r.options.MaxCommandBytes:
		return &CommandTooLongError{len(proposal.command), r.options.MaxCommandBytes}
	}
	r.lastContact[proposal.from] = r.now
	r.tickNode()
	defer r.processReady()
	return r.proposeToNode(proposal.command)
}

// proposeToNode is a leader's.
func (r *Replica) proposeToNode(command []byte) error {
	if err := r.options.StateMachine.Check(command); err != nil {
		return err
	}
	if r.uncommittedTerm != r.hardState.Term {
		r.uncommittedTerm, r.uncommittedBytes = r.hardState.Term, 0
	}
	if r.uncommittedBytes+len(command) > maxUncommittedBytes {
		return r.noMajorityError()
	}
	if _, _, err := r.node.Propose(secondsToDuration(r.now), slices.Clone(command)); err != nil {
		return r.noMajorityError()
	}
	r.uncommittedBytes += len(command)
	return nil
}

func (r *Replica) noMajorityError() *NoMajorityError {
	reachable, voters := 0, 0
	for _, m := range r.node.Membership().Members {
		if !m.Voter {
			continue
		}
		voters++
		id := uint64(m.ID)
		if id == r.options.Self.ID || r.now-r.lastContact[id] < r.options.ElectionTimeout {
			reachable++
		}
	}
	return &NoMajorityError{reachable, voters, int64(1000 * (r.now - r.leaderSeenAt)), int64(2000 * r.options.ElectionTimeout)}
}

// TransferLeadership gives the lead to another copy, before this process ends.
func (r *Replica) TransferLeadership() bool {
	if !r.IsLeader() {
		return false
	}
	r.node.TransferLeadership(secondsToDuration(r.now), 0)
	transferring := r.node.Transferring()
	r.processReady()
	return transferring
}

// processReady does what the agreement asks for: sends, applies. A copy has no disk: its life ends with its memory, so that what
// is written counts at once.
func (r *Replica) processReady() {
	for r.node != nil {
		ready := r.node.Ready()
		if ready.Empty() {
			break
		}
		r.handleReady(&ready)
	}
	r.pruneContacts()
}

func (r *Replica) handleReady(ready *consensus.Ready) {
	if ready.HardState != nil {
		r.hardState = *ready.HardState
	}
	r.sendMessages(ready.EarlyMessages)
	r.node.MarkPersisted(*ready)
	r.sendMessages(ready.Messages)
	if ready.Snapshot != nil && !r.restoreSnapshot(ready.Snapshot) {
		return
	}
	for i := range ready.CommittedEntries {
		if !r.applyEntry(&ready.CommittedEntries[i]) {
			return
		}
	}
	if ready.CompactIndex > 0 {
		r.node.Compact(ready.CompactIndex, nil, 0) // whoever needs a snapshot gets the present one
	}
}

func (r *Replica) sendMessages(messages []consensus.Message) {
	for i := range messages {
		message := messages[i]
		if message.Kind == consensus.MessageInstallSnapshot {
			r.fillSnapshot(&message)
		}
		r.send(&envelope{kind: kindConsensus, to: uint64(message.To), message: message})
	}
}

// fillSnapshot puts the state as it is into the message of a snapshot: the machine of the agreement keeps none.
func (r *Replica) fillSnapshot(message *consensus.Message) {
	data := r.options.StateMachine.Snapshot()
	snapshot, newer := r.node.CreateSnapshot(r.appliedIndex, data)
	if !newer {
		snapshot = *message.Snapshot // the state has not moved on since
		snapshot.Data = data
	}
	message.Snapshot = &snapshot
}

func (r *Replica) applyEntry(entry *consensus.Entry) bool {
	r.appliedIndex = entry.Index
	if entry.Kind != consensus.EntryCommand || len(entry.Data) == 0 { // the latter: a new leader's first
		return true
	}
	if entry.Term == r.uncommittedTerm {
		r.uncommittedBytes = max(r.uncommittedBytes-len(entry.Data), 0)
	}
	result, err := r.options.StateMachine.Apply(entry.Index, entry.Data)
	if err != nil {
		r.stop("a command that it cannot take", err)
		return false
	}
	r.appliedCommands = append(r.appliedCommands, Applied{entry.Index, entry.Data, result})
	return true
}

func (r *Replica) restoreSnapshot(snapshot *consensus.Snapshot) bool {
	if err := r.options.StateMachine.Restore(snapshot.Data); err != nil {
		r.stop("a snapshot", err)
		return false
	}
	r.appliedIndex = snapshot.Index
	return true
}

// pruneContacts drops what is known of members that are no copies.
func (r *Replica) pruneContacts() {
	if r.node == nil || len(r.lastContact) <= len(r.node.Membership().Members) {
		return
	}
	for id := range r.lastContact {
		if !r.isMember(id) {
			delete(r.lastContact, id)
		}
	}
}

// TakeOutput gives the messages to be sent and the commands that were applied since the last call.
func (r *Replica) TakeOutput() (outgoing []Outgoing, applied []Applied) {
	outgoing, applied, r.outgoing, r.appliedCommands = r.outgoing, r.appliedCommands, nil, nil
	return outgoing, applied
}

// IsLeader says whether this copy leads, as far as it knows.
func (r *Replica) IsLeader() bool { return r.node != nil && r.node.Role() == consensus.Leader }

// Leader is the life that leads, as far as this copy knows; 0: none.
func (r *Replica) Leader() uint64 {
	if r.node == nil {
		return 0
	}
	return uint64(r.node.Leader())
}

// Term counts the elections.
func (r *Replica) Term() uint64 {
	if r.node == nil {
		return 0
	}
	return r.hardState.Term
}

// AppliedIndex is the last place of the log that was applied here.
func (r *Replica) AppliedIndex() uint64 { return r.appliedIndex }

// IsVoter says whether this member holds a copy that counts.
func (r *Replica) IsVoter() bool {
	voters, _ := r.Members()
	return slices.ContainsFunc(voters, func(m Member) bool { return m.ID == r.options.Self.ID })
}

// Err is why this copy has stopped; nil: it has not.
func (r *Replica) Err() error {
	if r.stopped == nil {
		return nil
	}
	return r.stopped
}

// Members are the lives that hold a copy that counts, and those that are being brought up.
func (r *Replica) Members() (voters, learners []Member) {
	if r.node == nil {
		return nil, nil
	}
	for _, m := range r.node.Membership().Members {
		if m.Voter {
			voters = append(voters, memberFromConsensus(m))
		} else {
			learners = append(learners, memberFromConsensus(m))
		}
	}
	return voters, learners
}

// isMember says whether a life is a copy, or becomes one.
func (r *Replica) isMember(id uint64) bool {
	return slices.ContainsFunc(r.node.Membership().Members, func(m consensus.Member) bool { return uint64(m.ID) == id })
}
