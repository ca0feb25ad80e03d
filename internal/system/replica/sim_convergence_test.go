package replica

import (
	"fmt"
	"slices"

	"cinderroad/internal/system/consensus"
)

// converged reports whether the cluster has recovered from all faults.
func (sim *simulation) converged() bool { return sim.notConverged() == "" }

// notConverged returns what is missing for converged; empty if nothing is.
func (sim *simulation) notConverged() string {
	process := sim.leader()
	if process == nil {
		return "there is no leader"
	}
	machines := sim.activeMachines()
	if reason := sim.membershipNotConverged(process, machines); reason != "" {
		return reason
	}
	for _, machine := range machines {
		other := machine.process
		if other == nil {
			return fmt.Sprintf("machine %d is down", machine.index)
		}
		committed := sim.oracle.versionAt(sim.oracle.appliedIndex)
		if !other.host.isMember(other.group) || other.version != committed {
			return fmt.Sprintf("machine %d is at version %d of %d", machine.index, other.version, committed)
		}
	}
	for _, operator := range sim.operators {
		if !operator.done {
			return fmt.Sprintf("operator %d does not know the outcome of its change", operator.number)
		}
	}
	for _, operator := range sim.evacuationOperators {
		if reason := operator.notConverged(); reason != "" {
			return reason
		}
	}
	for _, agent := range sim.agents {
		if agent.version != process.version {
			return fmt.Sprintf("an agent is at version %d of %d", agent.version, process.version)
		}
	}
	return ""
}

// membershipNotConverged returns why the membership is not final; empty if it is. It is final once the leader plans
// no change, all machines are members, and as many may fail as the number of machines permits. An absent voter may
// remain if the group would be no more fault tolerant without it.
func (sim *simulation) membershipNotConverged(process *simProcess, machines []*simMachine) string {
	status := process.group.node.Status()
	text := "the membership is " + memberList(status.Membership.Members).String()
	view := process.host.membershipView(process.clock(), process.group, &status)
	if _, more := planChange(view); more || status.MembershipIndex > status.Commit {
		return text + ", which is to change"
	}
	learners := len(status.Membership.Members) - countVoters(status.Membership)
	living := 0
	for _, machine := range machines {
		i := slices.IndexFunc(status.Membership.Members, func(m consensus.Member) bool { return m.ID == machine.id() })
		switch {
		case i < 0:
			return text + " without " + machine.address().String()
		case status.Membership.Members[i].Voter:
			living++
		default:
			learners--
		}
	}
	spare := living - (countVoters(status.Membership)/2 + 1)
	if learners > 0 || spare < (min(len(machines), preferredVoters)-1)/2 {
		return text
	}
	return ""
}
