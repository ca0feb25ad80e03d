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
	members := []Member{{ID: 1, Name: "a", Machine: "a"}, {ID: 2, Name: "b", Machine: "b"}, {ID: 3, Name: "c", Machine: "c"}}
	c := New(1, Options{Self: members[0], Seed: 1, Replicas: 3, StateMachine: statelessMachine{}, ElectionTimeout: 1, HeartbeatInterval: 0.1, ReplaceAfter: 8, CompactionThreshold: 64,
		MaxCommandBytes: 64 << 10})
	if err := c.Bootstrap(members); err != nil {
		t.Fatal(err)
	}
	return c
}

// takeSent are the messages of a kind that a copy has sent since the last call.
func takeSent(t *testing.T, c *Replica, of consensus.MessageKind) (messages []consensus.Message) {
	t.Helper()
	out, _ := c.TakeOutput()
	for _, o := range out {
		e, err := decodeEnvelope(o.Data)
		if err != nil || e.to != o.To || e.from != c.options.Self.ID {
			t.Fatalf("%+v, %v", e, err)
		}
		if e.kind == kindConsensus && e.message.Kind == of {
			messages = append(messages, e.message)
		}
	}
	return messages
}

func deliver(t *testing.T, c *Replica, now float64, m consensus.Message) {
	t.Helper()
	m.To = 1
	if err := c.Step(now, (&envelope{kind: kindConsensus, message: m}).encode()); err != nil {
		t.Fatal(err)
	}
}

// electFirst has copy 1 win an election at 4 s by the vote of copy 2.
func electFirst(t *testing.T, c *Replica) {
	t.Helper()
	c.Tick(4)
	asked := takeSent(t, c, consensus.MessagePreVote)
	deliver(t, c, 4, consensus.Message{Kind: consensus.MessagePreVoteReply, From: 2, Term: asked[0].Term})
	asked = takeSent(t, c, consensus.MessageVote)
	deliver(t, c, 4, consensus.Message{Kind: consensus.MessageVoteReply, From: 2, Term: asked[0].Term})
	if !c.IsLeader() {
		t.Fatal("it does not lead")
	}
}

func TestMessagesComeBack(t *testing.T) {
	for _, e := range []envelope{
		{kind: kindConsensus, from: 1, to: 2, message: consensus.Message{Kind: consensus.MessageVote, From: 1, To: 2, Term: 3}},
		{kind: kindPropose, from: 1, to: 2, command: []byte("x")},
		{kind: kindPropose, from: 1, to: 2, command: []byte{}},
		{kind: kindReplaced, from: 1, to: 2, appliedIndex: 9},
	} {
		data := e.encode()
		back, err := decodeEnvelope(data)
		if err != nil || back.kind != e.kind || back.from != 1 || back.to != 2 || back.appliedIndex != e.appliedIndex ||
			!bytes.Equal(back.command, e.command) || back.message.Term != e.message.Term {
			t.Errorf("%+v came back as %+v, %v", e, back, err)
		}
		for n := range data {
			if short, err := decodeEnvelope(data[:n]); err == nil {
				t.Errorf("%+v cut to %d bytes is read as %+v", e, n, short)
			}
		}
	}
}

func FuzzMessage(f *testing.F) {
	f.Add((&envelope{kind: kindPropose, from: 1, to: 2, command: []byte("x")}).encode())
	f.Add((&envelope{kind: kindReplaced, from: 1, to: 2, appliedIndex: 9}).encode())
	f.Add((&envelope{message: consensus.Message{Kind: consensus.MessageAppend, From: 2, To: 1, Term: 3, Round: 1}}).encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := decodeEnvelope(data)
		if err == nil && !bytes.Equal(e.encode(), data) {
			t.Errorf("%x is read as %+v", data, e)
		}
		c := New(0, Options{Self: Member{ID: 1}, Replicas: 3, StateMachine: statelessMachine{}, ElectionTimeout: 1, HeartbeatInterval: 0.1, ReplaceAfter: 8, CompactionThreshold: 64, MaxCommandBytes: 64})
		c.Step(1, data)
	})
}

