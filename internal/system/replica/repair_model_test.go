package replica

import (
	"fmt"
	"math/bits"
	"testing"
)

// replicaSet is a set of replicas by number, see replicaOf.
//
// The model in this file explores all orders of events in which a voter is lost or silent and a learner takes its
// vote, for several strategies of changing the membership. It knows nothing of logs and messages, only which disks
// are intact: a state has failed if no majority of some voter set is left, since nothing can be committed after that.
type replicaSet uint32

func (s replicaSet) has(r int) bool { return s&(1<<r) != 0 }

func (s replicaSet) with(r int) replicaSet { return s | 1<<r }

func (s replicaSet) without(r int) replicaSet { return s &^ (1 << r) }

func (s replicaSet) majorityIn(of replicaSet) bool { return 2*(s&of).size() > of.size() }

func (s replicaSet) size() int { return bits.OnesCount32(uint32(s)) }

func (s replicaSet) majorities(of ...replicaSet) bool { return all(of, s.majorityIn) }

// all reports whether a property holds for all sets that are not empty.
func all(sets []replicaSet, holds func(replicaSet) bool) bool {
	for _, set := range sets {
		if set != 0 && !holds(set) {
			return false
		}
	}
	return true
}

// maxGenerations is the number of disks that a machine of the model has, one after the other.
const maxGenerations = 3

// replicaOf returns the number of the replica on a machine's disk of some generation.
func replicaOf(machine, generation int) int { return machine*maxGenerations + generation }

// modelState is a state of the model.
type modelState struct {
	voters, outgoing  replicaSet
	leaving           int8 // the voter that a change in progress replaces, -1: none
	incoming          int8 // the learner that takes its vote, -1: none
	intact, learners  replicaSet
	partitioned, lost uint8 // bit sets of machines; lost ones count against toleratedLosses
	generations       [6]int8
}

// replacementStrategy is a way of moving a vote from one replica to another.
type replacementStrategy uint8

const (
	addThenRemove replacementStrategy = iota
	removeThenAdd
	jointConsensus
)

func (w replacementStrategy) String() string {
	return [...]string{"add first", "remove first", "joint"}[w]
}

// repairModel is a group and the losses that it has to tolerate.
type repairModel struct {
	machines, voters int
	toleratedLosses  int // machines that may be lost at the same time
	strategy         replacementStrategy
	// stalls permits a change to stop between its steps until a machine that was partitioned counts again.
	stalls bool
}

// initialState returns the state in which all machines are well.
func (m *repairModel) initialState() modelState {
	state := modelState{leaving: -1, incoming: -1}
	for machine := range m.machines {
		replica := replicaOf(machine, 0)
		state.intact = state.intact.with(replica)
		if machine < m.voters {
			state.voters = state.voters.with(replica)
		} else {
			state.learners = state.learners.with(replica)
		}
	}
	return state
}

// reachable returns the replicas that are intact and not partitioned.
func (s *modelState) reachable(m *repairModel) (set replicaSet) {
	for machine := range m.machines {
		replica := replicaOf(machine, int(s.generations[machine]))
		if s.intact.has(replica) && s.partitioned&(1<<machine) == 0 {
			set = set.with(replica)
		}
	}
	return set
}

// hasMajority reports whether anything can ever be committed again.
func (s *modelState) hasMajority() bool { return s.intact.majorities(s.voters, s.outgoing) }

// modelStep is an event and the state after it.
type modelStep struct {
	event string
	state modelState
}

// nextSteps returns all events that may come next.
func (m *repairModel) nextSteps(state *modelState) (next []modelStep) {
	for machine := range m.machines {
		next = append(next, m.faultSteps(state, machine)...)
	}
	return append(next, m.membershipSteps(state)...)
}

// faultSteps returns the faults that a machine may have next, and their ends.
func (m *repairModel) faultSteps(state *modelState, machine int) (next []modelStep) {
	bit := uint8(1) << machine
	mayBeLost := state.lost&bit != 0 || bits.OnesCount8(state.lost) < m.toleratedLosses
	if mayBeLost && state.generations[machine] < maxGenerations-1 {
		after := *state
		old := replicaOf(machine, int(state.generations[machine]))
		after.intact = after.intact.without(old)
		after.learners = after.learners.without(old)
		after.generations[machine]++
		fresh := replicaOf(machine, int(after.generations[machine]))
		after.intact = after.intact.with(fresh)
		after.learners = after.learners.with(fresh)
		after.lost |= bit
		next = append(next, modelStep{fmt.Sprintf("machine %d loses its disk", machine), after})
	}
	if mayBeLost && state.partitioned&bit == 0 {
		after := *state
		after.partitioned |= bit
		after.lost |= bit
		next = append(next, modelStep{fmt.Sprintf("machine %d is cut off", machine), after})
	}
	if state.partitioned&bit != 0 {
		after := *state
		after.partitioned &^= bit
		next = append(next, modelStep{fmt.Sprintf("machine %d is back", machine), after})
	}
	if state.lost&bit != 0 && state.partitioned&bit == 0 && (m.repaired(state) || m.stalls && state.generations[machine] == 0) {
		after := *state
		after.lost &^= bit
		next = append(next, modelStep{fmt.Sprintf("machine %d counts again", machine), after})
	}
	return next
}

// repaired reports whether the group is complete. A machine counts again only then, since a repair takes less time
// than a machine needs for that.
func (m *repairModel) repaired(s *modelState) bool {
	return s.leaving < 0 && s.voters.size() == m.voters && s.voters&^s.intact == 0
}

