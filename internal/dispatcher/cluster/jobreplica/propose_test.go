package jobreplica

import (
	"errors"
	"testing"

	"cinderroad/internal/system/consensus"
)

// TestUncommittedProposalsAreBounded: a leader's own and forwarded proposals wait for a majority up to a limit, beyond which they
// are rejected at once.
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
		t.Errorf("%d uncommitted bytes, limit %d", uncommitted, maxUncommittedBytes)
	}
	deliver(t, replica, 4.1, consensus.Message{
		Kind:  consensus.MessageAppendReply,
		From:  2,
		Term:  replica.Term(),
		Index: 2 + uint64(uncommitted/len(command)),
		Round: 1,
	})
	if err := replica.Propose(4.1, command); err != nil {
		t.Errorf("after a majority has acknowledged: %v", err)
	}
}

// TestForwardedProposals: only members may forward proposals, to the leader, within the size limit.
func TestForwardedProposals(t *testing.T) {
	replica := startThree(t)
	forward := func(from uint64, bytes int) error {
		return replica.Step(4, (&envelope{kind: kindPropose, from: from, to: 1, command: make([]byte, bytes)}).encode())
	}
	if err := forward(2, 10); !errors.As(err, new(*NoMajorityError)) {
		t.Errorf("to a replica that does not lead: %v", err)
	}
	electFirst(t, replica)
	if err := forward(2, 10); err != nil {
		t.Errorf("from a member: %v", err)
	}
	err := replica.Step(4, (&envelope{
		kind:    kindPropose,
		from:    2,
		to:      1,
		command: []byte("unreadable"),
	}).encode())
	if !errors.Is(err, errUnreadable) {
		t.Errorf("forwarded command that Check rejects: %v", err)
	}
	if err := replica.Propose(4, []byte("unreadable")); !errors.Is(err, errUnreadable) {
		t.Errorf("command that Check rejects: %v", err)
	}
	if err := forward(9, 10); !errors.As(err, new(*NotReplicaError)) {
		t.Errorf("from a member without a replica: %v", err)
	}
	if err := forward(2, 64<<10+1); !errors.As(err, new(*CommandTooLongError)) {
		t.Errorf("command over the limit: %v", err)
	}
}

// TestProposeAfterLeaderPause: a former leader notices as it proposes that it no longer leads, and accepts nothing.
func TestProposeAfterLeaderPause(t *testing.T) {
	replica := startThree(t)
	electFirst(t, replica)
	if err := replica.Propose(60, []byte("x")); !errors.As(err, new(*NoMajorityError)) {
		t.Errorf("accepted after a pause of 56 s: %v", err)
	}
}
