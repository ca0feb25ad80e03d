package processcluster

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func (r *Cluster) coldTime() float64 {
	if r.SlowStartSeconds > 0 {
		return r.SlowStartSeconds
	}
	return 9
}

// Runner runs jobs in slots. While it is cold it bears no more than the settings say: sent more, it falls over.
type Runner struct {
	Name string

	rig          *Cluster
	cell         int
	mu           sync.Mutex
	state        string // ready, draining or gone
	boot         time.Time
	last         time.Time // a job came
	cold         bool
	running      int
	waiting      int
	slots        chan bool
	servers      []*http.Server
	client       *http.Client
	sends        []send // within a fall time
	fallen       bool
	worst        float64            // share of what it bears that it was sent in the worst fall time since its start
	JobCount     int                // taken
	WorkSeconds  float64            // seconds of work taken since its start
	WorkByMember map[string]float64 // of it, by member
	busy         sync.WaitGroup
	ctx          context.Context
	cancel       func()
}

type send struct {
	at   time.Time
	work float64
}

func newRunner(r *Cluster, i int) *Runner {
	u := &Runner{Name: fmt.Sprintf("s-%02d", i), rig: r, cell: i % 2, state: "ready", slots: make(chan bool, int(r.RunnerSlots)), WorkByMember: map[string]float64{},
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	u.ctx, u.cancel = context.WithCancel(context.Background())
	if r.SlowStartSeconds > 0 {
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

// SetState sets the state that discovery tells; Tell tells it.
func (u *Runner) SetState(state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
}

// JobsFrom is how many jobs of a member the runner has taken since its start.
func (u *Runner) JobsFrom(m *Member) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return int(u.WorkByMember[m.Name]/u.rig.JobSeconds + 0.5)
}

// Idle says whether no job is there, and none has come for half a second.
func (u *Runner) Idle() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running+u.waiting == 0 && time.Since(u.last) > 500*time.Millisecond
}

// Restart has the runner start anew, cold and ready.
func (u *Runner) Restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state, u.boot, u.cold, u.fallen, u.worst, u.WorkSeconds, u.sends = "ready", time.Now(), true, false, 0, 0, nil
	clear(u.WorkByMember)
}

// LoadSinceStart is the largest share of what it bears that the runner was sent within a fall time since its start, the work that it
// was given since, in seconds, and whether it fell over.
func (u *Runner) LoadSinceStart() (worst, work float64, fallen bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.worst, u.WorkSeconds, u.fallen
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
	u.JobCount++
	now, work := time.Now(), u.rig.JobSeconds
	u.last = now
	u.WorkSeconds += work
	u.WorkByMember[m.Name] += work
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
	capacity := u.rig.RunnerSlots * (coldShare + (1-coldShare)*age/u.rig.coldTime())
	u.worst = max(u.worst, sum/(fallMultiple*capacity*fallTime))
	if u.worst > 1 {
		u.fallen = true
		u.rig.Log(fmt.Sprintf("%s: falls over %.3f s after its start; work by member: %v", u.Name, age, u.WorkByMember))
		return false
	}
	return true
}

func (u *Runner) load() string {
	return fmt.Sprintf(`"load":{"util":%.2f,"inflight":%d,"queue":%d,"x0":%d}`, float64(u.running)/u.rig.RunnerSlots, u.running+u.waiting, u.waiting,
		int(u.rig.RunnerSlots)-u.running)
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
	if u.waiting >= 2*int(u.rig.RunnerSlots) {
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
	case <-time.After(time.Duration(u.rig.JobSeconds * float64(time.Second))):
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
	q, err := http.NewRequestWithContext(u.ctx, "POST", "http://"+m.ListenAddress+"/_jobs/news",
		strings.NewReader(fmt.Sprintf(`{"id":%q,"from":%q,%s}`, id, u.Name, rest)))
	if err != nil {
		return
	}
	if a, err := u.client.Do(q); err == nil {
		_, _ = io.Copy(io.Discard, a.Body)
		a.Body.Close()
	}
}
