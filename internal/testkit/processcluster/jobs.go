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
	// A runner in slow start that accepts more work within overloadWindowSeconds than overloadMultiple times its present
	// capacity becomes overloaded and drops every job.
	overloadMultiple      = 3.0
	overloadWindowSeconds = 2.0
	slowStartShare        = 0.34 // of its capacity that a runner has at the beginning of slow start; it rises linearly
	jobBudgetMS           = 4000 // time that a job has
	// maxOpenJobs bounds the jobs in flight at a member. Beyond half of the sockets that it allows for one address
	// the admission limit rejects connections, which is tested elsewhere.
	maxOpenJobs          = 100
	drainGraceSeconds    = 0.3 // that the protocol gives after a drain notice
	drainScheduleSeconds = 1.0 // more that is allowed for a runner that wasn't scheduled
	maxLoggedViolations  = 20
)

// The classes of jobs in the settings.
const (
	classScore = "score" // may be repeated
	classOnce  = "once"  // must not be repeated
)

// jobLog records the outcomes of jobs and violations of the job rules.
type jobLog struct {
	mutex      sync.Mutex
	outcomes   map[string]int // by served, refused or failed
	executions map[string]int // by job
	violations []string
	unknown    int // jobs whose dispatcher was killed or stopped meanwhile
}

func (b *jobLog) init() {
	b.outcomes = map[string]int{}
	b.executions = map[string]int{}
}

func (b *jobLog) addViolation(format string, a ...any) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.violations) < maxLoggedViolations {
		b.violations = append(b.violations, fmt.Sprintf(format, a...))
	}
}

func (b *jobLog) recordExecution(id, class string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.executions[id]++
	repeated := b.executions[id] > 1 && class == classOnce
	if repeated && len(b.violations) < maxLoggedViolations {
		b.violations = append(b.violations, id+", which must not be repeated, was run again")
	}
}

func (b *jobLog) recordOutcome(how string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.outcomes[how]++
}

// submitJobs submits jobs to a member until its clients are stopped, and waits for their answers.
func (m *Member) submitJobs() {
	c := m.cluster
	defer c.submitters.Done()
	rng := rand.New(rand.NewPCG(c.Seed, uint64(m.Index)))
	var jobs sync.WaitGroup
	defer jobs.Wait()
	open := make(chan bool, maxOpenJobs)
	for n := 0; !m.clientsStopped.Load(); n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / c.JobsPerSecond * float64(time.Second)))
		if m.clientsStopped.Load() {
			return
		}
		class := classScore
		if n%4 == 0 {
			class = classOnce
		}
		id := fmt.Sprintf("%016x", c.lastJobID.Add(1))
		jobs.Add(1)
		open <- true
		go func() {
			defer jobs.Done()
			defer func() { <-open }()
			m.submitJob(id, class)
		}()
	}
}

func (m *Member) submitJob(id, class string) {
	jobs := &m.cluster.jobs
	interruptions := m.interruptions.Load()
	started := time.Now()
	request, err := http.NewRequest("POST", "http://"+m.ListenAddress+"/"+class+"/7f3a", bytes.NewReader([]byte("payload")))
	m.cluster.must(err)
	request.Header.Set("X-Call-Id", id)
	request.Header.Set("X-Call-Class", class)
	request.Header.Set("X-Call-Info", "slots=1,memory=0.5")
	request.Header.Set("X-Budget-Ms", fmt.Sprint(jobBudgetMS))
	request.Header.Set("Idempotency-Key", id)
	answer, err := m.client.Do(request)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(answer.Body)
		answer.Body.Close()
	}
	switch {
	case err != nil && (m.interruptions.Load() != interruptions || m.cluster.ending.Load()):
		jobs.mutex.Lock()
		jobs.unknown++
		jobs.mutex.Unlock()
	case err != nil:
		jobs.addViolation("%s: job %s got no answer after %.2f s: %v", m.Name, id, time.Since(started).Seconds(), err)
	case answer.StatusCode == 200 && string(body) != id:
		jobs.addViolation("%s: job %s was answered with %q", m.Name, id, body)
	case answer.StatusCode == 200:
		jobs.recordOutcome("served")
	case answer.StatusCode == 429 || answer.StatusCode == 503:
		jobs.recordOutcome("refused")
	default:
		jobs.recordOutcome("failed")
	}
}

// ServedJobs returns how many jobs were served so far.
func (c *Cluster) ServedJobs() int {
	c.jobs.mutex.Lock()
	defer c.jobs.mutex.Unlock()
	return c.jobs.outcomes["served"]
}

// Check stops all clients and checks the run: each job got exactly one final answer, no rule was violated, at least
// half of the jobs were served, the audit finds nothing, and no process logged a crash or a data race.
func (c *Cluster) Check() {
	c.TB.Helper()
	for _, m := range c.Members {
		m.clientsStopped.Store(true)
	}
	c.submitters.Wait()
	b := &c.jobs
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, f := range b.violations {
		c.TB.Error(f)
	}
	all := b.outcomes["served"] + b.outcomes["refused"] + b.outcomes["failed"]
	c.TB.Logf("jobs: %d served, %d refused, %d failed; %d were at a dispatcher that was killed or stopped",
		b.outcomes["served"], b.outcomes["refused"], b.outcomes["failed"], b.unknown)
	if all == 0 || b.outcomes["served"]*2 < all {
		c.TB.Errorf("%d of %d jobs were served", b.outcomes["served"], all)
	}
	if !c.Standalone {
		c.checkAudit()
	}
	for _, m := range c.Members {
		for _, sign := range []string{"panic:", "goroutine ", "DATA RACE"} {
			if text := m.LogText(); strings.Contains(text, sign) {
				c.TB.Errorf("%s: %q in its log", m.Name, sign)
			}
		}
	}
}
