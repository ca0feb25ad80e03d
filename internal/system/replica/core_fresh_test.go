package replica

import (
	"time"

	"cinderroad/internal/system/consensus"
)

// stalenessSlack is by how much the state of a replica that says that it is up to date may be older than that. Its leader may
// have lost its majority an election time ago, and messages may have waited while a process stood still for less than what
// the replica takes for a stand-still, two election times. Messages may also have waited for a thin link, as long as any did.
const stalenessSlack = 3 * defaultElectionTimeout

// checkStaleness sees that a replica which says that it was up to date a while ago holds what was in force then. Nobody is told
// that state is current that is older than the last contact with a majority, but for stalenessSlack.
func (sim *simulation) checkStaleness(process *simProcess) {
	status := process.group.node.Status()
	age := elapsedSince(status.CaughtUpAt, process.clock())
	if age > faultPhase+recoveryPhase {
		return
	}
	slack := stalenessSlack + 4*sim.profile.Delay + sim.longestWait
	if status.Role == consensus.Leader && status.CaughtUpAt == status.LastLeaderContact {
		slack = 0 // a round that a majority answered
	}
	then := sim.now - time.Duration(float64(age)/process.machine.clockRate) - slack
	for i := len(sim.oracle.versions) - 1; i >= 0; i-- {
		link := &sim.oracle.versions[i]
		if link.committedAt >= then {
			continue
		}
		if link.index > process.group.appliedIndex {
			sim.fail("machine %d says that it was up to date %v ago, and lacks %d of version %d, in force for %v", process.machine.index,
				age, link.index, link.request.version, sim.now-link.committedAt)
		}
		return
	}
}
