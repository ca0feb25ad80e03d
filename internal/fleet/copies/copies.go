// Package copies has several members hold the same state for the fleet: what a majority of them has agreed is there for good. The
// agreement is the state machine of go.etcd.io/raft; here are its time, its random numbers, who the copies are, and its bounds. Pure: no I/O,
// no clock, random numbers from a seed; the same input gives the same output.
package copies

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"cinderroad/internal/fleet/membership"
)

// Member is a life of a member that may hold a copy.
type Member struct {
	ID      uint64 `cbor:"1,keyasint"` // of this life alone: who lost its memory comes back as another (P3)
	Name    string `cbor:"2,keyasint"`
	Machine string `cbor:"3,keyasint"` // what fails together
	Zone    string `cbor:"4,keyasint"`
}

// Machine is the state that agreed commands make.
type Machine interface {
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

// beats are those of a silence.
func (o *Options) beats() int { return max(int(o.Silence/o.Beat), 3) }

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
	rng     *rand.Rand
	node    *raft.RawNode // nil: this member holds no copy
	store   *raft.MemoryStorage
	conf    *raftpb.ConfState
	members map[uint64]Member // all that are or were proposed as copies
	heard   map[uint64]float64
	view    []Member // who may become one
	now     float64
	ticked  float64
	quiet   float64 // since when nobody has led or stood for election here
	led     float64 // when a leader was last heard
	elect   float64 // after so long of it this one stands for election
	applied uint64
	cutAt   uint64
	anew    bool               // a snapshot is due, whatever the log holds
	snaps   map[uint64]float64 // when snapshots were sent that may be on their way
	moved   float64            // when the copies were last changed
	out     []Outgoing
	done    []Applied
	stopped *Stopped
}

// image is what a snapshot holds: who the copies are, and the state.
type image struct {
	Members []Member `cbor:"1,keyasint"`
	State   []byte   `cbor:"2,keyasint"`
}

const mostTerms = 1 << 32 // that a copy may have missed: more elections than there can have been

var decoding = membership.Strict(6, 32)

// New is a member that holds no copy yet: it becomes one by Found, or when a leader's first word comes.
func New(now float64, o Options) *Copy {
	c := &Copy{o: o, rng: rand.New(rand.NewPCG(o.Seed, o.Me.ID)), members: map[uint64]Member{}, heard: map[uint64]float64{}, snaps: map[uint64]float64{}, now: now, ticked: now, moved: now}
	return c
}

// Found begins the state with its first copies, the same list at each of them. It is called once in the life of a fleet's state: by hand, or by
// who has made sure of that.
func (c *Copy) Found(copies []Member) error {
	conf := &raftpb.ConfState{}
	for _, m := range copies {
		conf.Voters = append(conf.Voters, m.ID)
		c.members[m.ID] = m
		c.heard[m.ID] = c.now
	}
	slices.Sort(conf.Voters)
	if !slices.Contains(conf.Voters, c.o.Me.ID) {
		return &NotACopy{}
	}
	c.start(conf, 1, 1)
	return nil
}

// start makes the state machine of the agreement.
func (c *Copy) start(conf *raftpb.ConfState, index, term uint64) {
	c.store = raft.NewMemoryStorage()
	if index > 0 {
		snapshot := &raftpb.Snapshot{Data: c.image(), Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: new(index), Term: new(term)}}
		if err := c.store.ApplySnapshot(snapshot); err != nil {
			c.stop("its first snapshot", err)
			return
		}
		_ = c.store.SetHardState(&raftpb.HardState{Term: new(term), Vote: new(uint64(0)), Commit: new(index)})
	}
	c.conf, c.applied, c.cutAt = conf, index, index
	node, err := raft.NewRawNode(&raft.Config{
		ID: c.o.Me.ID, Storage: c.store, Applied: index, Logger: silent{},
		ElectionTick: c.o.beats(), HeartbeatTick: 1, CheckQuorum: true, PreVote: true, StepDownOnRemoval: true,
		MaxSizePerMsg: 64 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 4 << 20, MaxCommittedSizePerReady: 1 << 20,
	})
	if err != nil {
		c.stop("its settings", err)
		return
	}
	c.node, c.led = node, c.now
	c.hush()
}

// hush begins to wait for a leader anew. The waits differ, or all would stand for election at once.
func (c *Copy) hush() {
	c.quiet, c.elect = c.now, c.o.Silence*(1+c.rng.Float64())
}

func (c *Copy) stop(why string, cause error) {
	c.stopped, c.node, c.out = &Stopped{why, cause}, nil, nil
}

// guard has the copy stop where the library finds what cannot be: a message that is none of its own making, a log that was lost.
func (c *Copy) guard(why string) {
	if p := recover(); p != nil {
		c.stop(why, fmt.Errorf("%v", p))
	}
}

