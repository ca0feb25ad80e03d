package jobreplica

import (
	"slices"
	"testing"

	"cinderroad/internal/system/consensus"
)

// TestReplaceVoter: a learner is added and catches up before the lost voter is removed, and becomes a voter after that. No change
// needs more replicas for a majority than the one before.
func TestReplaceVoter(t *testing.T) {
	replica := startThree(t)
	electFirst(t, replica)
	replica.SetCandidates([]Member{{ID: 4, Name: "d", Host: "d"}})
	match, round := uint64(2), uint64(1)
	var steps [][2]int
	for now := 4.0; now < 40; now += 0.1 {
		replica.Tick(now)
		for _, m := range takeSent(t, replica, consensus.MessageAppend) { // replicas 2 and 4 acknowledge all that they are sent
			match = max(match, m.Index+uint64(len(m.Entries)))
			round = max(round, m.Round)
		}
		for _, from := range []consensus.ReplicaID{2, 4} {
			deliver(t, replica, now, consensus.Message{
				Kind:  consensus.MessageAppendReply,
				From:  from,
				Term:  replica.Term(),
				Index: match,
				Round: round,
			})
		}
		voters, learners := replica.Members()
		if step := [2]int{len(voters), len(learners)}; len(steps) == 0 || steps[len(steps)-1] != step {
			steps = append(steps, step)
		}
	}
	if want := [][2]int{{3, 0}, {3, 1}, {2, 1}, {3, 0}}; !slices.Equal(steps, want) {
		t.Errorf("voters and learners: %v, want %v", steps, want)
	}
	voters, _ := replica.Members()
	if !slices.ContainsFunc(voters, func(m Member) bool { return m == Member{ID: 4, Name: "d", Host: "d"} }) {
		t.Errorf("%v", voters)
	}
}
