package proxy

import (
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
	"cinderroad/internal/testkit/seeds"
)

const (
	defaultSimulationSeeds = 100
	simulationRunners      = 4
	simulationClients      = 6
	requestsPerClient      = 25
	simulationAttempts     = 3
	simulationRouteTimeout = 1200 * time.Millisecond
	longestPartition       = 2500 * time.Millisecond
	shutdownVisibleWithin  = 1200 * time.Millisecond // clients know of a shutdown after this time
	simulationDrainTime    = 8 * time.Second         // after the last request, in which a rejected request might still be executed
)

var simulationFront = netip.MustParseAddrPort("10.0.0.1:80")

// simulation is a proxy between scripted clients and runners, in virtual time.
type simulation struct {
	network       *simulatedNetwork
	random        *rand.Rand
	checker       *checker
	loop          *eventloop.Loop
	proxy         *Proxy
	runners       []*simulatedRunner
	activeClients int           // that still send requests
	shutdownAt    time.Duration // when the shutdown began; 0: it did not
	checked       bool          // the final state was checked, which is done once
	requestCount  int
}

// Whatever runners, networks and clients do, the rules for requests hold.
func TestRequestModel(t *testing.T) {
	seeds, err := seeds.FromEnvironment(defaultSimulationSeeds)
	if err != nil {
		t.Fatal(err)
	}
	var served, rejected, resumed, timedOut, requests int
	for _, seed := range seeds {
		sim := newSimulation(seed)
		if err := sim.run(); err != nil {
			t.Fatal(err)
		}
		served += sim.checker.served
		rejected += sim.checker.rejected
		resumed += sim.checker.resumed
		timedOut += sim.checker.timedOut
		requests += sim.requestCount
		if len(sim.checker.violations) > 0 {
			t.Errorf("seed %d (MODEL_SEED=%d):\n%s", seed, seed, strings.Join(sim.checker.violations, "\n"))
		}
	}
	t.Logf("%d requests, %d served, %d resumed, %d rejected, %d timed out", requests, served, resumed, rejected, timedOut)
	if len(seeds) > 1 && (served < requests/4 || rejected == 0 || resumed == 0 || timedOut == 0) {
		t.Error("the test shows nothing")
	}
}

func newSimulation(seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, 5))
	sim := &simulation{network: newSimulatedNetwork(random), random: random, activeClients: simulationClients}
	sim.checker = newChecker(sim.network)
	sim.loop = eventloop.NewLoopWithSystem(sim.network, 1000)
	sim.loop.ZeroCopyReads = true
	placer := &fakePlacer{spread: true}
	sim.proxy = New(sim.loop, zap.NewNop(), placer, Options{FrontAddr: simulationFront, GracePeriod: 8 * time.Second, Seed: seed})
	resumable := route("resumable", configuration.Streaming)
	resumable.Resumable = true
	routes := []*configuration.Route{route("reads", configuration.ReadOnly), route("writes", configuration.ReadWrite),
		route("stream", configuration.Streaming), resumable}
	for _, target := range routes {
		target.Timeout = simulationRouteTimeout
		target.LatencyTarget = 300 * time.Millisecond
		target.MaxAttempts = simulationAttempts
	}
	sim.proxy.SetRoutes(&fakeRoutes{routes})
	sim.proxy.SetServices([]*configuration.Service{{Name: "s", MaxConnections: 100}})
	var known []placement.Runner
	for i := range simulationRunners {
		target := newSimulatedRunner(sim, i)
		sim.runners = append(sim.runners, target)
		known = append(known, placement.Runner{ID: target.id, Service: "s", Address: target.address})
	}
	placer.runners = known
	sim.proxy.SetRunners(known)
	return sim
}

// run runs the simulation until all clients are done and the work on their requests has had time to end.
func (sim *simulation) run() error {
	if err := sim.proxy.Listen(); err != nil {
		return err
	}
	for i := range simulationClients {
		c := &simulatedClient{sim: sim, index: i, peer: &simulatedPeer{latency: 3 * time.Millisecond}}
		sim.network.after(sim.randomDuration(300*time.Millisecond), c.sendNext)
	}
	sim.network.after(time.Second, sim.injectFault)
	if sim.chance(4) {
		sim.network.after(sim.randomDuration(10*time.Second), sim.shutDownProxy)
	}
	if err := sim.loop.Run(); err != nil {
		return err
	}
	sim.network.advance(50 * time.Millisecond) // clients see the end of their connections
	sim.check()
	return nil
}

// shutDownProxy starts a shutdown; clients soon learn of it.
func (sim *simulation) shutDownProxy() {
	sim.shutdownAt = sim.network.now
	sim.proxy.Stop()
}

// check verifies the final state.
func (sim *simulation) check() {
	if sim.checked {
		return
	}
	sim.checked = true
	sim.checker.finish()
	p := sim.proxy
	if sim.shutdownAt == 0 && (p.openExchanges != 0 || p.bufferedBodyBytes != 0 || p.sessions.count != 0) {
		sim.checker.violation(resourcesNotReleased, "%d exchanges, %d bytes, %d sessions",
			p.openExchanges, p.bufferedBodyBytes, p.sessions.count)
	}
}

// clientDone ends a client, and the simulation with the last one.
func (sim *simulation) clientDone() {
	sim.activeClients--
	if sim.activeClients > 0 {
		return
	}
	sim.network.after(simulationDrainTime, func() {
		sim.check()
		sim.loop.Stop()
	})
	sim.network.after(simulationDrainTime+time.Millisecond, func() {}) // an iteration in which the loop sees that it was stopped
}

// injectFault partitions or crashes a runner, repeatedly.
func (sim *simulation) injectFault() {
	r := sim.runners[sim.random.IntN(len(sim.runners))]
	switch sim.random.IntN(3) {
	case 0:
		r.partition(sim.randomDuration(longestPartition))
	case 1:
		r.crash(sim.randomDuration(longestPartition))
	default: // no fault this time
	}
	if sim.activeClients > 0 {
		sim.network.after(sim.randomDuration(2*time.Second), sim.injectFault)
	}
}

// randomDuration returns a duration in [0, limit).
func (sim *simulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(limit)))
}

// chance returns true one time in oneIn on average.
func (sim *simulation) chance(oneIn int) bool { return sim.random.IntN(oneIn) == 0 }
