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

func (c *Cluster) slowStartSeconds() float64 {
	if c.SlowStartSeconds > 0 {
		return c.SlowStartSeconds
	}
	return 9
}

// Runner is a fake runner that executes jobs in slots. During slow start it bears no more than the settings promise:
// sent more, it becomes overloaded and drops every job.
type Runner struct {
	Name string

	cluster       *Cluster
	failureDomain int
	mutex         sync.Mutex
	state         string // in discovery: ready, draining or gone
	startedAt     time.Time
	lastJobAt     time.Time
	slowStart     bool
	running       int
	waiting       int
	slots         chan bool
	servers       []*http.Server
	client        *http.Client
	recentWork    []workItem // within overloadWindowSeconds
	overloaded    bool
	peakShare     float64            // largest share of its slow start limit that was used since its start
	JobCount      int                // accepted
	WorkSeconds   float64            // accepted since its start
	WorkByMember  map[string]float64 // accepted since its start, in seconds by member
	jobs          sync.WaitGroup
	ctx           context.Context
	cancel        func()
}

type workItem struct {
	at   time.Time
	work float64
}

func newRunner(c *Cluster, index int) *Runner {
	runner := &Runner{Name: fmt.Sprintf("s-%02d", index), cluster: c, failureDomain: index % 2, state: "ready", slots: make(chan bool, int(c.RunnerSlots)), WorkByMember: map[string]float64{},
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	runner.ctx, runner.cancel = context.WithCancel(context.Background())
	if c.SlowStartSeconds > 0 {
		runner.startedAt, runner.slowStart = time.Now(), true
	}
	return runner
}

// listen opens a port for the jobs of a member, so that the sender is known.
func (r *Runner) listen(member *Member) string {
	l, err := net.Listen("tcp", "127.0.0.2:0")
	r.cluster.must(err)
	s := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) { r.serve(member, rw, q) })}
	r.servers = append(r.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

func (r *Runner) close() {
	r.cancel()
	for _, s := range r.servers {
		s.Close()
	}
	r.jobs.Wait()
}

// SetState sets the state in discovery; Discovery.Publish sends it.
func (r *Runner) SetState(state string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.state = state
}

// JobsFrom returns how many jobs of a member were accepted since the start.
func (r *Runner) JobsFrom(member *Member) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return int(r.WorkByMember[member.Name]/r.cluster.JobSeconds + 0.5)
}

// Idle reports whether there is no job, and none has arrived for half a second.
func (r *Runner) Idle() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.running+r.waiting == 0 && time.Since(r.lastJobAt) > 500*time.Millisecond
}

// Restart restarts the runner: ready, and in slow start.
func (r *Runner) Restart() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.state, r.startedAt, r.slowStart, r.overloaded, r.peakShare, r.WorkSeconds, r.recentWork = "ready", time.Now(), true, false, 0, 0, nil
	clear(r.WorkByMember)
}

// LoadSinceStart returns the largest share of the slow start limit that was used since the start, the work accepted
// since then in seconds, and whether the runner became overloaded.
func (r *Runner) LoadSinceStart() (worst, work float64, fallen bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.peakShare, r.WorkSeconds, r.overloaded
}

func (r *Runner) entry(endpoint string) (entry map[string]any, listed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	boot := int64(0)
	if r.slowStart {
		boot = r.startedAt.UnixMilli()
	}
	return map[string]any{"uid": r.Name, "endpoint": endpoint, "az": []string{"milano", "torino"}[r.failureDomain], "model": "two-core", "pod_group": r.failureDomain,
		"state": r.state, "capacity_hint": 1, "boot_ms": boot}, r.state != "gone"
}

// accept counts a job; false if the runner is overloaded.
func (r *Runner) accept(member *Member) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.overloaded {
		return false
	}
	r.JobCount++
	now, work := time.Now(), r.cluster.JobSeconds
	r.lastJobAt = now
	r.WorkSeconds += work
	r.WorkByMember[member.Name] += work
	age := now.Sub(r.startedAt).Seconds()
	if !r.slowStart || age >= r.cluster.slowStartSeconds() {
		return true
	}
	r.recentWork = append(r.recentWork, workItem{now, work})
	sum := 0.0
	keep := r.recentWork[:0]
	for _, s := range r.recentWork {
		if now.Sub(s.at).Seconds() < overloadWindowSeconds {
			keep = append(keep, s)
			sum += s.work
		}
	}
	r.recentWork = keep
	capacity := r.cluster.RunnerSlots * (slowStartShare + (1-slowStartShare)*age/r.cluster.slowStartSeconds())
	r.peakShare = max(r.peakShare, sum/(overloadMultiple*capacity*overloadWindowSeconds))
	if r.peakShare > 1 {
		r.overloaded = true
		r.cluster.Log(fmt.Sprintf("%s: overloaded %.3f s after its start; work by member: %v", r.Name, age, r.WorkByMember))
		return false
	}
	return true
}

func (r *Runner) loadReport() string {
	return fmt.Sprintf(`"load":{"util":%.2f,"inflight":%d,"queue":%d,"x0":%d}`, float64(r.running)/r.cluster.RunnerSlots, r.running+r.waiting, r.waiting,
		int(r.cluster.RunnerSlots)-r.running)
}

func (r *Runner) serve(member *Member, writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	if request.Method != "POST" {
		writer.WriteHeader(204)
		return
	}
	id, class := request.Header.Get("X-Call-Id"), request.Header.Get("X-Call-Class")
	if r.cluster.Discovery.violatesDrain(member, r) {
		r.cluster.jobs.addViolation("%s sent %s to %s, after a notice that it is draining", member.Name, id, r.Name)
	}
	if !r.accept(member) {
		panic(http.ErrAbortHandler)
	}
	r.mutex.Lock()
	if r.waiting >= 2*int(r.cluster.RunnerSlots) {
		load := r.loadReport()
		r.mutex.Unlock()
		writer.Header().Set("X-Rejected", "1")
		writer.Header().Set("X-Load", load)
		writer.WriteHeader(503)
		return
	}
	r.waiting++
	r.mutex.Unlock()
	r.cluster.jobs.recordExecution(id, class)
	writer.WriteHeader(202)
	r.jobs.Add(1)
	go r.run(member, id)
}

func (r *Runner) run(member *Member, id string) {
	defer r.jobs.Done()
	r.slots <- true
	r.mutex.Lock()
	r.waiting--
	r.running++
	r.mutex.Unlock()
	r.notify(member, id, `"state":"started"`)
	select {
	case <-time.After(time.Duration(r.cluster.JobSeconds * float64(time.Second))):
	case <-r.ctx.Done():
	}
	<-r.slots
	r.mutex.Lock()
	r.running--
	load := r.loadReport()
	r.mutex.Unlock()
	r.notify(member, id, `"state":"done","result":"`+id+`",`+load)
}

// notify sends a job's progress to the dispatcher that submitted it; errors are ignored, as the dispatcher may be
// gone.
func (r *Runner) notify(member *Member, id, rest string) {
	request, err := http.NewRequestWithContext(r.ctx, "POST", "http://"+member.ListenAddress+"/_jobs/news",
		strings.NewReader(fmt.Sprintf(`{"id":%q,"from":%q,%s}`, id, r.Name, rest)))
	if err != nil {
		return
	}
	if answer, err := r.client.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
	}
}
