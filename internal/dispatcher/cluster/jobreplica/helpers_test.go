package jobreplica

import (
	"errors"
	"testing"

	"cinderroad/internal/system/consensus"
)

var errUnreadable = errors.New("unreadable")

// statelessMachine is a state machine without a state.
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

// statelessOptions returns the options of one of three replicas without a state, but for MaxCommandBytes.
func statelessOptions(self Member) Options {
	return Options{
		Self:                self,
		Replicas:            3,
		StateMachine:        statelessMachine{},
		ElectionTimeout:     1,
		HeartbeatInterval:   0.1,
		ReplaceAfter:        8,
		CompactionThreshold: 64,
	}
}

// startThree returns one of three replicas; the test plays the others.
func startThree(t *testing.T) *Replica {
	t.Helper()
	members := []Member{{ID: 1, Name: "a", Host: "a"}, {ID: 2, Name: "b", Host: "b"}, {ID: 3, Name: "c", Host: "c"}}
	options := statelessOptions(members[0])
	options.Seed = 1
	options.MaxCommandBytes = 64 << 10
	replica := New(1, options)
	if err := replica.Bootstrap(members); err != nil {
		t.Fatal(err)
	}
	return replica
}

// takeSent returns the messages of a kind that the replica has sent since the last call.
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

// deliver has the replica receive a message of the consensus.
func deliver(t *testing.T, replica *Replica, now float64, message consensus.Message) {
	t.Helper()
	message.To = 1
	if err := replica.Step(now, (&envelope{kind: kindConsensus, message: message}).encode()); err != nil {
		t.Fatal(err)
	}
}

// electFirst has replica 1 win an election at 4 s by the vote of replica 2.
func electFirst(t *testing.T, replica *Replica) {
	t.Helper()
	replica.Tick(4)
	requests := takeSent(t, replica, consensus.MessagePreVote)
	deliver(t, replica, 4, consensus.Message{Kind: consensus.MessagePreVoteReply, From: 2, Term: requests[0].Term})
	requests = takeSent(t, replica, consensus.MessageVote)
	deliver(t, replica, 4, consensus.Message{Kind: consensus.MessageVoteReply, From: 2, Term: requests[0].Term})
	if !replica.IsLeader() {
		t.Fatal("replica 1 has not become the leader")
	}
}
