package policysim

import "cinderroad/internal/testkit/engine"

// counters are counted during a run; tokens are those of prompts.
type counters struct {
	retries              int
	crossRegion          int // attempts at runners in another region than the proxy's
	attempts             int
	rejections           map[string]int  // by reason
	prefilledChunks      map[uint64]bool // shared chunks that some runner has prefilled, by id
	sharedPrefilled      int64
	sharedPrefilledAgain int64 // of chunks that some runner had prefilled before
	ownPrefilled         int64
}

func newCounters() counters {
	return counters{rejections: make(map[string]int), prefilledChunks: make(map[uint64]bool)}
}

func (c *counters) countAttempt(state *callState, runner *simulatedRunner) {
	c.attempts++
	if state.proxy.zone != runner.info.Zone && runner.sim.scenario.regionOf(state.proxy.zone) != runner.info.Region {
		c.crossRegion++
	}
}

// countPrefill counts a chunk of a prompt that a runner has prefilled. The last chunk is the request's own.
func (c *counters) countPrefill(task *engine.Task, index int) {
	chunk := task.Request.Chunks[index]
	if index == len(task.Request.Chunks)-1 {
		c.ownPrefilled += int64(chunk.Tokens)
		return
	}
	c.sharedPrefilled += int64(chunk.Tokens)
	if c.prefilledChunks[chunk.ID] {
		c.sharedPrefilledAgain += int64(chunk.Tokens)
	}
	c.prefilledChunks[chunk.ID] = true
}
