package jobreplica

import (
	"bytes"
	"errors"
	"slices"
	"testing"

	"cinderroad/internal/system/consensus"
)

var errUnreadable = errors.New("unreadable")

// statelessMachine is a state machine that keeps nothing.
type statelessMachine struct{}

func (statelessMachine) Check(command []byte) error {
	if string(command) == "unreadable" {
		return errUnreadable
	}
	return nil
}

func (statelessMachine) Apply(uint64, []byte) (any, error) { return nil, nil }
func (statelessMachine) Snapshot() []byte                  { return nil }
func (statelessMachine) Restore([]byte) error              { return nil }

// startThree is one of three copies of which the others are played by the test.
func startThree(t *testing.T) *Replica {
	t.Helper()
	members := []Member{{ID: 1, Name: "a", Host: "a"}, {ID: 2, Name: "b", Host: "b"}, {ID: 3, Name: "c", Host: "c"}}
	replica := New(1, Options{Self: members[0], Seed: 1, Replicas: 3, StateMachine: statelessMachine{}, ElectionTimeout: 1, HeartbeatInterval: 0.1, ReplaceAfter: 8, CompactionThreshold: 64,
		MaxCommandBytes: 64 << 10})
	if err := replica.Bootstrap(members); err != nil {
		t.Fatal(err)
	}
	return replica
}

// takeSent are the messages of a kind that a copy has sent since the last call.
func takeSent(t *testing.T, replica *Replica, kind consensus.MessageKind) (messages []consensus.Message) {
	t.Helper()
	out, _ := replica.TakeOutput()
	for _, o := range out {
		decoded, err := decodeEnvelope(o.Data)
		if err != nil || decoded.to != o.To || decoded.from != replica.options.Self.ID {
			t.Fatalf("%+v, %v", decoded, err)
		}
		if decoded.kind == kindConsensus && decoded.message.Kind == kind {
			messages = append(messages, decoded.message)
		}
	}
	return messages
}

func deliver(t *testing.T, replica *Replica, now float64, message consensus.Message) {
	t.Helper()
	message.To = 1
	if err := replica.Step(now, (&envelope{kind: kindConsensus, message: message}).encode()); err != nil {
		t.Fatal(err)
	}
}

// electFirst has copy 1 win an election at 4 s by the vote of copy 2.
func electFirst(t *testing.T, replica *Replica) {
	t.Helper()
	replica.Tick(4)
	requests := takeSent(t, replica, consensus.MessagePreVote)
	deliver(t, replica, 4, consensus.Message{Kind: consensus.MessagePreVoteReply, From: 2, Term: requests[0].Term})
	requests = takeSent(t, replica, consensus.MessageVote)
	deliver(t, replica, 4, consensus.Message{Kind: consensus.MessageVoteReply, From: 2, Term: requests[0].Term})
	if !replica.IsLeader() {
		t.Fatal("it does not lead")
	}
}

func TestEnvelopeRoundTrip(t *testing.T) {
	for _, e := range []envelope{
		{kind: kindConsensus, from: 1, to: 2, message: consensus.Message{Kind: consensus.MessageVote, From: 1, To: 2, Term: 3}},
		{kind: kindPropose, from: 1, to: 2, command: []byte("x")},
		{kind: kindPropose, from: 1, to: 2, command: []byte{}},
		{kind: kindReplaced, from: 1, to: 2, appliedIndex: 9},
	} {
		data := e.encode()
		decoded, err := decodeEnvelope(data)
		if err != nil || decoded.kind != e.kind || decoded.from != 1 || decoded.to != 2 || decoded.appliedIndex != e.appliedIndex ||
			!bytes.Equal(decoded.command, e.command) || decoded.message.Term != e.message.Term {
			t.Errorf("%+v came back as %+v, %v", e, decoded, err)
		}
		for n := range data {
			if short, err := decodeEnvelope(data[:n]); err == nil {
				t.Errorf("%+v cut to %d bytes is read as %+v", e, n, short)
			}
		}
	}
}

func FuzzEnvelope(f *testing.F) {
	f.Add((&envelope{kind: kindPropose, from: 1, to: 2, command: []byte("x")}).encode())
	f.Add((&envelope{kind: kindReplaced, from: 1, to: 2, appliedIndex: 9}).encode())
	f.Add((&envelope{message: consensus.Message{Kind: consensus.MessageAppend, From: 2, To: 1, Term: 3, Round: 1}}).encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := decodeEnvelope(data)
		if err == nil && !bytes.Equal(decoded.encode(), data) {
			t.Errorf("%x is read as %+v", data, decoded)
		}
		replica := New(0, Options{Self: Member{ID: 1}, Replicas: 3, StateMachine: statelessMachine{}, ElectionTimeout: 1, HeartbeatInterval: 0.1, ReplaceAfter: 8, CompactionThreshold: 64, MaxCommandBytes: 64})
		replica.Step(1, data)
	})
}

