package replica

import (
	"strings"
	"testing"
	"time"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/feed"
)

// scriptedGroup is a group whose other members are played by the test. Its disk writes at once.
type scriptedGroup struct {
	t        *testing.T
	group    *group
	now      time.Duration
	jobs     []writeJob
	lastSent map[consensus.MessageKind]consensus.Message // last message sent, by kind
}

// newScriptedGroup returns replica 1 of three voters.
func newScriptedGroup(t *testing.T) *scriptedGroup {
	t.Helper()
	scripted := &scriptedGroup{
		t:        t,
		group:    newGroup(feed.ConfigurationPartition, &listState{}),
		now:      time.Second,
		lastSent: map[consensus.MessageKind]consensus.Message{},
	}
	var stored consensus.PersistentState
	for id := consensus.ReplicaID(1); id <= 3; id++ {
		stored.Snapshot.Membership.Members = append(stored.Snapshot.Membership.Members, consensus.Member{ID: id, Voter: true})
	}
	options := nodeOptions(1, 1, defaultHeartbeatInterval, defaultElectionTimeout)
	if err := scripted.group.start(scripted.now, options, stored); err != nil {
		t.Fatal(err)
	}
	return scripted
}

func (s *scriptedGroup) send(_ *group, messages []consensus.Message) {
	for _, message := range messages {
		s.lastSent[message.Kind] = message
	}
}

func (s *scriptedGroup) enqueueWrite(j writeJob) { s.jobs = append(s.jobs, j) }

// processReady handles all output of the node.
func (s *scriptedGroup) processReady() {
	s.t.Helper()
	for more := true; more; {
		if err := s.group.processReady(s); err != nil {
			s.t.Fatal(err)
		}
		jobs := s.jobs
		s.jobs = nil
		for i := range jobs {
			s.group.handlePersisted(&jobs[i], s)
		}
		more = len(jobs) > 0
	}
}

// step passes a message to the node.
func (s *scriptedGroup) step(message consensus.Message) {
	s.t.Helper()
	message.To = 1
	s.group.node.Step(s.now, message)
	s.processReady()
}

// elect lets the group win an election with the vote of replica 2.
func (s *scriptedGroup) elect() {
	s.t.Helper()
	s.now = s.group.node.NextTick()
	s.group.node.Tick(s.now)
	s.processReady()
	s.step(consensus.Message{Kind: consensus.MessagePreVoteReply, From: 2, Term: s.lastSent[consensus.MessagePreVote].Term})
	s.step(consensus.Message{Kind: consensus.MessageVoteReply, From: 2, Term: s.lastSent[consensus.MessageVote].Term})
	if s.group.node.Role() != consensus.Leader {
		s.t.Fatal("the election was lost")
	}
}

// propose proposes a command, which must be accepted.
func (s *scriptedGroup) propose(command string) *proposal {
	s.t.Helper()
	pending := s.group.propose(s.now, []byte(command))
	if pending == nil {
		s.t.Fatal("the proposal was rejected")
	}
	s.processReady()
	return pending
}

// receivedOutcome returns the outcome that a proposal was resolved with, if it was.
func receivedOutcome(p *proposal) (outcome Outcome, received bool) {
	select {
	case reply := <-p.done:
		return reply.Outcome, true
	default:
		return 0, false
	}
}

// TestReplacedProposalOutcomeUnknown has another leader overwrite an uncommitted entry, after which this replica
// leads again and proposes at the same index. A member that was not reached meanwhile may still have the first entry
// and get it committed, so its outcome is unknown.
func TestReplacedProposalOutcomeUnknown(t *testing.T) {
	scripted := newScriptedGroup(t)
	scripted.elect()
	scripted.propose("keeps its place")
	first := scripted.propose("is displaced")
	before := scripted.lastSent[consensus.MessageVote].Term
	scripted.step(consensus.Message{
		Kind:    consensus.MessageAppend,
		From:    3,
		Term:    before + 1,
		Round:   1,
		Entries: []consensus.Entry{{Index: 1, Term: before + 1}},
	})
	if _, received := receivedOutcome(first); received {
		t.Fatal("an outcome was reported before one was known")
	}
	scripted.elect()
	for scripted.group.proposals[first.index] == first {
		scripted.propose("displaces")
	}
	if outcome, received := receivedOutcome(first); !received || outcome != OutcomeUnknown {
		t.Errorf("outcome %d, received %v; want OutcomeUnknown", outcome, received)
	}
}

