package replica

import (
	"time"

	"cinderroad/internal/system/feed"
)

// simAgent follows partition 0 at one replica at a time, as agents do.
type simAgent struct {
	sim      *simulation
	table    *feed.Table
	version  uint64
	upstream *simMachine
}

const agentPollInterval = 400 * time.Millisecond

func (sim *simulation) addAgent() {
	agent := &simAgent{sim: sim, table: feed.NewTable(feed.ConfigurationPartition)}
	sim.agents = append(sim.agents, agent)
	sim.schedule(agentPollInterval, agent.follow)
}

// follow polls the replica for changes, and switches to another replica at times.
func (a *simAgent) follow() {
	sim := a.sim
	sim.schedule(sim.uniform(agentPollInterval/2, agentPollInterval), a.follow)
	if a.upstream == nil || a.upstream.replaced || sim.chance(0.1) {
		a.upstream = sim.randomMachine()
	}
	process := a.upstream.process
	if process == nil || sim.faultsEnabled && sim.chance(sim.profile.Loss) {
		a.upstream = nil
		return
	}
	process.execute(func() {
		batch := process.state.Since(a.table.Index(), 0)
		sim.schedule(sim.uniform(0, sim.profile.Delay), func() {
			a.table.Apply(sim.now, batch)
			sim.checkAgent(a)
		})
	})
}
