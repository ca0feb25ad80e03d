package processcluster

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
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
		time.Sleep(time.Duration(rng.ExpFloat64() / r.JobsPerSecond * float64(time.Second)))
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
	q, err := http.NewRequest("POST", "http://"+m.ListenAddress+"/"+class+"/7f3a", bytes.NewReader([]byte("payload")))
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

// ServedJobs is how many jobs were served so far.
func (r *Cluster) ServedJobs() int {
	r.books.mu.Lock()
	defer r.books.mu.Unlock()
	return r.books.ends["served"]
}

// Check has the clients leave and looks at what became of their jobs: one final answer each, no rule broken, and a share of
// them served that says the fleet did work.
func (r *Cluster) Check() {
	r.TB.Helper()
	for _, m := range r.Members {
		m.out.Store(true)
	}
	r.wait.Wait()
	b := &r.books
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, f := range b.faults {
		r.TB.Error(f)
	}
	all := b.ends["served"] + b.ends["refused"] + b.ends["failed"]
	r.TB.Logf("jobs: %d served, %d refused, %d failed; %d were at a dispatcher that was killed or stopped", b.ends["served"], b.ends["refused"], b.ends["failed"], b.unknown)
	if all == 0 || b.ends["served"]*2 < all {
		r.TB.Errorf("%d of %d jobs were served", b.ends["served"], all)
	}
	if !r.Standalone {
		r.audit()
	}
	for _, m := range r.Members {
		for _, sign := range []string{"panic:", "goroutine ", "DATA RACE"} {
			if text := m.LogText(); strings.Contains(text, sign) {
				r.TB.Errorf("%s: %q in its log", m.Name, sign)
			}
		}
	}
}