// Tick moves the time on, seconds.
func (c *Copy) Tick(now float64) {
	defer c.guard("its time")
	c.now = max(c.now, now)
	if c.node == nil {
		return
	}
	// Who slept does not make up for it beat by beat: what it was is over, and it has to hear first.
	if late := c.now - c.ticked; late > c.o.Silence {
		c.ticked = c.now
		for range 2 * c.o.beats() { // two checks of its own: the first may still count who answered before the sleep
			if !c.Leads() {
				break
			}
			c.node.Tick()
		}
		c.hush()
	}
	for c.ticked+c.o.Beat <= c.now && c.node != nil {
		c.ticked += c.o.Beat
		switch status := c.node.BasicStatus(); {
		case status.RaftState == raft.StateLeader:
			c.node.Tick()
			c.quiet, c.led = c.now, c.now
			c.care()
		default:
			c.node.TickQuiesced()
			if c.now-c.quiet >= c.elect && c.votes() {
				c.hush()
				_ = c.node.Campaign()
			}
		}
	}
	c.ready()
}

// votes says whether this copy may be elected.
func (c *Copy) votes() bool {
	return slices.Contains(c.conf.GetVoters(), c.o.Me.ID)
}

// Step takes a message. One that is not for this life, or from nobody that may send it, is an error and changes nothing.
func (c *Copy) Step(now float64, data []byte) error {
	c.now = max(c.now, now)
	if c.stopped != nil {
		return c.stopped
	}
	if from, index, is := isGone(data); is {
		return c.gone(from, index)
	}
	var m raftpb.Message
	if err := proto.Unmarshal(data, &m); err != nil {
		return fmt.Errorf("copies: a broken message: %w", err)
	}
	if m.GetTo() != c.o.Me.ID {
		return errors.New("copies: a message for another life")
	}
	if raft.IsLocalMsg(m.GetType()) || m.GetFrom() == 0 || m.GetFrom() == c.o.Me.ID {
		return errors.New("copies: a message that nobody else can send")
	}
	if m.GetTerm() > c.Term()+mostTerms {
		return errors.New("copies: a term that no election has led to")
	}
	if c.node == nil {
		switch m.GetType() { // only a leader that has this life among its copies speaks first
		case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
			c.start(&raftpb.ConfState{}, 0, 0)
		default:
			return &NotACopy{}
		}
	}
	defer c.guard("a message")
	c.heard[m.GetFrom()] = c.now
	err := c.node.Step(&m)
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if c.node != nil && c.node.BasicStatus().Lead == m.GetFrom() {
			c.led = c.now
			c.hush()
		}
	case raftpb.MsgPreVote, raftpb.MsgVote:
		if !c.holds(m.GetFrom()) {
			c.out = append(c.out, c.sayGone(m.GetFrom()))
		}
	}
	c.ready()
	return err
}

// Propose has a command agreed; it is applied at each copy, or lost. Where no leader is known it is refused at once.
func (c *Copy) Propose(now float64, command []byte) (err error) {
	c.now = max(c.now, now)
	switch {
	case c.stopped != nil:
		return c.stopped
	case c.node == nil:
		return &NotACopy{}
	case len(command) > c.o.Most:
		return &TooFar{len(command), c.o.Most}
	case c.Leader() == 0:
		return c.noMajority()
	}
	defer c.guard("a proposal")
	if err := c.node.Propose(command); err != nil {
		return c.noMajority()
	}
	c.ready()
	return nil
}

func (c *Copy) noMajority() *NoMajority {
	heard := 0
	for _, id := range c.conf.GetVoters() {
		if id == c.o.Me.ID || c.now-c.heard[id] < c.o.Silence {
			heard++
		}
	}
	return &NoMajority{heard, len(c.conf.GetVoters()), int64(1000 * (c.now - c.led)), int64(2000 * c.o.Silence)}
}

// HandOver gives the lead to another copy, before this process ends.
func (c *Copy) HandOver() bool {
	if !c.Leads() {
		return false
	}
	defer c.guard("handing over")
	best, match := uint64(0), uint64(0)
	c.node.WithProgress(func(id uint64, kind raft.ProgressType, p tracker.Progress) {
		if id != c.o.Me.ID && kind == raft.ProgressTypePeer && p.Match >= match && c.now-c.heard[id] < c.o.Silence {
			best, match = id, p.Match
		}
	})
	if best != 0 {
		c.node.TransferLeader(best)
		c.ready()
	}
	return best != 0
}

// ready does what the agreement asks for: keeps, sends, applies.
func (c *Copy) ready() {
	for c.node != nil && c.node.HasReady() {
		rd := c.node.Ready()
		if rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) && !c.restore(rd.Snapshot) {
			return
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			_ = c.store.SetHardState(rd.HardState)
		}
		if err := c.store.Append(rd.Entries); err != nil {
			c.stop("its log", err)
			return
		}
		for _, m := range rd.Messages {
			data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
			if err != nil {
				c.stop("a message of its own", err)
				return
			}
			c.out = append(c.out, Outgoing{m.GetTo(), data})
			if m.GetType() == raftpb.MsgSnap {
				c.snaps[m.GetTo()] = c.now
			}
		}
		for _, e := range rd.CommittedEntries {
			if !c.apply(e) {
				return
			}
		}
		c.node.Advance(rd)
	}
	c.cut()
}

