package proxy

import (
	"math/rand/v2"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
)

const (
	defaultSimulationSeeds = 100
	simulationRunners      = 4
	simulationClients      = 6
	requestsPerClient      = 25 // of each client
	simulationAttempts     = 3
	simulationRouteTimeout = 1200 * time.Millisecond // of routes
	longestPartition       = 2500 * time.Millisecond // the longest cut of a line
	shutdownVisibleWithin  = 1200 * time.Millisecond // in which clients know that a proxy stops
	simulationDrainTime    = 8 * time.Second         // after the last request, in which what was promised not to run might still do
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
	activeClients int           // that still ask
	shutdownAt    time.Duration // when the proxy was told to stop; 0: it was not
	checked       bool
	requestCount  int // requests
}

// simulationSeeds are the seeds of a run: MODEL_SEED=N replays one, MODEL_SEEDS=N plays so many.
func simulationSeeds(t *testing.T) (seeds []uint64) {
	number := func(name string, otherwise uint64) uint64 {
		text := os.Getenv(name)
		if text == "" {
			return otherwise
		}
		value, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	if os.Getenv("MODEL_SEED") != "" {
		return []uint64{number("MODEL_SEED", 0)}
	}
	for seed := range number("MODEL_SEEDS", defaultSimulationSeeds) {
		seeds = append(seeds, seed)
	}
	return seeds
}

// Whatever runners, lines and clients do, the rules of requests hold.
func TestRequestModel(t *testing.T) {
	seeds := simulationSeeds(t)
	var served, refused, resumed, late, requests int
	for _, seed := range seeds {
		m := newSimulation(seed)
		if err := m.run(); err != nil {
			t.Fatal(err)
		}
		served, refused = served+m.checker.served, refused+m.checker.refused
		resumed, late, requests = resumed+m.checker.resumed, late+m.checker.timedOut, requests+m.requestCount
		if len(m.checker.violations) > 0 {
			t.Errorf("seed %d (MODEL_SEED=%d):\n%s", seed, seed, strings.Join(m.checker.violations, "\n"))
		}
	}
	t.Logf("%d requests, %d served, %d resumed, %d refused, %d out of time", requests, served, resumed, refused, late)
	if len(seeds) > 1 && (served < requests/4 || refused == 0 || resumed == 0 || late == 0) {
		t.Error("nothing was shown")
	}
}

func newSimulation(seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, 5))
	m := &simulation{network: newSimulatedNetwork(random), random: random, activeClients: simulationClients}
	m.checker = newChecker(m.network)
	m.loop = eventloop.NewLoopWithSystem(m.network, 1000)
	m.loop.ZeroCopyReads = true
	placer := &fakePlacer{spread: true}
	m.proxy = New(m.loop, zap.NewNop(), placer, Options{FrontAddr: simulationFront, GracePeriod: 8 * time.Second, Seed: seed})
	resumable := route("resumable", configuration.Streaming)
	resumable.Resumable = true
	routes := []*configuration.Route{route("reads", configuration.ReadOnly), route("writes", configuration.ReadWrite),
		route("stream", configuration.Streaming), resumable}
	for _, r := range routes {
		r.Timeout, r.LatencyTarget, r.MaxAttempts = simulationRouteTimeout, 300*time.Millisecond, simulationAttempts
	}
	m.proxy.SetRoutes(&fakeRoutes{routes})
	m.proxy.SetServices([]*configuration.Service{{Name: "s", MaxConnections: 100}})
	var known []placement.Runner
	for i := range simulationRunners {
		r := newSimulatedRunner(m, i)
		m.runners = append(m.runners, r)
		known = append(known, placement.Runner{ID: r.id, Service: "s", Address: r.address})
	}
	placer.runners = known
	m.proxy.SetRunners(known)
	return m
}

// run runs the model until all clients are done and what they left behind has had its time.
func (m *simulation) run() error {
	if err := m.proxy.Listen(); err != nil {
		return err
	}
	for i := range simulationClients {
		c := &simulatedClient{model: m, index: i, peer: &simulatedPeer{latency: 3 * time.Millisecond}}
		m.network.after(m.randomDuration(300*time.Millisecond), c.sendNext)
	}
	m.network.after(time.Second, m.injectFault)
	if m.chance(4) {
		m.network.after(m.randomDuration(10*time.Second), m.shutDownProxy)
	}
	if err := m.loop.Run(); err != nil {
		return err
	}
	m.network.advance(50 * time.Millisecond) // clients see the end of their connections
	m.check()
	return nil
}

// shutDownProxy tells the proxy to stop; clients soon know of other proxies.
func (m *simulation) shutDownProxy() {
	m.shutdownAt = m.network.now
	m.proxy.Stop()
}

// check looks at what must be true in the end.
func (m *simulation) check() {
	if m.checked {
		return
	}
	m.checked = true
	m.checker.finish()
	p := m.proxy
	if m.shutdownAt == 0 && (p.openExchanges != 0 || p.bufferedBodyBytes != 0 || p.sessions.count != 0) {
		m.checker.violation("BOUND", "%d exchanges, %d bytes, %d sessions", p.openExchanges, p.bufferedBodyBytes, p.sessions.count)
	}
}

// clientDone ends a client, and the model with the last one.
func (m *simulation) clientDone() {
	if m.activeClients--; m.activeClients > 0 {
		return
	}
	m.network.after(simulationDrainTime, func() {
		m.check()
		m.loop.Stop()
	})
	m.network.after(simulationDrainTime+time.Millisecond, func() {}) // a turn in which the loop sees that it was stopped
}

// injectFault cuts a runner's line, or crashes a runner, now and then.
func (m *simulation) injectFault() {
	r := m.runners[m.random.IntN(len(m.runners))]
	switch m.random.IntN(3) {
	case 0:
		r.partition(m.randomDuration(longestPartition))
	case 1:
		r.crash(m.randomDuration(longestPartition))
	}
	if m.activeClients > 0 {
		m.network.after(m.randomDuration(2*time.Second), m.injectFault)
	}
}

// randomDuration draws a time.
func (m *simulation) randomDuration(most time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(most)))
}

// chance says yes one time in so many.
func (m *simulation) chance(oneIn int) bool { return m.random.IntN(oneIn) == 0 }
