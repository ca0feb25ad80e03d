package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	fallMultiple = 3.0 // a cold runner that is sent more than this multiple of its present capacity
	fallTime     = 2.0 // within this many seconds falls over
	coldShare    = 0.34
	budgetMS     = 4000
	// Jobs that wait at one member, at most: more than half of its sockets from one address are the door's business, whose
	// refusals under a flood of new connections are tested elsewhere.
	mostOpen = 100
	// Drains are told 0.3 s ahead by the protocol; the rest is for a runner of ours that got no processor just then.
	drainGrace = 0.3 + 1.0
)

func (r *Rig) coldTime() float64 {
	if r.ColdS > 0 {
		return r.ColdS
	}
	return 9
}

// ---- discovery ----

// Discovery tells each member the runners by its own ways to them.
type Discovery struct {
	rig     *Rig
	mu      sync.Mutex
	rev     int64
	changed chan struct{}
	servers []*http.Server
	told    map[string]time.Time // member and runner that drains: when it was told
	old     map[*Member]*listed  // what some are told whatever has changed since
}

// listed is the list at a version.
type listed struct {
	rev     int64
	targets []map[string]any
}

func newDiscovery(r *Rig) *Discovery {
	return &Discovery{rig: r, changed: make(chan struct{}), told: map[string]time.Time{}, old: map[*Member]*listed{}}
}

func (d *Discovery) listen(m *Member) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	d.rig.must(err)
	s := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) { d.watch(m, rw, q) })}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

func (d *Discovery) close() {
	for _, s := range d.servers {
		s.Close()
	}
}

// Tell tells the list anew to all who watch.
func (d *Discovery) Tell() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for _, u := range d.rig.Runners { // what is lifted is lifted for all, whoever has heard of it
		if entry, listed := u.entry(""); !listed || entry["state"] != "draining" {
			for _, m := range d.rig.Members {
				delete(d.told, m.Name+" "+u.Name)
			}
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.rig.Log(fmt.Sprintf("discovery: version %d", d.rev))
}

func (d *Discovery) watch(m *Member, rw http.ResponseWriter, q *http.Request) {
	for {
		d.mu.Lock()
		rev, changed := d.rev, d.changed
		var targets []map[string]any
		old := d.old[m]
		if old != nil {
			rev, targets = old.rev, old.targets
		}
		for i, u := range d.rig.Runners {
			if entry, listed := u.entry(m.runners[i].Addr()); listed && old == nil {
				targets = append(targets, entry)
				way := m.list.Link()
				if key := m.Name + " " + u.Name; entry["state"] != "draining" {
					delete(d.told, key)
				} else if _, had := d.told[key]; !had && !way.Silent && !way.Resets { // else it is not told
					d.told[key] = time.Now().Add(way.Delay + way.Jitter)
				}
			}
		}
		d.mu.Unlock()
		line, _ := json.Marshal(map[string]any{"rev": rev, "all": true, "targets": targets})
		if _, err := rw.Write(append(line, '\n')); err != nil {
			return
		}
		rw.(http.Flusher).Flush()
		for waits := true; waits; {
			select {
			case <-changed:
				waits = false
			case <-time.After(time.Second):
				if _, err := io.WriteString(rw, "\n"); err != nil {
					return
				}
				rw.(http.Flusher).Flush()
			case <-q.Context().Done():
				return
			}
		}
	}
}

// Freeze has a member told the list as it is now for as long as it is on, whatever changes.
func (d *Discovery) Freeze(m *Member, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.old[m] = nil
	if !on {
		return
	}
	was := &listed{rev: d.rev}
	for i, u := range d.rig.Runners {
		if entry, is := u.entry(m.runners[i].Addr()); is {
			was.targets = append(was.targets, entry)
		}
	}
	d.old[m] = was
}

// late says whether a job that a member sends to a runner now comes after a drain that it was told in time.
func (d *Discovery) late(m *Member, u *Runner) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, told := d.told[m.Name+" "+u.Name]
	return told && time.Since(at).Seconds() > drainGrace
}

// ---- runners ----

// Runner runs jobs in slots. While it is cold it bears no more than the settings say: sent more, it falls over.
type Runner struct {
	Name string

	rig     *Rig
	cell    int
	mu      sync.Mutex
	state   string // ready, draining or gone
	boot    time.Time
	last    time.Time // a job came
	cold    bool
	running int
	waiting int
	slots   chan bool
	servers []*http.Server
	client  *http.Client
	sends   []send // within a fall time
	fallen  bool
	worst   float64            // share of what it bears that it was sent in the worst fall time since its start
	Jobs    int                // taken
	Work    float64            // seconds of work taken since its start
	By      map[string]float64 // of it, by member
	busy    sync.WaitGroup
	ctx     context.Context
	cancel  func()
}

type send struct {
	at   time.Time
	work float64
}

