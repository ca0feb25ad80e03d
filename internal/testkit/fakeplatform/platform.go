// Package cloud stands in for the platform's list of runners: GET /servers on loopback, in pages, some time behind, and
// with a bound on calls a second.
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

// Path is where the list is.
const Path = "/servers"

// Entry is a runner as it stands on the list.
type Entry struct {
	ID, Service    string
	Address        netip.AddrPort
	Zone           string
	Capacity       int
	Draining       bool
	SlowStartUntil time.Time // zero: warm
	TerminatesAt   time.Time // of one that is taken away at short notice; zero: not told
	Model          string    // empty: none
}

// Options describe the list.
type Options struct {
	Address          string        // to listen on
	PropagationDelay time.Duration // how old the list is
	PageSize         int           // entries on a page; 0: all
	CallsPerSecond   float64       // calls a second; 0: no bound
	Now              func() time.Time
}

// Platform serves the list. Its methods may be called from any goroutine.
type Platform struct {
	options Options
	server  *http.Server
	address netip.AddrPort

	mutex   sync.Mutex
	entries map[string]Entry
	changes []change // that have not come into sight yet, the oldest first
	calls   []time.Time
	stats   Stats
	failing bool
}

// change is an entry that is new, altered or gone.
type change struct {
	at      time.Time // when it comes into sight
	entry   Entry
	removed bool
}

// Stats count calls.
type Stats struct{ Calls, Throttled int }

// Start starts the list.
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

// Address is where the list is served.
func (p *Platform) Address() netip.AddrPort { return p.address }

// Close ends it.
func (p *Platform) Close() { p.server.Close() }

// Stats returns the counts.
func (p *Platform) Stats() Stats {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.stats
}

// SetFailing has every call fail, or ends that.
func (p *Platform) SetFailing(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.failing = down
}

// Set adds or alters an entry; it returns when that comes into sight.
func (p *Platform) Set(e Entry) time.Time { return p.addChange(change{entry: e}) }

// Remove takes an entry off; it returns when that comes into sight.
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

// applyChanges brings into sight what is old enough.
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