// A leader's own proposals and those handed on to it wait for a majority up to a bound; beyond it they are refused at once.
func TestUncommittedProposalsAreBounded(t *testing.T) {
	replica := startThree(t)
	electFirst(t, replica)
	command := make([]byte, 64<<10)
	uncommitted := 0
	for ; uncommitted <= maxUncommittedBytes; uncommitted += len(command) {
		var err error
		if uncommitted%2 == 0 {
			err = replica.Propose(4, command)
		} else {
			err = replica.Step(4, (&envelope{kind: kindPropose, from: 2, to: 1, command: command}).encode())
		}
		if noMajority := new(NoMajorityError); errors.As(err, &noMajority) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if uncommitted != maxUncommittedBytes {
		t.Errorf("%d bytes wait, %d at most", uncommitted, maxUncommittedBytes)
	}
	deliver(t, replica, 4.1, consensus.Message{Kind: consensus.MessageAppendReply, From: 2, Term: replica.Term(), Index: 2 + uint64(uncommitted/len(command)),
		Round: 1})
	if err := replica.Propose(4.1, command); err != nil {
		t.Errorf("after a majority had them: %v", err)
	}
}

// Only copies may hand proposals on, to the one that leads, and none longer than the bound.
func TestForwardedProposals(t *testing.T) {
	replica := startThree(t)
	forward := func(from uint64, bytes int) error {
		return replica.Step(4, (&envelope{kind: kindPropose, from: from, to: 1, command: make([]byte, bytes)}).encode())
	}
	if err := forward(2, 10); !errors.As(err, new(*NoMajorityError)) {
		t.Errorf("where this copy does not lead: %v", err)
	}
	electFirst(t, replica)
	if err := forward(2, 10); err != nil {
		t.Errorf("from a copy: %v", err)
	}
	if err := replica.Step(4, (&envelope{kind: kindPropose, from: 2, to: 1, command: []byte("unreadable")}).encode()); !errors.Is(err, errUnreadable) {
		t.Errorf("what no copy could take: %v", err)
	}
	if err := replica.Propose(4, []byte("unreadable")); !errors.Is(err, errUnreadable) {
		t.Errorf("what no copy could take, proposed here: %v", err)
	}
	if err := forward(9, 10); !errors.As(err, new(*NotReplicaError)) {
		t.Errorf("from nobody that holds a copy: %v", err)
	}
	if err := forward(2, 64<<10+1); !errors.As(err, new(*CommandTooLongError)) {
		t.Errorf("too long: %v", err)
	}
}

// A leader that slept finds out as it is asked that it leads no more: nothing is taken that cannot be agreed on.
func TestProposeAfterLeaderPause(t *testing.T) {
	replica := startThree(t)
	electFirst(t, replica)
	if err := replica.Propose(60, []byte("x")); !errors.As(err, new(*NoMajorityError)) {
		t.Errorf("taken after 56 s of sleep: %v", err)
	}
}

// A copy is brought up before the lost one ceases to count, and counts after that: the copies are one fewer for one change,
// and no change asks for more of them to be there than the one before.
func TestReplaceVoter(t *testing.T) {
	replica := startThree(t)
	electFirst(t, replica)
	replica.SetCandidates([]Member{{ID: 4, Name: "d", Host: "d"}})
	match, round := uint64(2), uint64(1)
	var steps [][2]int
	for now := 4.0; now < 40; now += 0.1 {
		replica.Tick(now)
		for _, m := range takeSent(t, replica, consensus.MessageAppend) { // copies 2 and 4 hold all that they are sent
			match = max(match, m.Index+uint64(len(m.Entries)))
			round = max(round, m.Round)
		}
		for _, from := range []consensus.ReplicaID{2, 4} {
			deliver(t, replica, now, consensus.Message{Kind: consensus.MessageAppendReply, From: from, Term: replica.Term(), Index: match, Round: round})
		}
		voters, learners := replica.Members()
		if step := [2]int{len(voters), len(learners)}; len(steps) == 0 || steps[len(steps)-1] != step {
			steps = append(steps, step)
		}
	}
	if want := [][2]int{{3, 0}, {3, 1}, {2, 1}, {3, 0}}; !slices.Equal(steps, want) {
		t.Errorf("copies that count and that come: %v, want %v", steps, want)
	}
	voters, _ := replica.Members()
	if !slices.ContainsFunc(voters, func(m Member) bool { return m == Member{ID: 4, Name: "d", Host: "d"} }) {
		t.Errorf("%v", voters)
	}
}