func (c *Copy) apply(e *raftpb.Entry) bool {
	c.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChangeV2:
		var change raftpb.ConfChangeV2
		if err := proto.Unmarshal(e.GetData(), &change); err != nil {
			c.stop("a change of the copies", err)
			return false
		}
		var m Member
		if len(change.GetContext()) > 0 {
			if err := decoding.Unmarshal(change.GetContext(), &m); err != nil {
				c.stop("a change of the copies", err)
				return false
			}
			c.members[m.ID] = m
			c.heard[m.ID] = c.now
		}
		c.conf = c.node.ApplyConfChange(&change)
		c.forget()
		c.anew = true // a new copy takes no snapshot that does not name it
	case raftpb.EntryNormal:
		if len(e.GetData()) == 0 {
			return true // a new leader's first
		}
		result, err := c.o.Machine.Apply(e.GetIndex(), e.GetData())
		if err != nil {
			c.stop("a command that it cannot take", err)
			return false
		}
		c.done = append(c.done, Applied{e.GetIndex(), e.GetData(), result})
	}
	return true
}

// forget drops members that are no copies.
func (c *Copy) forget() {
	for id := range c.members {
		if !c.holds(id) {
			delete(c.members, id)
			delete(c.heard, id)
		}
	}
}

// holds says whether a life is a copy, or becomes one.
func (c *Copy) holds(id uint64) bool {
	return slices.Contains(c.conf.GetVoters(), id) || slices.Contains(c.conf.GetLearners(), id) ||
		slices.Contains(c.conf.GetVotersOutgoing(), id) || slices.Contains(c.conf.GetLearnersNext(), id)
}

func (c *Copy) image() []byte {
	im := image{State: c.o.Machine.Snapshot()}
	for _, m := range c.members {
		im.Members = append(im.Members, m)
	}
	slices.SortFunc(im.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return membership.Deterministic(&im)
}

func (c *Copy) restore(s *raftpb.Snapshot) bool {
	var im image
	err := decoding.Unmarshal(s.GetData(), &im)
	if err == nil {
		err = c.o.Machine.Restore(im.State)
	}
	if err == nil {
		err = c.store.ApplySnapshot(s)
	}
	if err != nil {
		c.stop("a snapshot", err)
		return false
	}
	c.members = map[uint64]Member{}
	for _, m := range im.Members {
		c.members[m.ID] = m
		c.heard[m.ID] = c.now
	}
	c.conf = s.GetMetadata().GetConfState()
	c.applied, c.cutAt = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	return true
}

// cut makes a snapshot once enough has been applied, and keeps half as much of the log for copies that are a little behind.
func (c *Copy) cut() {
	if c.node == nil || c.applied < c.cutAt+uint64(c.o.Cut) && !c.anew {
		return
	}
	c.anew = false
	if _, err := c.store.CreateSnapshot(c.applied, c.conf, c.image()); err != nil {
		c.stop("a snapshot of its own", err)
		return
	}
	c.cutAt = c.applied
	if keep := uint64(c.o.Cut / 2); c.applied > keep {
		if first, _ := c.store.FirstIndex(); c.applied-keep > first {
			if err := c.store.Compact(c.applied - keep); err != nil {
				c.stop("cutting its log", err)
			}
		}
	}
}

// Take gives the messages to be sent and the commands that were applied since the last call.
func (c *Copy) Take() (out []Outgoing, done []Applied) {
	out, done, c.out, c.done = c.out, c.done, nil, nil
	return out, done
}

// Leads says whether this copy leads, as far as it knows.
func (c *Copy) Leads() bool {
	return c.node != nil && c.node.BasicStatus().RaftState == raft.StateLeader
}

// Leader is the life that leads, as far as this copy knows; 0: none.
func (c *Copy) Leader() uint64 {
	if c.node == nil {
		return 0
	}
	return c.node.BasicStatus().Lead
}

// Term counts the elections.
func (c *Copy) Term() uint64 {
	if c.node == nil {
		return 0
	}
	return c.node.BasicStatus().GetTerm()
}

// Index is the last place of the log that was applied here.
func (c *Copy) Index() uint64 { return c.applied }

// Holds says whether this member holds a copy that counts.
func (c *Copy) Holds() bool { return c.node != nil && c.votes() }

// Err is why this copy has stopped; nil: it has not.
func (c *Copy) Err() error {
	if c.stopped == nil {
		return nil
	}
	return c.stopped
}

// Copies are the lives that hold a copy that counts, and those that are being brought up.
func (c *Copy) Copies() (counted, coming []Member) {
	for _, id := range c.conf.GetVoters() {
		counted = append(counted, c.members[id])
	}
	for _, id := range c.conf.GetLearners() {
		coming = append(coming, c.members[id])
	}
	return counted, coming
}
