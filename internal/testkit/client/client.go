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
	defaultClients = 10
	lookups        = 3           // directories that are tried
	lookupWait     = time.Second // for each
	connectWait    = time.Second
	holdsLonger    = 4 // one in so many clients holds an answer of the directory for longer
	longerHold     = 3 // times as long
	keeps          = 2 // one in so many clients keeps connections
	chunks         = 5 // one in so many bodies comes in chunks
)

// LoadGenerator is clients at work.
type LoadGenerator struct {
	options Options
	clients map[string][]*client // by zone
	tally   tally

	mutex  sync.Mutex
	random *rand.Rand
	tries  uint64
}

// New makes clients.
func New(o Options) *LoadGenerator {
	if o.ClientsPerZone == 0 {
		o.ClientsPerZone = defaultClients
	}
	l := &LoadGenerator{options: o, clients: make(map[string][]*client), random: rand.New(rand.NewPCG(o.Seed, 5))}
	l.tally.routes = make(map[string]*RouteStats)
	for zone, region := range o.RegionOfZone {
		for i := range o.ClientsPerZone {
			c := &client{load: l, zone: zone, region: region, keeps: i%keeps == 0, hold: 1}
			if i%holdsLonger == holdsLonger-1 {
				c.hold = longerHold
			}
			l.clients[zone] = append(l.clients[zone], c)
		}
	}
	return l
}

// Run makes calls, each at its time, and returns when all have an end. The calls are in order of time.
func (l *LoadGenerator) Run(ctx context.Context, calls []*Call) {
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
		clients := l.clients[call.Zone]
		go func() {
			defer group.Done()
			l.Do(ctx, clients[i%len(clients)], call)
		}()
	}
	group.Wait()
}

// client is one user of the system: it has its own answers of the directory and its own connections.
type client struct {
	load         *LoadGenerator
	zone, region string
	keeps        bool
	hold         int // multiple of the time that an answer of the directory counts

	mutex     sync.Mutex
	addresses []string
	until     time.Time
	failed    map[string]bool
	idle      []*conn
}

// Client is a client of a zone, for calls that are made one by one.
func (l *LoadGenerator) Client(zone string, i int) *client {
	return l.clients[zone][i%len(l.clients[zone])]
}

// number draws from 0 to n-1.
func (l *LoadGenerator) number(n int) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.random.IntN(n)
}

// newTry names a try.
func (l *LoadGenerator) newTry() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tries++
	return fmt.Sprintf("%08x%08x", l.random.Uint32(), l.tries)
}

// breach notes a broken rule.
func (l *LoadGenerator) breach(rule checker.Rule, format string, args ...any) {
	if l.options.Checker != nil {
		l.options.Checker.Report(rule, format, args...)
	}
}
