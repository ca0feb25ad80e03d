package jobreplica

import (
	"errors"
	"slices"

	"cinderroad/internal/system/consensus"
)

// A bootstrapped log begins here: the first replicas hold the membership as a snapshot, not as a log entry.
const (
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// maxTermGap is how far a message's term may be ahead: more elections than there can have been. It keeps a corrupt message
// from exhausting the terms.
const maxTermGap = 1 << 32

var (
	errOtherIncarnation = errors.New("job replica: message for another incarnation")
	errInvalidSender    = errors.New("job replica: message with an invalid sender")
	errTermGap          = errors.New("job replica: message of a term too far ahead")
	errUninformed       = errors.New("job replica: report of a replacement by a replica that can't know")
)

// Outgoing is data for another member: a message, or a datagram of one.
type Outgoing struct {
	To   uint64 // Member.ID
	Data []byte
}

// Applied is a command that was committed and applied here.
type Applied struct {
	Index   uint64 // in the log
	Command []byte
	Result  any // of StateMachine.Apply
}

// Replica is a member's part in the replication. The package comment tells how to use it. Its times are in seconds.
type Replica struct {
	options             Options
	node                *consensus.Node    // nil: this member holds no replica, or its replica has stopped
	candidates          []Member           // that may become replicas
	lastContact         map[uint64]float64 // time of the last message of each replica, by ID; for NoMajorityError alone
	now                 float64            // the latest time that a call has brought
	leaderSeenAt        float64            // when this replica led, or received a message of the leader
	maintainedAt        float64            // last run of maintainMembership
	membershipChangedAt float64            // last membership change that this replica has proposed
	hardState           consensus.HardState
	appliedIndex        uint64
	uncommittedBytes    int // of the commands that this replica has proposed as the leader of uncommittedTerm
	uncommittedTerm     uint64
	outgoing            []Outgoing
	appliedCommands     []Applied
	stopped             *StoppedError // nil: running
}

// New returns a member that holds no replica. It gets one by Bootstrap, or when a leader first sends entries or a snapshot.
func New(now float64, options Options) *Replica {
	return &Replica{options: options, lastContact: map[uint64]float64{}, now: now, membershipChangedAt: now}
}

// Bootstrap creates the replicated state with its first replicas. It must be called with the same list at each of them, and
// once for a cluster's state: the caller ensures that. It returns a *NotReplicaError if this member is not listed.
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
	persistent := consensus.PersistentState{
		HardState: consensus.HardState{Term: bootstrapTerm, Commit: bootstrapIndex},
		Snapshot:  snapshot,
	}
	if err := persistent.Validate(); err != nil {
		return err
	}
	r.startNode(persistent)
	return nil
}

// startNode starts the consensus node.
func (r *Replica) startNode(persistent consensus.PersistentState) {
	r.node = consensus.New(secondsToDuration(r.now), r.options.consensusConfig(), persistent)
	r.hardState = persistent.HardState
	r.appliedIndex = persistent.Snapshot.Index
	r.leaderSeenAt = r.now
}

// stop ends this replica for good.
func (r *Replica) stop(reason string, cause error) {
	r.stopped = &StoppedError{reason, cause}
	r.node = nil
	r.outgoing = nil
}

// Tick advances the time to now.
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

// tickNode runs the timers that are due.
func (r *Replica) tickNode() {
	if at := secondsToDuration(r.now); r.node.NextTick() <= at {
		r.node.Tick(at)
	}
}

// Step processes a message. One that is for another incarnation, or that the sender may not send, is an error and changes
// nothing.
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
		return errOtherIncarnation
	}
	if received.from == 0 || received.from == r.options.Self.ID {
		return errInvalidSender
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

// stepNode processes a message of the consensus.
func (r *Replica) stepNode(message *consensus.Message) error {
	if message.Term > r.hardState.Term+maxTermGap {
		return errTermGap
	}
	fromLeader := message.Kind == consensus.MessageAppend || message.Kind == consensus.MessageInstallSnapshot
	if r.node == nil {
		if !fromLeader { // only a leader that has this incarnation among its members makes it a replica
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
	isVoteRequest := message.Kind == consensus.MessagePreVote || message.Kind == consensus.MessageVote
	if isVoteRequest && !r.isMember(from) {
		r.send(&envelope{kind: kindReplaced, to: from, appliedIndex: r.appliedIndex})
	}
	r.processReady()
	return nil
}

// handleReplaced processes the report that this incarnation is no longer a member. The sender must be a member, as far as
// this replica knows, and have applied more entries: one that has applied fewer may not know yet that this one became a
// member. A replica that a leader contacts has not been replaced.
func (r *Replica) handleReplaced(from, index uint64) error {
	if r.node == nil || !r.isMember(from) || index <= r.appliedIndex || r.now-r.leaderSeenAt < r.options.ElectionTimeout {
		return errUninformed
	}
	r.stop("it was replaced", &ReplacedError{r.options.Self.ID, index})
	return r.stopped
}

// TransferLeadership hands the leadership to another replica, before this process ends. It reports whether the transfer has
// started; Leader tells its outcome.
func (r *Replica) TransferLeadership() bool {
	if !r.IsLeader() {
		return false
	}
	r.node.TransferLeadership(secondsToDuration(r.now), 0)
	transferring := r.node.Transferring()
	r.processReady()
	return transferring
}

// TakeOutput returns the messages to be sent and the commands that were applied since the last call.
func (r *Replica) TakeOutput() (outgoing []Outgoing, applied []Applied) {
	outgoing, r.outgoing = r.outgoing, nil
	applied, r.appliedCommands = r.appliedCommands, nil
	return outgoing, applied
}

// IsLeader reports whether this replica leads, as far as it knows.
func (r *Replica) IsLeader() bool { return r.node != nil && r.node.Role() == consensus.Leader }

// Leader returns the ID of the leader, as far as this replica knows; 0: none.
func (r *Replica) Leader() uint64 {
	if r.node == nil {
		return 0
	}
	return uint64(r.node.Leader())
}

// Term returns the current term; 0: no replica.
func (r *Replica) Term() uint64 {
	if r.node == nil {
		return 0
	}
	return r.hardState.Term
}

// AppliedIndex returns the index of the last log entry applied here.
func (r *Replica) AppliedIndex() uint64 { return r.appliedIndex }

// IsVoter reports whether this member holds a replica that votes.
func (r *Replica) IsVoter() bool {
	voters, _ := r.Members()
	return slices.ContainsFunc(voters, func(m Member) bool { return m.ID == r.options.Self.ID })
}

// Err returns a *StoppedError once this replica has stopped; errors.As finds a *ReplacedError in it if that was the cause.
func (r *Replica) Err() error {
	if r.stopped == nil {
		return nil
	}
	return r.stopped
}

// Members returns the members that hold replicas: voters, and learners, which are being brought up to date.
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

// isMember reports whether the incarnation is a voter or a learner. There must be a node.
func (r *Replica) isMember(id uint64) bool {
	return slices.ContainsFunc(r.node.Membership().Members, func(m consensus.Member) bool { return uint64(m.ID) == id })
}