func newRunner(r *Rig, i int) *Runner {
	u := &Runner{Name: fmt.Sprintf("s-%02d", i), rig: r, cell: i % 2, state: "ready", slots: make(chan bool, int(r.SlotsOf)), By: map[string]float64{},
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	u.ctx, u.cancel = context.WithCancel(context.Background())
	if r.ColdS > 0 {
		u.boot, u.cold = time.Now(), true
	}
	return u
}

// listen opens a port for a member's jobs.
func (u *Runner) listen(m *Member) string {
	l, err := net.Listen("tcp", "127.0.0.2:0")
	u.rig.must(err)
	s := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) { u.serve(m, rw, q) })}
	u.servers = append(u.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

func (u *Runner) close() {
	u.cancel()
	for _, s := range u.servers {
		s.Close()
	}
	u.busy.Wait()
}

// Set sets the state that discovery tells; Tell tells it.
func (u *Runner) Set(state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
}

// Took is how many jobs of a member the runner has taken since its start.
func (u *Runner) Took(m *Member) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return int(u.By[m.Name]/u.rig.WorkS + 0.5)
}

// Idle says whether no job is there, and none has come for half a second.
func (u *Runner) Idle() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running+u.waiting == 0 && time.Since(u.last) > 500*time.Millisecond
}

// Boot has the runner start anew, cold and ready.
func (u *Runner) Boot() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state, u.boot, u.cold, u.fallen, u.worst, u.Work, u.sends = "ready", time.Now(), true, false, 0, 0, nil
	clear(u.By)
}

// Borne is the largest share of what it bears that the runner was sent within a fall time since its start, the work that it
// was given since, in seconds, and whether it fell over.
func (u *Runner) Borne() (worst, work float64, fallen bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.worst, u.Work, u.fallen
}

func (u *Runner) entry(endpoint string) (entry map[string]any, listed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	boot := int64(0)
	if u.cold {
		boot = u.boot.UnixMilli()
	}
	return map[string]any{"uid": u.Name, "endpoint": endpoint, "az": []string{"milano", "torino"}[u.cell], "model": "two-core", "pod_group": u.cell,
		"state": u.state, "capacity_hint": 1, "boot_ms": boot}, u.state != "gone"
}

// take books a job and says whether the runner stands it.
func (u *Runner) take(m *Member) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fallen {
		return false
	}
	u.Jobs++
	now, work := time.Now(), u.rig.WorkS
	u.last = now
	u.Work += work
	u.By[m.Name] += work
	age := now.Sub(u.boot).Seconds()
	if !u.cold || age >= u.rig.coldTime() {
		return true
	}
	u.sends = append(u.sends, send{now, work})
	sum := 0.0
	keep := u.sends[:0]
	for _, s := range u.sends {
		if now.Sub(s.at).Seconds() < fallTime {
			keep = append(keep, s)
			sum += s.work
		}
	}
	u.sends = keep
	capacity := u.rig.SlotsOf * (coldShare + (1-coldShare)*age/u.rig.coldTime())
	u.worst = max(u.worst, sum/(fallMultiple*capacity*fallTime))
	if u.worst > 1 {
		u.fallen = true
		u.rig.Log(fmt.Sprintf("%s: falls over %.3f s after its start; work by member: %v", u.Name, age, u.By))
		return false
	}
	return true
}

func (u *Runner) load() string {
	return fmt.Sprintf(`"load":{"util":%.2f,"inflight":%d,"queue":%d,"x0":%d}`, float64(u.running)/u.rig.SlotsOf, u.running+u.waiting, u.waiting,
		int(u.rig.SlotsOf)-u.running)
}

func (u *Runner) serve(m *Member, rw http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	if q.Method != "POST" {
		rw.WriteHeader(204)
		return
	}
	id, class := q.Header.Get("X-Call-Id"), q.Header.Get("X-Call-Class")
	if u.rig.Discovery.late(m, u) {
		u.rig.books.broken("%s sent %s to %s, of which it was told that it drains", m.Name, id, u.Name)
	}
	if !u.take(m) {
		panic(http.ErrAbortHandler)
	}
	u.mu.Lock()
	if u.waiting >= 2*int(u.rig.SlotsOf) {
		load := u.load()
		u.mu.Unlock()
		rw.Header().Set("X-Rejected", "1")
		rw.Header().Set("X-Load", load)
		rw.WriteHeader(503)
		return
	}
	u.waiting++
	u.mu.Unlock()
	u.rig.books.ran(id, class)
	rw.WriteHeader(202)
	u.busy.Add(1)
	go u.run(m, id)
}

func (u *Runner) run(m *Member, id string) {
	defer u.busy.Done()
	u.slots <- true
	u.mu.Lock()
	u.waiting--
	u.running++
	u.mu.Unlock()
	u.news(m, id, `"state":"started"`)
	select {
	case <-time.After(time.Duration(u.rig.WorkS * float64(time.Second))):
	case <-u.ctx.Done():
	}
	<-u.slots
	u.mu.Lock()
	u.running--
	load := u.load()
	u.mu.Unlock()
	u.news(m, id, `"state":"done","result":"`+id+`",`+load)
}

