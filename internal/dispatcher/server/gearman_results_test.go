package server

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	gm "cinderroad/internal/dispatcher/gearman"
)

// unreliableWorkers are workers that end a job badly at its first run if its data says so: "drop" has the worker disconnect
// after a status and connect anew, "fail" has it report a failure.
type unreliableWorkers struct {
	gearman *gearmanHarness
	mu      sync.Mutex
	begun   map[string]bool // by the job's data
}

// connect starts one worker.
func (w *unreliableWorkers) connect(grab gm.Kind) {
	conn := w.gearman.dial()
	conn.serveJobs(grab, func(handle, function, data string) bool {
		firstRun := w.begin(data)
		switch {
		case firstRun && strings.Contains(data, "drop"): // it has reported a status, so it may have run
			conn.send(gm.WorkStatus, handle, "1", "2")
			conn.Close()
			w.connect(grab)
			return true
		case strings.Contains(data, "fail") && w.gearman.runCount(data) == 1:
			conn.send(gm.WorkFail, handle)
		default:
			conn.echo(handle, function, data)
		}
		return false
	}, "safe", "keyed", "once")
}

// begin records a run of a job, and reports whether it is the first.
func (w *unreliableWorkers) begin(data string) (first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	first = !w.begun[data]
	w.begun[data] = true
	return first
}

// jobOutcome is what became of a job: its final answers, its runs at workers, and whether it was served.
type jobOutcome struct {
	Ends, Runs int
	Served     bool
}

// countingClient submits jobs one at a time, and counts their final answers: what is counted is ends and repeats, not how a
// jam is refused.
type countingClient struct {
	*gearmanConn
	names    map[string]string     // data of jobs, by handle
	outcomes map[string]jobOutcome // by data
}

// run submits a job and reads until a job has ended.
func (c *countingClient) run(submit gm.Kind, function, name string) {
	t := c.harness.t
	t.Helper()
	c.send(submit, function, "", name)
	c.names[c.want(gm.JobCreated).Args[0]] = name
	for {
		p, ok := c.next()
		if !ok {
			t.Fatal("the connection ended")
		}
		if p.Kind != gm.WorkComplete && p.Kind != gm.WorkFail {
			continue
		}
		ended := c.names[p.Args[0]]
		c.outcomes[ended] = jobOutcome{
			Ends:   c.outcomes[ended].Ends + 1,
			Runs:   c.harness.runCount(ended),
			Served: p.Kind == gm.WorkComplete && p.Args[1] == "did "+ended,
		}
		return
	}
}

// expectedOutcome returns what becomes of a job whose first run ends as how says.
func expectedOutcome(function, how string) jobOutcome {
	switch {
	case how == "plain":
		return jobOutcome{Ends: 1, Runs: 1, Served: true}
	case function == "once": // it may have run: no retry
		return jobOutcome{Ends: 1, Runs: 1, Served: false}
	}
	return jobOutcome{Ends: 1, Runs: 2, Served: true}
}

// TestGearmanOneResultPerJob checks that each job has one final answer and no more retries than its class allows, while
// workers disconnect after a status, fail, and leave. It is one scenario over shared connections, and so one function.
func TestGearmanOneResultPerJob(t *testing.T) {
	g := startGearmanHarness(t, options{cold: 0.001}, 5)
	workers := &unreliableWorkers{gearman: g, begun: map[string]bool{}}
	workers.connect(gm.GrabJob)
	g.eventually("first worker", func() bool { return strings.Contains(g.admin("status", ".\n"), "once\t0\t0\t1") })
	for _, grab := range []gm.Kind{gm.GrabJobUniq, gm.GrabJobAll, gm.GrabJobUniq, gm.GrabJobUniq, gm.GrabJobUniq} {
		workers.connect(grab)
	}
	g.eventually("all workers", func() bool { return strings.Contains(g.admin("status", ".\n"), "once\t0\t0\t6") })

	client := &countingClient{gearmanConn: g.dial(), names: map[string]string{}, outcomes: map[string]jobOutcome{}}
	want := map[string]jobOutcome{}
	for _, function := range []string{"safe", "keyed", "once"} {
		for _, how := range []string{"plain", "drop", "fail"} {
			for n, submit := range []gm.Kind{gm.SubmitJob, gm.SubmitJobHigh, gm.SubmitJobLow} {
				name := fmt.Sprint(function, " ", how, " ", n)
				client.run(submit, function, name)
				want[name] = expectedOutcome(function, how)
			}
		}
	}
	client.send(gm.EchoReq, "the end")
	if p, _ := client.next(); p.Kind != gm.EchoRes { // anything before it would be a second answer
		t.Errorf("after the last answer: %v", p)
	}
	if diff := cmp.Diff(want, client.outcomes); diff != "" {
		t.Errorf("ends and runs by job (-want +got):\n%s", diff)
	}
}
