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

// callWindow is the span in which calls are counted.
const callWindow = time.Second

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
	down    bool
}

// change is an entry that is new, altered or gone.
type change struct {
	at    time.Time // when it comes into sight
	entry Entry
	gone  bool
}

// Stats count calls.
type Stats struct{ Calls, Throttled int }

// Start starts the list.
func Start(o Options) (*Platform, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, err
	}
	c := &Platform{options: o, address: l.Addr().(*net.TCPAddr).AddrPort(), entries: make(map[string]Entry)}
	c.server = &http.Server{Handler: c, ErrorLog: log.New(io.Discard, "", 0)}
	go c.server.Serve(l)
	return c, nil
}

// Address is where the list is served.
func (c *Platform) Address() netip.AddrPort { return c.address }

// Close ends it.
func (c *Platform) Close() { c.server.Close() }

// Stats returns the counts.
func (c *Platform) Stats() Stats {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stats
}

// SetFailing has every call fail, or ends that.
func (c *Platform) SetFailing(down bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.down = down
}

// Set adds or alters an entry; it returns when that comes into sight.
func (c *Platform) Set(e Entry) time.Time { return c.add(change{entry: e}) }

// Remove takes an entry off; it returns when that comes into sight.
func (c *Platform) Remove(id string) time.Time {
	return c.add(change{entry: Entry{ID: id}, gone: true})
}

func (c *Platform) add(ch change) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ch.at = c.options.Now().Add(c.options.PropagationDelay)
	c.changes = append(c.changes, ch)
	return ch.at
}

// instance is an entry on the wire.
type instance struct {
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Capacity int     `json:"capacity"`
	State    string  `json:"state"`
	ColdLeft int64   `json:"cold_left_ms"`
	TimeLeft *int64  `json:"time_left_ms,omitempty"`
	Phase    string  `json:"phase,omitempty"`
	Models   []model `json:"models,omitempty"`
	ID       string  `json:"id"`
}

type model struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// page is an answer.
type page struct {
	Instances []instance `json:"instances"`
	NextToken *string    `json:"next_token"`
}

// ServeHTTP answers calls.
func (c *Platform) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != Path || q.Method != http.MethodGet {
		http.NotFound(w, q)
		return
	}
	first := 0
	if token := q.URL.Query().Get("page_token"); token != "" {
		n, err := strconv.Atoi(strings.TrimPrefix(token, pagePrefix))
		if err != nil || n < 0 || !strings.HasPrefix(token, pagePrefix) {
			http.Error(w, "page_token is none of ours", http.StatusBadRequest)
			return
		}
		first = n
	}
	answer, status := c.list(q.URL.Query().Get("zone"), first)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

// list makes a page.
func (c *Platform) list(zone string, first int) (*page, int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Now()
	if status := c.admit(now); status != http.StatusOK {
		return nil, status
	}
	c.catchUp(now)
	var chosen []Entry
	for _, e := range c.entries {
		if zone == "" || e.Zone == zone {
			chosen = append(chosen, e)
		}
	}
	slices.SortFunc(chosen, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	end := len(chosen)
	p := &page{Instances: []instance{}}
	if c.options.PageSize > 0 && first+c.options.PageSize < end {
		end = first + c.options.PageSize
		next := pagePrefix + strconv.Itoa(end)
		p.NextToken = &next
	}
	for _, e := range chosen[min(first, end):end] {
		p.Instances = append(p.Instances, e.instance(now))
	}
	return p, http.StatusOK
}

// admit counts a call.
func (c *Platform) admit(now time.Time) int {
	c.stats.Calls++
	for len(c.calls) > 0 && now.Sub(c.calls[0]) >= callWindow {
		c.calls = c.calls[1:]
	}
	switch {
	case c.down:
		return http.StatusInternalServerError
	case c.options.CallsPerSecond > 0 && float64(len(c.calls)+1) > c.options.CallsPerSecond:
		c.stats.Throttled++
		return http.StatusTooManyRequests
	}
	c.calls = append(c.calls, now)
	return http.StatusOK
}

// catchUp brings into sight what is old enough.
func (c *Platform) catchUp(now time.Time) {
	for len(c.changes) > 0 && !c.changes[0].at.After(now) {
		ch := c.changes[0]
		c.changes = c.changes[1:]
		if ch.gone {
			delete(c.entries, ch.entry.ID)
		} else {
			c.entries[ch.entry.ID] = ch.entry
		}
	}
}

func (e *Entry) instance(now time.Time) instance {
	i := instance{Service: e.Service, Address: e.Address.String(), Zone: e.Zone, Version: "v1", Capacity: e.Capacity,
		State: "serving",
		ID:    e.ID, ColdLeft: max(0, e.SlowStartUntil.Sub(now).Milliseconds())}
	if e.Draining {
		i.State = "draining"
	}
	if !e.TerminatesAt.IsZero() {
		left := max(0, e.TerminatesAt.Sub(now).Milliseconds())
		i.TimeLeft = &left
	}
	if e.Model != "" {
		i.Phase = "both"
		i.Models = []model{{Name: e.Model, Version: 1, Adapters: []string{}}}
	}
	return i
}
