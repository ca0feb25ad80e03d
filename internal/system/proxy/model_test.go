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
	modelSeeds    = 100
	modelRunners  = 4
	modelClients  = 6
	modelRequests = 25 // of each client
	modelTries    = 3
	modelTimeout  = 1200 * time.Millisecond // of routes
	longCut       = 2500 * time.Millisecond // the longest cut of a line
	knownWithin   = 1200 * time.Millisecond // in which clients know that a proxy stops
	drainTime     = 8 * time.Second         // after the last request, in which what was promised not to run might still do
)

var modelFront = netip.MustParseAddrPort("10.0.0.1:80")

// model is a proxy between scripted clients and runners, in virtual time.
type model struct {
	network *simulatedNetwork
	random  *rand.Rand
	referee *referee
	loop    *eventloop.Loop
	proxy   *Proxy
	runners []*modelRunner
	clients int           // that still ask
	stopped time.Duration // when the proxy was told to stop; 0: it was not
	settled bool
	made    int // requests
}

// modelSeedsToPlay are the seeds of a run: MODEL_SEED=N replays one, MODEL_SEEDS=N plays so many.
func modelSeedsToPlay(t *testing.T) (seeds []uint64) {
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
	for seed := range number("MODEL_SEEDS", modelSeeds) {
		seeds = append(seeds, seed)
	}
	return seeds
}

// Whatever runners, lines and clients do, the rules of requests hold.
func TestRequestModel(t *testing.T) {
	seeds := modelSeedsToPlay(t)
	var served, refused, resumed, late, requests int
	for _, seed := range seeds {
		m := newModel(seed)
		if err := m.play(); err != nil {
			t.Fatal(err)
		}
		served, refused = served+m.referee.served, refused+m.referee.refused
		resumed, late, requests = resumed+m.referee.resumed, late+m.referee.late, requests+m.made
		if len(m.referee.broken) > 0 {
			t.Errorf("seed %d (MODEL_SEED=%d):\n%s", seed, seed, strings.Join(m.referee.broken, "\n"))
		}
	}
	t.Logf("%d requests, %d served, %d resumed, %d refused, %d out of time", requests, served, resumed, refused, late)
	if len(seeds) > 1 && (served < requests/4 || refused == 0 || resumed == 0 || late == 0) {
		t.Error("nothing was shown")
	}
}

func newModel(seed uint64) *model {
	random := rand.New(rand.NewPCG(seed, 5))
	m := &model{network: newSimulatedNetwork(random), random: random, clients: modelClients}
	m.referee = newReferee(m.network)
	m.loop = eventloop.NewLoopWithSystem(m.network, 1000)
	m.loop.ZeroCopyReads = true
	placer := &fakePlacer{spread: true}
	m.proxy = New(m.loop, zap.NewNop(), placer, Options{Front: modelFront, GracePeriod: 8 * time.Second, Seed: seed})
	resumable := route("resumable", configuration.Streaming)
	resumable.Resumable = true
	routes := []*configuration.Route{route("reads", configuration.ReadOnly), route("writes", configuration.ReadWrite),
		route("stream", configuration.Streaming), resumable}
	for _, r := range routes {
		r.Timeout, r.LatencyTarget, r.MaxAttempts = modelTimeout, 300*time.Millisecond, modelTries
	}
	m.proxy.SetRoutes(&fakeRoutes{routes})
	m.proxy.SetServices([]*configuration.Service{{Name: "s", MaxConnections: 100}})
	var known []placement.Runner
	for i := range modelRunners {
		r := newModelRunner(m, i)
		m.runners = append(m.runners, r)
		known = append(known, placement.Runner{ID: r.id, Service: "s", Address: r.address})
	}
	placer.choices = known
	m.proxy.SetRunners(known)
	return m
}

// play runs the model until all clients are done and what they left behind has had its time.
func (m *model) play() error {
	if err := m.proxy.Listen(); err != nil {
		return err
	}
	for i := range modelClients {
		c := &modelClient{model: m, name: i, peer: &simulatedPeer{latency: 3 * time.Millisecond}}
		m.network.after(m.upTo(300*time.Millisecond), c.next)
	}
	m.network.after(time.Second, m.trouble)
	if m.chance(4) {
		m.network.after(m.upTo(10*time.Second), m.stop)
	}
	if err := m.loop.Run(); err != nil {
		return err
	}
	m.network.pass(50 * time.Millisecond) // clients see the end of their connections
	m.settle()
	return nil
}

// stop tells the proxy to stop; clients soon know of other proxies.
func (m *model) stop() {
	m.stopped = m.network.now
	m.proxy.Stop()
}

// settle looks at what must be true in the end.
func (m *model) settle() {
	if m.settled {
		return
	}
	m.settled = true
	m.referee.settle()
	p := m.proxy
	if m.stopped == 0 && (p.exchanges != 0 || p.buffered != 0 || p.sessions.open != 0) {
		m.referee.breaks("BOUND", "%d exchanges, %d bytes, %d sessions", p.exchanges, p.buffered, p.sessions.open)
	}
}

// done ends a client, and the model with the last one.
func (m *model) done() {
	if m.clients--; m.clients > 0 {
		return
	}
	m.network.after(drainTime, func() {
		m.settle()
		m.loop.Stop()
	})
	m.network.after(drainTime+time.Millisecond, func() {}) // a turn in which the loop sees that it was stopped
}

// trouble cuts a runner's line, or crashes a runner, now and then.
func (m *model) trouble() {
	r := m.runners[m.random.IntN(len(m.runners))]
	switch m.random.IntN(3) {
	case 0:
		r.cut(m.upTo(longCut))
	case 1:
		r.crash(m.upTo(longCut))
	}
	if m.clients > 0 {
		m.network.after(m.upTo(2*time.Second), m.trouble)
	}
}

// upTo draws a time.
func (m *model) upTo(most time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(most)))
}

// chance says yes one time in so many.
func (m *model) chance(oneIn int) bool { return m.random.IntN(oneIn) == 0 }