// TestLargeCommandIsAppendedOnce checks that a large command that is proposed again while it is uncommitted waits for
// the same entry, and that all pending proposals are resolved but for abandoned ones.
func TestLargeCommandIsAppendedOnce(t *testing.T) {
	scripted := newScriptedGroup(t)
	scripted.elect()
	large := strings.Repeat("x", bulkThresholdBytes)
	waiting := []*proposal{scripted.propose(large), scripted.propose(large), scripted.propose(large)}
	if last := scripted.group.node.Status().LastIndex; last != waiting[0].index {
		t.Fatalf("the last index of the log is %d, and the command's is %d", last, waiting[0].index)
	}
	scripted.group.abandonProposal(waiting[1])
	scripted.step(consensus.Message{
		Kind:  consensus.MessageAppendReply,
		From:  2,
		Term:  scripted.lastSent[consensus.MessageVote].Term,
		Index: waiting[0].index,
	})
	for i, p := range waiting {
		if outcome, received := receivedOutcome(p); received != (i != 1) || received && outcome != OutcomeCommitted {
			t.Errorf("proposal %d: outcome %d, received %v", i, outcome, received)
		}
	}
	if again := scripted.propose(large); again.index == waiting[0].index {
		t.Error("a committed command still counts as uncommitted")
	}
}

// TestOverwrittenProposalDropped commits another entry at a proposal's index.
func TestOverwrittenProposalDropped(t *testing.T) {
	s := newScriptedGroup(t)
	s.elect()
	lost := s.propose("is lost")
	term := s.lastSent[consensus.MessageVote].Term + 1
	s.step(consensus.Message{
		Kind:    consensus.MessageAppend,
		From:    3,
		Term:    term,
		Round:   1,
		Commit:  lost.index,
		Entries: []consensus.Entry{{Index: 1, Term: term}, {Index: 2, Term: term, Data: []byte("another")}},
	})
	if outcome, received := receivedOutcome(lost); !received || outcome != OutcomeDropped {
		t.Errorf("outcome %d, received %v; want OutcomeDropped", outcome, received)
	}
}

// TestProposalCommitsOnMajority checks that a proposer receives the state machine's result once a majority has the
// entry.
func TestProposalCommitsOnMajority(t *testing.T) {
	scripted := newScriptedGroup(t)
	scripted.elect()
	pending := scripted.propose("a command")
	if _, received := receivedOutcome(pending); received {
		t.Fatal("an outcome was reported before a majority had the entry")
	}
	scripted.step(consensus.Message{Kind: consensus.MessageAppendReply, From: 2, Term: pending.term, Index: pending.index})
	select {
	case reply := <-pending.done:
		if reply.Outcome != OutcomeCommitted || string(reply.Result) != "1:a command" {
			t.Errorf("outcome %d, %q", reply.Outcome, reply.Result)
		}
	default:
		t.Error("no outcome was reported")
	}
}

// TestStalledDiskBoundsQueue checks that heartbeats are still accepted while a write hangs, and that the number of
// queued jobs is bounded.
func TestStalledDiskBoundsQueue(t *testing.T) {
	scripted := newScriptedGroup(t)
	heartbeat := consensus.Message{
		Kind:    consensus.MessageAppend,
		From:    2,
		To:      1,
		Term:    1,
		Round:   1,
		Entries: []consensus.Entry{{Index: 1, Term: 1}},
	}
	for heartbeat.Round < 4*maxQueuedJobs {
		scripted.now += defaultHeartbeatInterval
		scripted.group.node.Step(scripted.now, heartbeat)
		if err := scripted.group.processReady(scripted); err != nil {
			t.Fatal(err)
		}
		heartbeat.Round++
		heartbeat.Entries = nil
		heartbeat.Index, heartbeat.LogTerm = 1, 1
	}
	if len(scripted.jobs) > maxQueuedJobs || scripted.group.node.Leader() != 2 {
		t.Errorf("%d jobs wait, and %d leads", len(scripted.jobs), scripted.group.node.Leader())
	}
	scripted.lastSent = map[consensus.MessageKind]consensus.Message{}
	jobs := scripted.jobs
	scripted.jobs = nil
	for i := range jobs {
		scripted.group.handlePersisted(&jobs[i], scripted)
	}
	scripted.step(heartbeat)
	if reply := scripted.lastSent[consensus.MessageAppendReply]; reply.Index != 1 || reply.Round != heartbeat.Round {
		t.Errorf("once the write has ended the reply is %+v", reply)
	}
}
