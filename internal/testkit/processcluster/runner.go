package processcluster

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The states of a runner in discovery.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone" // not on the list
)

const (
	runnerModel             = "two-core"
	queuePlacesPerSlot      = 2
	defaultSlowStartSeconds = 9 // in the settings, if no runner needs slow start
)

// failureDomains are the zones of the runners.
var failureDomains = []string{"milano", "torino"}

func (c *Cluster) slowStartSeconds() float64 {
	if c.SlowStartSeconds > 0 {
		return c.SlowStartSeconds
	}
	return defaultSlowStartSeconds
}

// Runner is a fake runner that executes jobs in slots. During slow start it bears no more than the settings promise:
// sent more, it becomes overloaded and drops every job.
type Runner struct {
	Name string

	cluster       *Cluster
	failureDomain int
	mutex         sync.Mutex // guards the state, the times, the counts and the exported fields below
	state         string     // in discovery: stateReady, stateDraining or stateGone
	startedAt     time.Time
	lastJobAt     time.Time
	slowStart     bool
	running       int
	waiting       int
	slots         chan bool // has an element for each job that is executed
	servers       memberServers
	client        *http.Client
	recentWork    []workItem // within overloadWindowSeconds
	overloaded    bool
	peakShare     float64            // largest share of its slow start limit that was used since its start; above 1: overloaded
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
	runner := &Runner{
		Name:          fmt.Sprintf("s-%02d", index),
		cluster:       c,
		failureDomain: index % len(failureDomains),
		state:         stateReady,
		slots:         make(chan bool, int(c.RunnerSlots)),
		WorkByMember:  map[string]float64{},
		client: &http.Client{
			Timeout:   10 * time.Second,
			Transport: &http.Transport{MaxIdleConnsPerHost: 64},
		},
	}
	runner.ctx, runner.cancel = context.WithCancel(context.Background())
	if c.SlowStartSeconds > 0 {
		runner.startedAt = time.Now()
		runner.slowStart = true
	}
	return runner
}

// listen opens a port for the jobs of a member, so that the sender is known.
func (r *Runner) listen(member *Member) string {
	address, err := r.servers.listen("127.0.0.2", func(writer http.ResponseWriter, request *http.Request) {
		r.serve(member, writer, request)
	})
	r.cluster.must(err)
	return address
}

func (r *Runner) close() {
	r.cancel()
	r.servers.close()
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
	r.state = stateReady
	r.startedAt = time.Now()
	r.slowStart = true
	r.overloaded = false
	r.peakShare = 0
	r.recentWork = nil
	r.WorkSeconds = 0
	clear(r.WorkByMember)
}

// LoadSinceStart returns the largest share of the slow start limit that was used since the start, the work accepted
// since then in seconds, and whether the runner became overloaded.
func (r *Runner) LoadSinceStart() (peakShare, work float64, overloaded bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.peakShare, r.WorkSeconds, r.overloaded
}

// target returns the runner's entry on the list of discovery, with the address at which the reader of the list reaches
// it; listed is false if it is not on the list.
func (r *Runner) target(endpoint string) (entry target, listed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	entry = target{
		Zone:          failureDomains[r.failureDomain],
		CapacityHint:  1,
		Endpoint:      endpoint,
		Model:         runnerModel,
		FailureDomain: r.failureDomain,
		State:         r.state,
		Name:          r.Name,
	}
	if r.slowStart {
		entry.StartedAt = r.startedAt.UnixMilli()
	}
	return entry, r.state != stateGone
}

// accept counts a job; false if the runner is overloaded.
func (r *Runner) accept(member *Member) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.overloaded {
		return false
	}
	now := time.Now()
	work := r.cluster.JobSeconds
	r.JobCount++
	r.lastJobAt = now
	r.WorkSeconds += work
	r.WorkByMember[member.Name] += work
	age := now.Sub(r.startedAt).Seconds()
	if !r.slowStart || age >= r.cluster.slowStartSeconds() {
		return true
	}
	r.recentWork = append(r.recentWork, workItem{now, work})
	capacity := r.cluster.RunnerSlots * (slowStartShare + (1-slowStartShare)*age/r.cluster.slowStartSeconds())
	r.peakShare = max(r.peakShare, r.sumRecentWork(now)/(overloadMultiple*capacity*overloadWindowSeconds))
	if r.peakShare > 1 {
		r.overloaded = true
		r.cluster.Log(fmt.Sprintf("%s: overloaded %.3f s after its start; work by member: %v", r.Name, age, r.WorkByMember))
		return false
	}
	return true
}

// sumRecentWork returns the work accepted within the overload window, in seconds, and forgets what is older. The mutex
// must be held.
func (r *Runner) sumRecentWork(now time.Time) (sum float64) {
	recent := r.recentWork[:0]
	for _, item := range r.recentWork {
		if now.Sub(item.at).Seconds() < overloadWindowSeconds {
			recent = append(recent, item)
			sum += item.work
		}
	}
	r.recentWork = recent
	return sum
}

// loadReport returns the JSON field with the runner's load. The mutex must be held.
func (r *Runner) loadReport() string {
	utilization := float64(r.running) / r.cluster.RunnerSlots
	freeSlots := int(r.cluster.RunnerSlots) - r.running
	return fmt.Sprintf(`"load":{"util":%.2f,"inflight":%d,"queue":%d,"x0":%d}`,
		utilization, r.running+r.waiting, r.waiting, freeSlots)
}

func (r *Runner) serve(member *Member, writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	if request.Method != "POST" {
		writer.WriteHeader(http.StatusNoContent)
		return
	}
	id := request.Header.Get("X-Call-Id")
	class := request.Header.Get("X-Call-Class")
	if r.cluster.Discovery.violatesDrain(member, r) {
		r.cluster.jobs.addViolation("%s sent %s to %s, after a notice that it is draining", member.Name, id, r.Name)
	}
	if !r.accept(member) {
		panic(http.ErrAbortHandler)
	}
	if load, queued := r.enqueue(); !queued {
		writer.Header().Set("X-Rejected", "1")
		writer.Header().Set("X-Load", load)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.cluster.jobs.recordExecution(id, class)
	writer.WriteHeader(http.StatusAccepted)
	r.jobs.Add(1)
	go r.run(member, id)
}

// enqueue gives a job a place in the queue; if there is none, it returns false and the load.
func (r *Runner) enqueue() (load string, queued bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.waiting >= queuePlacesPerSlot*int(r.cluster.RunnerSlots) {
		return r.loadReport(), false
	}
	r.waiting++
	return "", true
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
