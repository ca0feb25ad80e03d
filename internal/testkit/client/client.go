// Package client is a fake of the system's clients and a load generator. Clients look up addresses in a directory,
// send requests as the protocol requires, retry only where it allows, verify every answer, and record the outcome of
// each call.
//
// Violations go to a checker.Checker; outcomes are returned by Stats. A LoadGenerator may be used from any goroutine.
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

// Route describes a kind of request.
type Route struct {
	Name          string
	Host          string
	Path          string // request path
	Stream        bool
	Resumable     bool
	ReadOnly      bool
	LatencyTarget time.Duration // time to the first event, or to the complete answer
	MaxEventGap   time.Duration // longest time between events that counts as in time; 0: no limit
	Deadline      time.Duration
	MaxRetries    int
	CheckerRoute  *checker.Route
}

// Call is one request of the load.
type Call struct {
	Start           time.Duration // relative to the start of Run
	Route           *Route
	Zone            string
	Model           string
	PromptChunks    string // ID:TOKENS, separated by commas; empty: no prompt
	PromptTokens    int
	MaxOutputTokens int
	BodyBytes       int // size of the request's body
	// BodyPause is how long the client waits in the middle of the body.
	BodyPause time.Duration
	// LeaveAfter is how long after the start the client closes the connection, whatever it has received; 0: it stays.
	LeaveAfter time.Duration
}

// Options configure a load generator.
type Options struct {
	RegionOfZone   map[string]string // each zone has clients
	Directories    func(zone string) []netip.AddrPort
	FixedAddress   string        // host:port that all calls go to; empty: looked up in a directory
	ClientsPerZone int           // 0: 10
	StickyOneIn    int           // one in so many clients uses connections and look-ups until they fail; 0: none
	MaxTTL         time.Duration // upper bound for the lifetime of a lookup; 0: none
	Checker        *checker.Checker
	Seed           uint64
}

const (
	defaultClients  = 10
	maxLookups      = 3           // directories tried for a lookup
	lookupTimeout   = time.Second // of each try
	connectTimeout  = time.Second
	longTTLOneIn    = 4 // one in so many clients keeps a lookup for longer than its TTL
	longTTLMultiple = 3 // by this factor
	keepAliveOneIn  = 2 // one in so many clients reuses connections
	chunkedOneIn    = 5 // one in so many bodies is chunked
)

// LoadGenerator owns the clients of all zones and their statistics.
type LoadGenerator struct {
	options Options
	clients map[string][]*client // by zone
	stats   statsRecorder

	mutex    sync.Mutex
	random   *rand.Rand
	attempts uint64
}

// New creates the clients; it opens no connection.
func New(options Options) *LoadGenerator {
	if options.ClientsPerZone == 0 {
		options.ClientsPerZone = defaultClients
	}
	g := &LoadGenerator{
		options: options,
		clients: make(map[string][]*client),
		random:  rand.New(rand.NewPCG(options.Seed, 5)),
	}
	g.stats.routes = make(map[string]*RouteStats)
	for zone, region := range options.RegionOfZone {
		for i := range options.ClientsPerZone {
			c := &client{
				generator:        g,
				zone:             zone,
				region:           region,
				keepsConnections: i%keepAliveOneIn == 0,
				ttlMultiple:      1,
			}
			if i%longTTLOneIn == longTTLOneIn-1 {
				c.ttlMultiple = longTTLMultiple
			}
			if options.StickyOneIn > 0 && i%options.StickyOneIn == 0 {
				c.sticky = true
				c.keepsConnections = true
			}
			g.clients[zone] = append(g.clients[zone], c)
		}
	}
	return g
}

// Run makes each call at its time and returns when all have ended. The calls must be sorted by Start. When ctx ends,
// no further call is started.
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

// client is one user of the system, with its own lookups and connections.
type client struct {
	generator        *LoadGenerator
	zone, region     string
	keepsConnections bool
	ttlMultiple      int  // of a lookup's lifetime
	sticky           bool // it uses connections and look-ups until they fail, whatever newer look-ups say

	mutex             sync.Mutex
	addresses         []string
	addressesExpireAt time.Time
	failedAddresses   map[string]bool
	idle              []*conn
}

// Close closes all idle connections. No call may be in progress.
func (g *LoadGenerator) Close() {
	for _, clients := range g.clients {
		for _, c := range clients {
			c.closeIdle()
		}
	}
}

// Client returns a client of a zone for use with Do; i selects one, modulo their number.
func (g *LoadGenerator) Client(zone string, i int) *client {
	return g.clients[zone][i%len(g.clients[zone])]
}

// randomBelow returns a random number in [0, n).
func (g *LoadGenerator) randomBelow(n int) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.random.IntN(n)
}

// newAttemptID returns a unique ID.
func (g *LoadGenerator) newAttemptID() string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.attempts++
	return fmt.Sprintf("%08x%08x", g.random.Uint32(), g.attempts)
}

// report records a violation, if there is a checker.
func (g *LoadGenerator) report(rule checker.Rule, format string, args ...any) {
	if g.options.Checker != nil {
		g.options.Checker.Report(rule, format, args...)
	}
}