// news calls back; a dispatcher that has gone does not hear it.
func (u *Runner) news(m *Member, id, rest string) {
	q, err := http.NewRequestWithContext(u.ctx, "POST", "http://"+m.Listen+"/_jobs/news",
		strings.NewReader(fmt.Sprintf(`{"id":%q,"from":%q,%s}`, id, u.Name, rest)))
	if err != nil {
		return
	}
	if a, err := u.client.Do(q); err == nil {
		_, _ = io.Copy(io.Discard, a.Body)
		a.Body.Close()
	}
}

// ---- clients ----

// books are what became of each job.
type books struct {
	mu      sync.Mutex
	ends    map[string]int
	runs    map[string]int
	faults  []string
	unknown int // jobs whose dispatcher was killed or stopped under them
}

func (b *books) init() { b.ends, b.runs = map[string]int{}, map[string]int{} }

func (b *books) broken(format string, a ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.faults) < 20 {
		b.faults = append(b.faults, fmt.Sprintf(format, a...))
	}
}

func (b *books) ran(id, class string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runs[id]++; b.runs[id] > 1 && class == "once" && len(b.faults) < 20 {
		b.faults = append(b.faults, id+", which must not be repeated, was run again")
	}
}

func (b *books) end(how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ends[how]++
}

// handIn hands jobs in at a member for as long as clients come to it.
func (m *Member) handIn() {
	r := m.rig
	defer r.wait.Done()
	rng := rand.New(rand.NewPCG(r.Seed, uint64(m.Index)))
	var jobs sync.WaitGroup
	defer jobs.Wait()
	open := make(chan bool, mostOpen)
	for n := 0; !m.out.Load(); n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / r.Jobs * float64(time.Second)))
		if m.out.Load() {
			return
		}
		class := "score"
		if n%4 == 0 {
			class = "once"
		}
		id := fmt.Sprintf("%016x", r.ids.Add(1))
		jobs.Add(1)
		open <- true
		go func() {
			defer jobs.Done()
			defer func() { <-open }()
			m.ask(id, class)
		}()
	}
}

func (m *Member) ask(id, class string) {
	b, deaths := &m.rig.books, m.deaths.Load()
	from := time.Now()
	q, err := http.NewRequest("POST", "http://"+m.Listen+"/"+class+"/7f3a", bytes.NewReader([]byte("payload")))
	m.rig.must(err)
	for name, value := range map[string]string{"X-Call-Id": id, "X-Call-Class": class, "X-Budget-Ms": fmt.Sprint(budgetMS),
		"Idempotency-Key": id, "X-Call-Info": "slots=1,memory=0.5"} {
		q.Header.Set(name, value)
	}
	a, err := m.client.Do(q)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(a.Body)
		a.Body.Close()
	}
	switch {
	case err != nil && (m.deaths.Load() != deaths || m.rig.ending.Load()):
		b.mu.Lock()
		b.unknown++
		b.mu.Unlock()
	case err != nil:
		b.broken("%s: job %s got no answer after %.2f s: %v", m.Name, id, time.Since(from).Seconds(), err)
	case a.StatusCode == 200 && string(body) != id:
		b.broken("%s: job %s was answered with %q", m.Name, id, body)
	case a.StatusCode == 200:
		b.end("served")
	case a.StatusCode == 429 || a.StatusCode == 503:
		b.end("refused")
	default:
		b.end("failed")
	}
}

// Served is how many jobs were served so far.
func (r *Rig) Served() int {
	r.books.mu.Lock()
	defer r.books.mu.Unlock()
	return r.books.ends["served"]
}

// Check has the clients leave and looks at what became of their jobs: one final answer each, no rule broken, and a share of
// them served that says the fleet did work.
func (r *Rig) Check() {
	r.T.Helper()
	for _, m := range r.Members {
		m.out.Store(true)
	}
	r.wait.Wait()
	b := &r.books
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, f := range b.faults {
		r.T.Error(f)
	}
	all := b.ends["served"] + b.ends["refused"] + b.ends["failed"]
	r.T.Logf("jobs: %d served, %d refused, %d failed; %d were at a dispatcher that was killed or stopped", b.ends["served"], b.ends["refused"], b.ends["failed"], b.unknown)
	if all == 0 || b.ends["served"]*2 < all {
		r.T.Errorf("%d of %d jobs were served", b.ends["served"], all)
	}
	if !r.Off {
		r.audit()
	}
	for _, m := range r.Members {
		for _, sign := range []string{"panic:", "goroutine ", "DATA RACE"} {
			if text := m.Text(); strings.Contains(text, sign) {
				r.T.Errorf("%s: %q in its log", m.Name, sign)
			}
		}
	}
}
