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
	ID      uint64 // of this life alone: who lost its memory comes back as another (P3)
	Name    string
	Machine string // what fails together
	Zone    string
}

// consensusMember is the member as the agreement keeps it: the fleet reaches it by its name, which stands for an address.
func (m Member) consensusMember(voter bool) consensus.Member {
	return consensus.Member{ID: consensus.ReplicaID(m.ID), Node: m.Machine, Zone: m.Zone, Address: m.Name, Voter: voter}
}

// memberFromConsensus is what consensusMember made a member of a group from.
func memberFromConsensus(m consensus.Member) Member {
	return Member{ID: uint64(m.ID), Name: m.Address, Machine: m.Node, Zone: m.Zone}
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
func (c *Replica) Bootstrap(replicas []Member) error {
	var membership consensus.Membership
	for _, m := range replicas {
		membership.Members = append(membership.Members, m.consensusMember(true))
		c.lastContact[m.ID] = c.now
	}
	slices.SortFunc(membership.Members, compareIDs)
	if !slices.ContainsFunc(replicas, func(m Member) bool { return m.ID == c.options.Self.ID }) {
		return &NotReplicaError{}
	}
	snapshot := consensus.Snapshot{Index: bootstrapIndex, Term: bootstrapTerm, Membership: membership}
	persistent := consensus.PersistentState{HardState: consensus.HardState{Term: bootstrapTerm, Commit: bootstrapIndex}, Snapshot: snapshot}
	if err := persistent.Validate(); err != nil {
		return err
	}
	c.startNode(persistent)
	return nil
}

// startNode makes the machine of the agreement.
func (c *Replica) startNode(persistent consensus.PersistentState) {
	c.node = consensus.New(secondsToDuration(c.now), c.options.consensusConfig(), persistent)
	c.hardState, c.appliedIndex = persistent.HardState, persistent.Snapshot.Index
	c.leaderSeenAt = c.now
}

func (c *Replica) stop(reason string, cause error) {
	c.stopped, c.node, c.outgoing = &StoppedError{reason, cause}, nil, nil
}

// Tick moves the time on, seconds.
func (c *Replica) Tick(now float64) {
	c.now = max(c.now, now)
	if c.node == nil {
		return
	}
	c.tickNode()
	if c.IsLeader() {
		c.leaderSeenAt = c.now
		c.maintainMembership()
	}
	c.processReady()
}

// tickNode does what is due.
func (c *Replica) tickNode() {
	if at := secondsToDuration(c.now); c.node.NextTick() <= at {
		c.node.Tick(at)
	}
}

// Step takes a message. One that is not for this life, or from nobody that may send it, is an error and changes nothing.
func (c *Replica) Step(now float64, data []byte) error {
	c.now = max(c.now, now)
	if c.stopped != nil {
		return c.stopped
	}
	e, err := decodeEnvelope(data)
	if err != nil {
		return err
	}
	if e.to != c.options.Self.ID {
		return errors.New("copies: a message for another life")
	}
	if e.from == 0 || e.from == c.options.Self.ID {
		return errors.New("copies: a message that nobody else can send")
	}
	switch e.kind {
	case kindReplaced:
		return c.handleReplaced(e.from, e.appliedIndex)
	case kindPropose:
		return c.handleForwardedProposal(e)
	default:
		return c.stepNode(&e.message)
	}
}

// stepNode takes a message of the agreement.
func (c *Replica) stepNode(message *consensus.Message) error {
	if message.Term > c.hardState.Term+maxTermGap {
		return errors.New("copies: a term that no election has led to")
	}
	fromLeader := message.Kind == consensus.MessageAppend || message.Kind == consensus.MessageInstallSnapshot
	if c.node == nil {
		if !fromLeader { // only a leader that has this life among its copies speaks first
			return &NotReplicaError{}
		}
		c.startNode(consensus.PersistentState{})
	}
	from := uint64(message.From)
	c.lastContact[from] = c.now
	c.node.Step(secondsToDuration(c.now), *message)
	if fromLeader && c.Leader() == from {
		c.leaderSeenAt = c.now
	}
	if (message.Kind == consensus.MessagePreVote || message.Kind == consensus.MessageVote) && !c.isMember(from) {
		c.send(&envelope{kind: kindReplaced, to: from, appliedIndex: c.appliedIndex})
	}
	c.processReady()
	return nil
}

// Propose has a command agreed; it is applied at each copy, or lost. Where no leader is known it is refused at once.
func (c *Replica) Propose(now float64, command []byte) error {
	c.now = max(c.now, now)
	switch {
	case c.stopped != nil:
		return c.stopped
	case c.node == nil:
		return &NotReplicaError{}
	case len(command) > c.options.MaxCommandBytes:
		return &CommandTooLongError{len(command), c.options.MaxCommandBytes}
	}
	c.tickNode() // who slept finds out here that it leads no more
	defer c.processReady()
	switch leader := c.Leader(); leader {
	case 0:
		return c.noMajorityError()
	case c.options.Self.ID:
		return c.proposeToNode(command)
	default:
		c.send(&envelope{kind: kindPropose, to: leader, command: command})
		return nil
	}
}

// handleForwardedProposal proposes for another copy. Where this one does not lead any more the command is lost.
func (c *Replica) handleForwardedProposal(e *envelope) error {
	switch {
	case c.node == nil || !c.isMember(e.from):
		return &NotReplicaError{}
	case len(e.command) > c.options.MaxCommandBytes:
		return &CommandTooLongError{len(e.command), c.options.MaxCommandBytes}
	}
	c.lastContact[e.from] = c.now
	c.tickNode()
	defer c.processReady()
	return c.proposeToNode(e.command)
}

// proposeToNode is a leader's.
func (c *Replica) proposeToNode(command []byte) error {
	if err := c.options.StateMachine.Check(command); err != nil {
		return err
	}
	if c.uncommittedTerm != c.hardState.Term {
		c.uncommittedTerm, c.uncommittedBytes = c.hardState.Term, 0
	}
	if c.uncommittedBytes+len(command) > maxUncommittedBytes {
		return c.noMajorityError()
	}
	if _, _, err := c.node.Propose(secondsToDuration(c.now), slices.Clone(command)); err != nil {
		return c.noMajorityError()
	}
	c.uncommittedBytes += len(command)
	return nil
}

func (c *Replica) noMajorityError() *NoMajorityError {
	reachable, voters := 0, 0
	for _, m := range c.node.Membership().Members {
		if !m.Voter {
			continue
		}
		voters++
		id := uint64(m.ID)
		if id == c.options.Self.ID || c.now-c.lastContact[id] < c.options.ElectionTimeout {
			reachable++
		}
	}
	return &NoMajorityError{reachable, voters, int64(1000 * (c.now - c.leaderSeenAt)), int64(2000 * c.options.ElectionTimeout)}
}

// TransferLeadership gives the lead to another copy, before this process ends.
func (c *Replica) TransferLeadership() bool {
	if !c.IsLeader() {
		return false
	}
	c.node.TransferLeadership(secondsToDuration(c.now), 0)
	transferring := c.node.Transferring()
	c.processReady()
	return transferring
}

// processReady does what the agreement asks for: sends, applies. A copy has no disk: its life ends with its memory, so that what
// is written counts at once.
func (c *Replica) processReady() {
	for c.node != nil {
		ready := c.node.Ready()
		if ready.Empty() {
			break
		}
		c.handleReady(&ready)
	}
	c.pruneContacts()
}

func (c *Replica) handleReady(ready *consensus.Ready) {
	if ready.HardState != nil {
		c.hardState = *ready.HardState
	}
	c.sendMessages(ready.EarlyMessages)
	c.node.MarkPersisted(*ready)
	c.sendMessages(ready.Messages)
	if ready.Snapshot != nil && !c.restoreSnapshot(ready.Snapshot) {
		return
	}
	for i := range ready.CommittedEntries {
		if !c.applyEntry(&ready.CommittedEntries[i]) {
			return
		}
	}
	if ready.CompactIndex > 0 {
		c.node.Compact(ready.CompactIndex, nil, 0) // whoever needs a snapshot gets the present one
	}
}

func (c *Replica) sendMessages(messages []consensus.Message) {
	for i := range messages {
		message := messages[i]
		if message.Kind == consensus.MessageInstallSnapshot {
			c.fillSnapshot(&message)
		}
		c.send(&envelope{kind: kindConsensus, to: uint64(message.To), message: message})
	}
}

// fillSnapshot puts the state as it is into the message of a snapshot: the machine of the agreement keeps none.
func (c *Replica) fillSnapshot(message *consensus.Message) {
	data := c.options.StateMachine.Snapshot()
	snapshot, newer := c.node.CreateSnapshot(c.appliedIndex, data)
	if !newer {
		snapshot = *message.Snapshot // the state has not moved on since
		snapshot.Data = data
	}
	message.Snapshot = &snapshot
}

func (c *Replica) applyEntry(entry *consensus.Entry) bool {
	c.appliedIndex = entry.Index
	if entry.Kind != consensus.EntryCommand || len(entry.Data) == 0 { // the latter: a new leader's first
		return true
	}
	if entry.Term == c.uncommittedTerm {
		c.uncommittedBytes = max(c.uncommittedBytes-len(entry.Data), 0)
	}
	result, err := c.options.StateMachine.Apply(entry.Index, entry.Data)
	if err != nil {
		c.stop("a command that it cannot take", err)
		return false
	}
	c.appliedCommands = append(c.appliedCommands, Applied{entry.Index, entry.Data, result})
	return true
}

func (c *Replica) restoreSnapshot(snapshot *consensus.Snapshot) bool {
	if err := c.options.StateMachine.Restore(snapshot.Data); err != nil {
		c.stop("a snapshot", err)
		return false
	}
	c.appliedIndex = snapshot.Index
	return true
}

// pruneContacts drops what is known of members that are no copies.
func (c *Replica) pruneContacts() {
	if c.node == nil || len(c.lastContact) <= len(c.node.Membership().Members) {
		return
	}
	for id := range c.lastContact {
		if !c.isMember(id) {
			delete(c.lastContact, id)
		}
	}
}

// TakeOutput gives the messages to be sent and the commands that were applied since the last call.
func (c *Replica) TakeOutput() (outgoing []Outgoing, applied []Applied) {
	outgoing, applied, c.outgoing, c.appliedCommands = c.outgoing, c.appliedCommands, nil, nil
	return outgoing, applied
}

// IsLeader says whether this copy leads, as far as it knows.
func (c *Replica) IsLeader() bool { return c.node != nil && c.node.Role() == consensus.Leader }

// Leader is the life that leads, as far as this copy knows; 0: none.
func (c *Replica) Leader() uint64 {
	if c.node == nil {
		return 0
	}
	return uint64(c.node.Leader())
}

// Term counts the elections.
func (c *Replica) Term() uint64 {
	if c.node == nil {
		return 0
	}
	return c.hardState.Term
}

// AppliedIndex is the last place of the log that was applied here.
func (c *Replica) AppliedIndex() uint64 { return c.appliedIndex }

// IsVoter says whether this member holds a copy that counts.
func (c *Replica) IsVoter() bool {
	counted, _ := c.Members()
	return slices.ContainsFunc(counted, func(m Member) bool { return m.ID == c.options.Self.ID })
}

// Err is why this copy has stopped; nil: it has not.
func (c *Replica) Err() error {
	if c.stopped == nil {
		return nil
	}
	return c.stopped
}

// Members are the lives that hold a copy that counts, and those that are being brought up.
func (c *Replica) Members() (voters, learners []Member) {
	if c.node == nil {
		return nil, nil
	}
	for _, m := range c.node.Membership().Members {
		if m.Voter {
			voters = append(voters, memberFromConsensus(m))
		} else {
			learners = append(learners, memberFromConsensus(m))
		}
	}
	return voters, learners
}

// isMember says whether a life is a copy, or becomes one.
func (c *Replica) isMember(id uint64) bool {
	return slices.ContainsFunc(c.node.Membership().Members, func(m consensus.Member) bool { return uint64(m.ID) == id })
}
