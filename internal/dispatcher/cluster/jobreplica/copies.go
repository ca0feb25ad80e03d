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

// inGroup is the member as the agreement keeps it: the fleet reaches it by its name, which stands for an address.
func (m Member) inGroup(voter bool) consensus.Member {
	return consensus.Member{ID: consensus.ReplicaID(m.ID), Node: m.Machine, Zone: m.Zone, Address: m.Name, Voter: voter}
}

// memberOf is what inGroup made a member of a group from.
func memberOf(m consensus.Member) Member {
	return Member{ID: uint64(m.ID), Name: m.Address, Machine: m.Node, Zone: m.Zone}
}

// Machine is the state that agreed commands make.
type Machine interface {
	// Check tells whether Apply could take the command at all. What it refuses is not proposed: it would stop all copies.
	Check(command []byte) error
	// Apply takes an agreed command; an error is that this copy cannot go on.
	Apply(index uint64, command []byte) (result any, err error)
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// Options are a copy's.
type Options struct {
	Me      Member
	Seed    uint64
	Copies  int // that there are to be: 3 or 5
	Machine Machine
	Silence float64 // seconds without a leader after which one is elected, at least; up to twice as long
	Beat    float64 // seconds between two words of a leader
	Replace float64 // seconds after which a copy that is not heard is replaced
	Cut     int     // entries after which the log is cut
	Most    int     // bytes of a command
}

// Bounds of what is sent and of what waits.
const (
	leastBeats      = 3        // in a silence
	appendBytes     = 64 << 10 // of entries in one message, or one entry
	inflight        = 64       // unanswered messages with entries to one copy
	mostUncommitted = 4 << 20  // bytes of commands that a leader has proposed and that are not agreed on yet
	mostTerms       = 1 << 32  // that a copy may have missed: more elections than there can have been
)

// A fleet's state begins here: what stands before is what its first copies were given, not log.
const (
	foundingIndex = 1
	foundingTerm  = 1
)

// consensus are the options of the agreement.
func (o *Options) consensus() consensus.Config {
	return consensus.Config{
		ID:                 consensus.ReplicaID(o.Me.ID),
		HeartbeatInterval:  duration(o.Beat),
		ElectionTimeout:    duration(max(o.Silence, leastBeats*o.Beat)),
		Seed:               o.Seed,
		MaxAppendBytes:     appendBytes,
		MaxInflightAppends: inflight,
		SnapshotThreshold:  uint64(o.Cut),
	}
}

// duration is a time in seconds as the agreement counts it.
func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

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

// Copy is this member's part in holding the state.
type Copy struct {
	o       Options
	machine *consensus.Node    // nil: this member holds no copy
	view    []Member           // who may become one
	heard   map[uint64]float64 // when members last sent something
	now     float64
	led     float64 // when a leader was last heard
	cared   float64 // when the leader last looked after the copies
	moved   float64 // when the copies were last changed
	hard    consensus.HardState
	applied uint64
	// uncommitted are bytes of commands that this copy, leading in the term, has proposed.
	uncommitted     int
	uncommittedTerm uint64
	out             []Outgoing
	done            []Applied
	stopped         *Stopped
}

// New is a member that holds no copy yet: it becomes one by Found, or when a leader's first word comes.
func New(now float64, o Options) *Copy {
	return &Copy{o: o, heard: map[uint64]float64{}, now: now, moved: now}
}

// Found begins the state with its first copies, the same list at each of them. It is called once in the life of a fleet's
// state: by hand, or by who has made sure of that.
func (c *Copy) Found(copies []Member) error {
	var founders consensus.Membership
	for _, m := range copies {
		founders.Members = append(founders.Members, m.inGroup(true))
		c.heard[m.ID] = c.now
	}
	slices.SortFunc(founders.Members, byID)
	if !slices.ContainsFunc(copies, func(m Member) bool { return m.ID == c.o.Me.ID }) {
		return &NotACopy{}
	}
	founding := consensus.Snapshot{Index: foundingIndex, Term: foundingTerm, Membership: founders}
	stored := consensus.PersistentState{HardState: consensus.HardState{Term: foundingTerm, Commit: foundingIndex}, Snapshot: founding}
	if err := stored.Validate(); err != nil {
		return err
	}
	c.start(stored)
	return nil
}

// start makes the machine of the agreement.
func (c *Copy) start(stored consensus.PersistentState) {
	c.machine = consensus.New(duration(c.now), c.o.consensus(), stored)
	c.hard, c.applied = stored.HardState, stored.Snapshot.Index
	c.led = c.now
}

func (c *Copy) stop(why string, cause error) {
	c.stopped, c.machine, c.out = &Stopped{why, cause}, nil, nil
}

// Tick moves the time on, seconds.
func (c *Copy) Tick(now float64) {
	c.now = max(c.now, now)
	if c.machine == nil {
		return
	}
	c.tick()
	if c.Leads() {
		c.led = c.now
		c.care()
	}
	c.ready()
}

// tick does what is due.
func (c *Copy) tick() {
	if at := duration(c.now); c.machine.NextTick() <= at {
		c.machine.Tick(at)
	}
}

// Step takes a message. One that is not for this life, or from nobody that may send it, is an error and changes nothing.
func (c *Copy) Step(now float64, data []byte) error {
	c.now = max(c.now, now)
	if c.stopped != nil {
		return c.stopped
	}
	e, err := open(data)
	if err != nil {
		return err
	}
	if e.to != c.o.Me.ID {
		return errors.New("copies: a message for another life")
	}
	if e.from == 0 || e.from == c.o.Me.ID {
		return errors.New("copies: a message that nobody else can send")
	}
	switch e.kind {
	case kindGone:
		return c.gone(e.from, e.index)
	case kindPropose:
		return c.takeProposal(e)
	default:
		return c.step(&e.message)
	}
}

// step takes a message of the agreement.
func (c *Copy) step(m *consensus.Message) error {
	if m.Term > c.hard.Term+mostTerms {
		return errors.New("copies: a term that no election has led to")
	}
	ofLeader := m.Kind == consensus.MessageAppend || m.Kind == consensus.MessageInstallSnapshot
	if c.machine == nil {
		if !ofLeader { // only a leader that has this life among its copies speaks first
			return &NotACopy{}
		}
		c.start(consensus.PersistentState{})
	}
	from := uint64(m.From)
	c.heard[from] = c.now
	c.machine.Step(duration(c.now), *m)
	if ofLeader && c.Leader() == from {
		c.led = c.now
	}
	if (m.Kind == consensus.MessagePreVote || m.Kind == consensus.MessageVote) && !c.holds(from) {
		c.send(&envelope{kind: kindGone, to: from, index: c.applied})
	}
	c.ready()
	return nil
}

// Propose has a command agreed; it is applied at each copy, or lost. Where no leader is known it is refused at once.
func (c *Copy) Propose(now float64, command []byte) error {
	c.now = max(c.now, now)
	switch {
	case c.stopped != nil:
		return c.stopped
	case c.machine == nil:
		return &NotACopy{}
	case len(command) > c.o.Most:
		return &TooFar{len(command), c.o.Most}
	}
	c.tick() // who slept finds out here that it leads no more
	defer c.ready()
	switch leader := c.Leader(); leader {
	case 0:
		return c.noMajority()
	case c.o.Me.ID:
		return c.propose(command)
	default:
		c.send(&envelope{kind: kindPropose, to: leader, command: command})
		return nil
	}
}

// takeProposal proposes for another copy. Where this one does not lead any more the command is lost.
func (c *Copy) takeProposal(e *envelope) error {
	switch {
	case c.machine == nil || !c.holds(e.from):
		return &NotACopy{}
	case len(e.command) > c.o.Most:
		return &TooFar{len(e.command), c.o.Most}
	}
	c.heard[e.from] = c.now
	c.tick()
	defer c.ready()
	return c.propose(e.command)
}

// propose is a leader's.
func (c *Copy) propose(command []byte) error {
	if err := c.o.Machine.Check(command); err != nil {
		return err
	}
	if c.uncommittedTerm != c.hard.Term {
		c.uncommittedTerm, c.uncommitted = c.hard.Term, 0
	}
	if c.uncommitted+len(command) > mostUncommitted {
		return c.noMajority()
	}
	if _, _, err := c.machine.Propose(duration(c.now), slices.Clone(command)); err != nil {
		return c.noMajority()
	}
	c.uncommitted += len(command)
	return nil
}

func (c *Copy) noMajority() *NoMajority {
	heard, voters := 0, 0
	for _, m := range c.machine.Membership().Members {
		if !m.Voter {
			continue
		}
		voters++
		id := uint64(m.ID)
		if id == c.o.Me.ID || c.now-c.heard[id] < c.o.Silence {
			heard++
		}
	}
	return &NoMajority{heard, voters, int64(1000 * (c.now - c.led)), int64(2000 * c.o.Silence)}
}

// HandOver gives the lead to another copy, before this process ends.
func (c *Copy) HandOver() bool {
	if !c.Leads() {
		return false
	}
	c.machine.TransferLeadership(duration(c.now), 0)
	handing := c.machine.Transferring()
	c.ready()
	return handing
}

// ready does what the agreement asks for: sends, applies. A copy has no disk: its life ends with its memory, so that what
// is written counts at once.
func (c *Copy) ready() {
	for c.machine != nil {
		r := c.machine.Ready()
		if r.Empty() {
			break
		}
		c.carryOut(&r)
	}
	c.forget()
}

func (c *Copy) carryOut(r *consensus.Ready) {
	if r.HardState != nil {
		c.hard = *r.HardState
	}
	c.sendAll(r.EarlyMessages)
	c.machine.MarkPersisted(*r)
	c.sendAll(r.Messages)
	if r.Snapshot != nil && !c.restore(r.Snapshot) {
		return
	}
	for i := range r.CommittedEntries {
		if !c.apply(&r.CommittedEntries[i]) {
			return
		}
	}
	if r.CompactIndex > 0 {
		c.machine.Compact(r.CompactIndex, nil, 0) // whoever needs a snapshot gets the present one
	}
}

func (c *Copy) sendAll(messages []consensus.Message) {
	for i := range messages {
		m := messages[i]
		if m.Kind == consensus.MessageInstallSnapshot {
			c.fillSnapshot(&m)
		}
		c.send(&envelope{kind: kindAgreement, to: uint64(m.To), message: m})
	}
}

// fillSnapshot puts the state as it is into the message of a snapshot: the machine of the agreement keeps none.
func (c *Copy) fillSnapshot(m *consensus.Message) {
	data := c.o.Machine.Snapshot()
	snapshot, newer := c.machine.CreateSnapshot(c.applied, data)
	if !newer {
		snapshot = *m.Snapshot // the state has not moved on since
		snapshot.Data = data
	}
	m.Snapshot = &snapshot
}

func (c *Copy) apply(e *consensus.Entry) bool {
	c.applied = e.Index
	if e.Kind != consensus.EntryCommand || len(e.Data) == 0 { // the latter: a new leader's first
		return true
	}
	if e.Term == c.uncommittedTerm {
		c.uncommitted = max(c.uncommitted-len(e.Data), 0)
	}
	result, err := c.o.Machine.Apply(e.Index, e.Data)
	if err != nil {
		c.stop("a command that it cannot take", err)
		return false
	}
	c.done = append(c.done, Applied{e.Index, e.Data, result})
	return true
}

func (c *Copy) restore(s *consensus.Snapshot) bool {
	if err := c.o.Machine.Restore(s.Data); err != nil {
		c.stop("a snapshot", err)
		return false
	}
	c.applied = s.Index
	return true
}

// forget drops what is known of members that are no copies.
func (c *Copy) forget() {
	if c.machine == nil || len(c.heard) <= len(c.machine.Membership().Members) {
		return
	}
	for id := range c.heard {
		if !c.holds(id) {
			delete(c.heard, id)
		}
	}
}

// Take gives the messages to be sent and the commands that were applied since the last call.
func (c *Copy) Take() (out []Outgoing, done []Applied) {
	out, done, c.out, c.done = c.out, c.done, nil, nil
	return out, done
}

// Leads says whether this copy leads, as far as it knows.
func (c *Copy) Leads() bool { return c.machine != nil && c.machine.Role() == consensus.Leader }

// Leader is the life that leads, as far as this copy knows; 0: none.
func (c *Copy) Leader() uint64 {
	if c.machine == nil {
		return 0
	}
	return uint64(c.machine.Leader())
}

// Term counts the elections.
func (c *Copy) Term() uint64 {
	if c.machine == nil {
		return 0
	}
	return c.hard.Term
}

// Index is the last place of the log that was applied here.
func (c *Copy) Index() uint64 { return c.applied }

// Holds says whether this member holds a copy that counts.
func (c *Copy) Holds() bool {
	counted, _ := c.Copies()
	return slices.ContainsFunc(counted, func(m Member) bool { return m.ID == c.o.Me.ID })
}

// Err is why this copy has stopped; nil: it has not.
func (c *Copy) Err() error {
	if c.stopped == nil {
		return nil
	}
	return c.stopped
}

// Copies are the lives that hold a copy that counts, and those that are being brought up.
func (c *Copy) Copies() (counted, coming []Member) {
	if c.machine == nil {
		return nil, nil
	}
	for _, m := range c.machine.Membership().Members {
		if m.Voter {
			counted = append(counted, memberOf(m))
		} else {
			coming = append(coming, memberOf(m))
		}
	}
	return counted, coming
}

// holds says whether a life is a copy, or becomes one.
func (c *Copy) holds(id uint64) bool {
	return slices.ContainsFunc(c.machine.Membership().Members, func(m consensus.Member) bool { return uint64(m.ID) == id })
}
