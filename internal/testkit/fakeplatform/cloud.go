// Package cloud stands in for the platform's list of runners: GET /servers on loopback, in pages, some time behind, and
// with a bound on calls a second.
package fakeplatform

import (
	"cmp"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Path is where the list is.
const Path = "/servers"

// pagePrefix begins the name of a page, that its first entry's number follows.
const pagePrefix = "p-"

// rateWindow is the span in which calls are counted.
const rateWindow = time.Second

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

// instanceDocument is an entry on the wire.
type instanceDocument struct {
	Service            string          `json:"service"`
	Address            string          `json:"address"`
	Zone               string          `json:"zone"`
	Version            string          `json:"version"`
	Capacity           int             `json:"capacity"`
	State              string          `json:"state"`
	SlowStartRemaining int64           `json:"cold_left_ms"`
	TimeToTermination  *int64          `json:"time_left_ms,omitempty"`
	Phase              string          `json:"phase,omitempty"`
	Models             []modelDocument `json:"models,omitempty"`
	ID                 string          `json:"id"`
}

type modelDocument struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// pageDocument is an answer.
type pageDocument struct {
	Instances []instanceDocument `json:"instances"`
	NextToken *string            `json:"next_token"`
}

// ServeHTTP answers calls.
func (p *Platform) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != Path || request.Method != http.MethodGet {
		http.NotFound(w, request)
		return
	}
	first := 0
	if token := request.URL.Query().Get("page_token"); token != "" {
		n, err := strconv.Atoi(strings.TrimPrefix(token, pagePrefix))
		if err != nil || n < 0 || !strings.HasPrefix(token, pagePrefix) {
			http.Error(w, "page_token is none of ours", http.StatusBadRequest)
			return
		}
		first = n
	}
	answer, status := p.makePage(request.URL.Query().Get("zone"), first)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

// makePage makes a page.
func (p *Platform) makePage(zone string, first int) (*pageDocument, int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.options.Now()
	if status := p.countCall(now); status != http.StatusOK {
		return nil, status
	}
	p.applyChanges(now)
	var chosen []Entry
	for _, e := range p.entries {
		if zone == "" || e.Zone == zone {
			chosen = append(chosen, e)
		}
	}
	slices.SortFunc(chosen, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	end := len(chosen)
	answer := &pageDocument{Instances: []instanceDocument{}}
	if p.options.PageSize > 0 && first+p.options.PageSize < end {
		end = first + p.options.PageSize
		next := pagePrefix + strconv.Itoa(end)
		answer.NextToken = &next
	}
	for _, e := range chosen[min(first, end):end] {
		answer.Instances = append(answer.Instances, e.instance(now))
	}
	return answer, http.StatusOK
}

// countCall counts a call.
func (p *Platform) countCall(now time.Time) int {
	p.stats.Calls++
	for len(p.calls) > 0 && now.Sub(p.calls[0]) >= rateWindow {
		p.calls = p.calls[1:]
	}
	switch {
	case p.failing:
		return http.StatusInternalServerError
	case p.options.CallsPerSecond > 0 && float64(len(p.calls)+1) > p.options.CallsPerSecond:
		p.stats.Throttled++
		return http.StatusTooManyRequests
	}
	p.calls = append(p.calls, now)
	return http.StatusOK
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

func (e *Entry) instance(now time.Time) instanceDocument {
	i := instanceDocument{Service: e.Service, Address: e.Address.String(), Zone: e.Zone, Version: "v1", Capacity: e.Capacity,
		State: "serving",
		ID:    e.ID, SlowStartRemaining: max(0, e.SlowStartUntil.Sub(now).Milliseconds())}
	if e.Draining {
		i.State = "draining"
	}
	if !e.TerminatesAt.IsZero() {
		left := max(0, e.TerminatesAt.Sub(now).Milliseconds())
		i.TimeToTermination = &left
	}
	if e.Model != "" {
		i.Phase = "both"
		i.Models = []modelDocument{{Name: e.Model, Version: 1, Adapters: []string{}}}
	}
	return i
}