// membershipSteps returns the membership changes that may be committed next.
func (m *repairModel) membershipSteps(state *modelState) (next []modelStep) {
	reachable := state.reachable(m)
	take := func(what string, to modelState) {
		if reachable.majorities(state.voters, state.outgoing) && reachable.majorities(to.voters, to.outgoing) {
			next = append(next, modelStep{what, to})
		}
	}
	if state.leaving >= 0 {
		take(m.finishReplacement(state))
		return next
	}
	for old := range m.machines * maxGenerations {
		for taking := range m.machines * maxGenerations {
			if state.isReplaceable(old, reachable) && state.learners.has(taking) && reachable.has(taking) {
				take(m.beginReplacement(state, old, taking))
			}
		}
	}
	return next
}

// isReplaceable reports whether a voter is to be replaced: one that lost its disk, or if there is none, one that is
// silent.
func (s *modelState) isReplaceable(replica int, reachable replicaSet) bool {
	lost := s.voters &^ s.intact
	if lost != 0 {
		return lost.has(replica)
	}
	return s.voters.has(replica) && !reachable.has(replica)
}

// beginReplacement is the first step of moving a voter's vote to a learner.
func (m *repairModel) beginReplacement(s *modelState, old, taking int) (string, modelState) {
	next := *s
	next.leaving = int8(old)
	next.incoming = int8(taking)
	switch m.strategy {
	case addThenRemove:
		next.voters = next.voters.with(taking)
	case removeThenAdd:
		next.voters = next.voters.without(old)
	case jointConsensus:
		next.outgoing = next.voters
		next.voters = next.voters.without(old).with(taking)
	}
	return fmt.Sprintf("the change from %d to %d begins", old, taking), next
}

// finishReplacement is the second step.
func (m *repairModel) finishReplacement(state *modelState) (string, modelState) {
	next := *state
	old, taking := int(state.leaving), int(state.incoming)
	next.leaving = -1
	next.incoming = -1
	next.outgoing = 0
	next.voters = next.voters.without(old)
	next.learners = next.learners.without(taking)
	if state.intact.has(old) {
		next.learners = next.learners.with(old)
	}
	if state.intact.has(taking) || m.strategy != removeThenAdd {
		next.voters = next.voters.with(taking)
	}
	return fmt.Sprintf("the change from %d to %d ends", old, taking), next
}

// search explores all orders of events up to a depth. It returns the shortest one after which no majority is left,
// nil if there is none, and the number of states.
func (m *repairModel) search(depth int) (trace []string, states int) {
	type visit struct {
		from modelState
		what string
	}
	start := m.initialState()
	seen := map[modelState]visit{start: {}}
	frontier := []modelState{start}
	for range depth {
		var next []modelState
		for _, state := range frontier {
			for _, step := range m.nextSteps(&state) {
				if _, known := seen[step.state]; known {
					continue
				}
				seen[step.state] = visit{state, step.event}
				if !step.state.hasMajority() {
					for at := step.state; at != start; at = seen[at].from {
						trace = append([]string{seen[at].what}, trace...)
					}
					return trace, len(seen)
				}
				next = append(next, step.state)
			}
		}
		frontier = next
	}
	return nil, len(seen)
}

// TestVoterReplacementStrategies searches for a counterexample to each strategy. The result is why the package uses
// joint consensus: adding first fails if the same machine is lost again, removing first if a change stalls and the
// machine that was merely partitioned comes back.
func TestVoterReplacementStrategies(t *testing.T) {
	tests := []struct {
		model repairModel
		depth int
		holds bool
	}{
		{repairModel{machines: 3, voters: 3, toleratedLosses: 1, strategy: addThenRemove}, 12, false},
		{repairModel{machines: 3, voters: 3, toleratedLosses: 1, strategy: removeThenAdd}, 24, true},
		{repairModel{machines: 3, voters: 3, toleratedLosses: 1, strategy: jointConsensus}, 24, true},
		{repairModel{machines: 4, voters: 3, toleratedLosses: 1, strategy: addThenRemove, stalls: true}, 12, false},
		{repairModel{machines: 4, voters: 3, toleratedLosses: 1, strategy: removeThenAdd, stalls: true}, 12, false},
		{repairModel{machines: 4, voters: 3, toleratedLosses: 1, strategy: jointConsensus, stalls: true}, 24, true},
		{repairModel{machines: 5, voters: 5, toleratedLosses: 2, strategy: addThenRemove}, 9, false},
		{repairModel{machines: 5, voters: 5, toleratedLosses: 2, strategy: jointConsensus}, 11, true},
		{repairModel{machines: 6, voters: 5, toleratedLosses: 2, strategy: removeThenAdd, stalls: true}, 9, false},
		{repairModel{machines: 6, voters: 5, toleratedLosses: 2, strategy: jointConsensus, stalls: true}, 9, true},
	}
	for _, test := range tests {
		m := test.model
		t.Run(fmt.Sprintf("%v, %d voters of %d, %d lost, stalls %v", m.strategy, m.voters, m.machines, m.toleratedLosses, m.stalls),
			func(t *testing.T) {
				t.Parallel()
				trace, states := m.search(test.depth)
				t.Logf("%d states to depth %d", states, test.depth)
				for _, what := range trace {
					t.Log(what)
				}
				if (trace == nil) != test.holds {
					t.Errorf("it holds: %v, want %v", trace == nil, test.holds)
				}
			})
	}
}