// A leader's own proposals and those handed on to it wait for a majority up to a bound; beyond it they are refused at once.
func TestWhatWaitsForAMajorityIsBounded(t *testing.T) {
	c := startThree(t)
	electFirst(t, c)
	command := make([]byte, 64<<10)
	taken := 0
	for ; taken <= maxUncommittedBytes; taken += len(command) {
		var err error
		if taken%2 == 0 {
			err = c.Propose(4, command)
		} else {
			err = c.Step(4, (&envelope{kind: kindPropose, from: 2, to: 1, command: command}).encode())
		}
		if none := new(NoMajorityError); errors.As(err, &none) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if taken != maxUncommittedBytes {
		t.Errorf("%d bytes wait, %d at most", taken, maxUncommittedBytes)
	}
	deliver(t, c, 4.1, consensus.Message{Kind: consensus.MessageAppendReply, From: 2, Term: c.Term(), Index: 2 + uint64(taken/len(command)),
		Round: 1})
	if err := c.Propose(4.1, command); err != nil {
		t.Errorf("after a majority had them: %v", err)
	}
}

// Only copies may hand proposals on, to the one that leads, and none longer than the bound.
func TestProposalsThatAreHandedOn(t *testing.T) {
	c := startThree(t)
	hand := func(from uint64, bytes int) error {
		return c.Step(4, (&envelope{kind: kindPropose, from: from, to: 1, command: make([]byte, bytes)}).encode())
	}
	if err := hand(2, 10); !errors.As(err, new(*NoMajorityError)) {
		t.Errorf("where this copy does not lead: %v", err)
	}
	electFirst(t, c)
	if err := hand(2, 10); err != nil {
		t.Errorf("from a copy: %v", err)
	}
	if err := c.Step(4, (&envelope{kind: kindPropose, from: 2, to: 1, command: []byte("unreadable")}).encode()); !errors.Is(err, errUnreadable) {
		t.Errorf("what no copy could take: %v", err)
	}
	if err := c.Propose(4, []byte("unreadable")); !errors.Is(err, errUnreadable) {
		t.Errorf("what no copy could take, proposed here: %v", err)
	}
	if err := hand(9, 10); !errors.As(err, new(*NotReplicaError)) {
		t.Errorf("from nobody that holds a copy: %v", err)
	}
	if err := hand(2, 64<<10+1); !errors.As(err, new(*CommandTooLongError)) {
		t.Errorf("too long: %v", err)
	}
}

// A leader that slept finds out as it is asked that it leads no more: nothing is taken that cannot be agreed on.
func TestALeaderThatSleptTakesNothing(t *testing.T) {
	c := startThree(t)
	electFirst(t, c)
	if err := c.Propose(60, []byte("x")); !errors.As(err, new(*NoMajorityError)) {
		t.Errorf("taken after 56 s of sleep: %v", err)
	}
}

// A copy is brought up before the lost one ceases to count, and counts after that: the copies are one fewer for one change,
// and no change asks for more of them to be there than the one before.
func TestOneCopyIsReplacedInThreeChanges(t *testing.T) {
	c := startThree(t)
	electFirst(t, c)
	c.SetCandidates([]Member{{ID: 4, Name: "d", Machine: "d"}})
	match, round := uint64(2), uint64(1)
	var steps [][2]int
	for now := 4.0; now < 40; now += 0.1 {
		c.Tick(now)
		for _, m := range takeSent(t, c, consensus.MessageAppend) { // copies 2 and 4 hold all that they are sent
			match = max(match, m.Index+uint64(len(m.Entries)))
			round = max(round, m.Round)
		}
		for _, from := range []consensus.ReplicaID{2, 4} {
			deliver(t, c, now, consensus.Message{Kind: consensus.MessageAppendReply, From: from, Term: c.Term(), Index: match, Round: round})
		}
		counted, coming := c.Members()
		if step := [2]int{len(counted), len(coming)}; len(steps) == 0 || steps[len(steps)-1] != step {
			steps = append(steps, step)
		}
	}
	if want := [][2]int{{3, 0}, {3, 1}, {2, 1}, {3, 0}}; !slices.Equal(steps, want) {
		t.Errorf("copies that count and that come: %v, want %v", steps, want)
	}
	counted, _ := c.Members()
	if !slices.ContainsFunc(counted, func(m Member) bool { return m == Member{ID: 4, Name: "d", Machine: "d"} }) {
		t.Errorf("%v", counted)
	}
}
