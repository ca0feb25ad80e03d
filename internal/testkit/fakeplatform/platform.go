// Package fakeplatform is a fake of the platform's list of runners: GET /servers on loopback, paged, with a
// propagation delay and a rate limit.
package fakeplatform

import (
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Path is the endpoint of the list.
const Path = "/servers"

// Entry is a runner on the list.
type Entry struct {
	ID, Service    string
	Address        netip.AddrPort
	Zone           string
	Capacity       int
	Draining       bool
	SlowStartUntil time.Time // zero: no slow start
	TerminatesAt   time.Time // announced termination; zero: none
	Model          string    // empty: none
}

// Options configure a platform.
type Options struct {
	Address          string        // host:port to listen on
	PropagationDelay time.Duration // from a change to its appearance on the list
	PageSize         int           // entries; 0: all on one page
	CallsPerSecond   float64       // rate limit; 0: none
	Now              func() time.Time
}

// Platform serves the list. Its methods may be called from any goroutine.
type Platform struct {
	options Options
	server  *http.Server
	address netip.AddrPort

	mutex   sync.Mutex
	entries map[string]Entry
	changes []change // not visible yet, oldest first
	calls   []time.Time
	stats   Stats
	failing bool
}

// change adds, replaces or removes an entry.
type change struct {
	at      time.Time // when it becomes visible
	entry   Entry
	removed bool
}

// Stats counts the calls; throttled ones were answered with 429.
type Stats struct{ Calls, Throttled int }

// Start starts a platform; Close stops it.
func Start(options Options) (*Platform, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	l, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, err
	}
	p := &Platform{options: options, address: l.Addr().(*net.TCPAddr).AddrPort(), entries: make(map[string]Entry)}
	p.server = &http.Server{Handler: p, ErrorLog: log.New(io.Discard, "", 0)}
	go p.server.Serve(l)
	return p, nil
}

// Address returns the address that it listens on.
func (p *Platform) Address() netip.AddrPort { return p.address }

// Close stops the server.
func (p *Platform) Close() { p.server.Close() }

// Stats returns the counts so far.
func (p *Platform) Stats() Stats {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.stats
}

// SetFailing makes every call fail with 500, or ends that.
func (p *Platform) SetFailing(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.failing = down
}

// Set adds or replaces an entry and returns when that becomes visible.
func (p *Platform) Set(e Entry) time.Time { return p.addChange(change{entry: e}) }

// Remove removes an entry and returns when that becomes visible.
func (p *Platform) Remove(id string) time.Time {
	return p.addChange(change{entry: Entry{ID: id}, removed: true})
}

func (p *Platform) addChange(ch change) time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	ch.at = p.options.Now().Add(p.options.PropagationDelay)
	p.changes = append(p.changes, ch)
	return ch.at
}

// applyChanges makes the changes visible that are due.
func (p *Platform) applyChanges(now time.Time) {
	for len(p.changes) > 0 && !p.changes[0].at.After(now) {
		ch := p.changes[0]
		p.changes = p.changes[1:]
		if ch.removed {
			delete(p.entries, ch.entry.ID)
		} else {
			p.entries[ch.entry.ID] = ch.entry
		}
	}
}
