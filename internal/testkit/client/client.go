// Package client stands in for the clients of the system. It asks the directory where to go, sends requests as the
// protocol tells clients to, retries as they may, checks every answer, and counts what became of each call.
package client

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"cinderroad/internal/testkit/checker"
)

// Route is a kind of request.
type Route struct {
	Name          string
	Host          string
	Path          string // of its requests
	Stream        bool
	Resumable     bool
	ReadOnly      bool
	LatencyTarget time.Duration // to the first event, or to the whole answer
	MaxEventGap   time.Duration // longest pause between events that is in time; 0: any
	Deadline      time.Duration
	MaxRetries    int
	CheckerRoute  *checker.Route
}

// Call is one request that a client wants answered.
type Call struct {
	Start           time.Duration // from the start of the load
	Route           *Route
	Zone            string
	Model           string
	PromptChunks    string // parts as ID:TOKENS; empty: none
	PromptTokens    int
	MaxOutputTokens int // the most
	BodyBytes       int // of its body
}

// Options describe clients.
type Options struct {
	RegionOfZone   map[string]string // region of each zone
	Directories    func(zone string) []netip.AddrPort
	FixedAddress   string        // address of the dispatcher that all calls go to; empty: the directory tells
	ClientsPerZone int           // in each zone; 0: 10
	MaxTTL         time.Duration // longest that an answer of the directory counts
	Checker        *checker.Checker
	Seed           uint64
}

const (
	defaultClients  = 10
	maxLookups      = 3           // directories that are tried
	lookupTimeout   = time.Second // for each
	connectTimeout  = time.Second
	longTTLOneIn    = 4 // one in so many clients holds an answer of the directory for longer
	longTTLMultiple = 3 // times as long
	keepAliveOneIn  = 2 // one in so many clients keeps connections
	chunkedOneIn    = 5 // one in so many bodies comes in chunks
)

// LoadGenerator is clients at work.
type LoadGenerator struct {
	options Options
	clients map[string][]*client // by zone
	stats   statsRecorder

	mutex    sync.Mutex
	random   *rand.Rand
	attempts uint64
}

// New makes clients.
func New(options Options) *LoadGenerator {
	if options.ClientsPerZone == 0 {
		options.ClientsPerZone = defaultClients
	}
	g := &LoadGenerator{options: options, clients: make(map[string][]*client), random: rand.New(rand.NewPCG(options.Seed, 5))}
	g.stats.routes = make(map[string]*RouteStats)
	for zone, region := range options.RegionOfZone {
		for i := range options.ClientsPerZone {
			c := &client{load: g, zone: zone, region: region, keepsConnections: i%keepAliveOneIn == 0, ttlMultiple: 1}
			if i%longTTLOneIn == longTTLOneIn-1 {
				c.ttlMultiple = longTTLMultiple
			}
			g.clients[zone] = append(g.clients[zone], c)
		}
	}
	return g
}

// Run makes calls, each at its time, and returns when all have an end. The calls are in order of time.
func (g *LoadGenerator) Run(ctx context.Context, calls []*Call) {
	start := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var group sync.WaitGroup
	for i, call := range calls {
		timer.Reset(max(0, call.Start-time.Since(start)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			group.Wait()
			return
		}
		group.Add(1)
		clients := g.clients[call.Zone]
		go func() {
			defer group.Done()
			g.Do(ctx, clients[i%len(clients)], call)
		}()
	}
	group.Wait()
}

// client is one user of the system: it has its own answers of the directory and its own connections.
type client struct {
	load             *LoadGenerator
	zone, region     string
	keepsConnections bool
	ttlMultiple      int // multiple of the time that an answer of the directory counts

	mutex             sync.Mutex
	addresses         []string
	addressesExpireAt time.Time
	failedAddresses   map[string]bool
	idle              []*conn
}

// Client is a client of a zone, for calls that are made one by one.
func (g *LoadGenerator) Client(zone string, i int) *client {
	return g.clients[zone][i%len(g.clients[zone])]
}

// randomBelow draws from 0 to n-1.
func (g *LoadGenerator) randomBelow(n int) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.random.IntN(n)
}

// newAttemptID names a try.
func (g *LoadGenerator) newAttemptID() string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.attempts++
	return fmt.Sprintf("%08x%08x", g.random.Uint32(), g.attempts)
}

// report notes a broken rule.
func (g *LoadGenerator) report(rule checker.Rule, format string, args ...any) {
	if g.options.Checker != nil {
		g.options.Checker.Report(rule, format, args...)
	}
}
