package server

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	gm "cinderroad/internal/dispatcher/gearman"
)

// TestCompleteListKeepsGearmanWorkers guards against a complete list of discovery, as each reload brings one, removing
// the Gearman workers.
func TestCompleteListKeepsGearmanWorkers(t *testing.T) {
	g := startGearmanHarness(t, options{cold: 0.001}, 5)
	worker := g.dial()
	worker.serveJobs(gm.GrabJobUniq, worker.echo, "safe")
	g.eventually("the worker", func() bool { return strings.Contains(g.admin("status", ".\n"), "safe\t0\t0\t1") })
	g.sendDiscoveryLine(`{"rev":2,"all":true,"targets":[]}`)
	g.awaitLog("the list", `"rev": 2`)
	client := g.dial()
	client.send(gm.SubmitJob, "safe", "", "payload")
	for {
		p := client.any()
		if p.Kind == gm.WorkComplete {
			return
		}
		if p.Kind == gm.WorkFail {
			t.Fatal("the worker was taken away")
		}
	}
}

// TestGearmanBackgroundJobsOutliveClient guards against a background job that is lost with its client, or rejected
// because nobody waits for it.
func TestGearmanBackgroundJobsOutliveClient(t *testing.T) {
	g := startGearmanHarness(t, options{cold: 0.001}, 5)
	caller := g.dial()
	for i := range 8 {
		submit := []gm.Kind{gm.SubmitJobBg, gm.SubmitJobHighBg, gm.SubmitJobLowBg}[i%3]
		caller.send(submit, "keyed", fmt.Sprint("u", i), fmt.Sprint("job ", i))
		caller.want(gm.JobCreated)
	}
	handle := ""
	caller.send(gm.SubmitJob, "safe", "", "in the foreground")
	handle = caller.want(gm.JobCreated).Args[0]
	caller.Close()
	look := g.dial()
	g.eventually("the foreground job is given up", func() bool {
		look.send(gm.GetStatus, handle)
		return look.want(gm.StatusRes).Args[1] == "0"
	})
	w := g.dial()
	w.serveJobs(gm.GrabJob, w.echo, "safe", "keyed")
	g.eventually("all ended", g.idle)
	for i := range 8 {
		if n := g.runCount(fmt.Sprint("job ", i)); n != 1 {
			t.Errorf("job %d ran %d times", i, n)
		}
	}
	if g.runCount("in the foreground") != 0 {
		t.Error("a job that nobody waits for was begun")
	}
	exit := g.terminate()
	if err := <-exit; err != nil {
		t.Errorf("exit: %v", err)
	}
	for _, count := range []string{`"Jobs":9`, `"BackgroundEnded":8`, `"Served":8`, `"Gone":1`} {
		if !strings.Contains(g.log.String(), count) {
			t.Errorf("the log lacks %s", count)
		}
	}
}

// TestGearmanJobCoalescing guards against a job that runs twice for two clients with one unique id, and clients who get
// one attempt's output twice.
func TestGearmanJobCoalescing(t *testing.T) {
	g := startGearmanHarness(t, options{cold: 0.001}, 5)
	var clients [2]*gearmanConn
	var handles [2]string
	for i := range clients {
		clients[i] = g.dial()
		clients[i].send(gm.OptionReq, "exceptions")
		clients[i].want(gm.OptionRes)
		clients[i].send(gm.SubmitJob, "safe", "same", "shared")
		handles[i] = clients[i].want(gm.JobCreated).Args[0]
	}
	clients[1].send(gm.SubmitJob, "safe", "same", "shared") // again: each of its tasks must end
	clients[1].want(gm.JobCreated)
	wants := [][]string{{"28 part", "13 whole"}, {"28 part", "13 whole", "28 part", "13 whole"}}
	w := g.dial()
	w.serveJobs(gm.GrabJobUniq, func(handle, _, _ string) bool {
		w.send(gm.WorkData, handle, "part")
		w.send(gm.WorkStatus, handle, "1", "4")
		if g.runCount("shared") == 1 {
			w.send(gm.WorkException, handle, "first try")
			return false
		}
		w.send(gm.WorkComplete, handle, "whole")
		return false
	}, "safe")
	for i, c := range clients {
		var got []string
		for len(got) < len(wants[i]) {
			p, ok := c.next()
			if !ok {
				t.Fatalf("client %d: %q", i, got)
			}
			if p.Kind != gm.WorkStatus {
				got = append(got, fmt.Sprint(p.Kind, " ", p.Args[1]))
			}
		}
		if diff := cmp.Diff(wants[i], got); diff != "" || handles[i] != handles[0] {
			t.Errorf("client %d, handles %v (-want +got):\n%s", i, handles, diff)
		}
	}
}

// submitAndWait submits a job in the foreground, and waits until it is created.
func (c *gearmanConn) submitAndWait(function, data string) {
	c.harness.t.Helper()
	c.send(gm.SubmitJob, function, "", data)
	c.want(gm.JobCreated)
}

// TestGearmanFailures checks how failures, deadlines and rejections appear to clients, and what a drain leaves behind. Its
// steps share a client and a worker, and so it is one function.
func TestGearmanFailures(t *testing.T) {
	g := startGearmanHarness(t, options{cold: 0.001}, 0.4)
	client := g.dial()
	checkRejectedJobs(t, client)
	worker := g.dial()
	assigned := make(chan string) // handles
	worker.serveJobs(gm.GrabJob, func(handle, _, data string) bool {
		assigned <- handle
		return data == "stop"
	}, "once")
	checkFailedJobs(t, client, worker, assigned)
	checkDrainedFunction(t, client, worker)
	checkBadPacket(t, g)
	checkAdminCommands(t, g)
}

// checkRejectedJobs submits a job that no worker takes, and one of an unknown function.
func checkRejectedJobs(t *testing.T, client *gearmanConn) {
	t.Helper()
	client.submitAndWait("once", "nobody to do it") // a refusal: when to come back, then the failure
	if p := client.want(gm.WorkWarning); !strings.Contains(p.Args[1], "retry-after=") {
		t.Errorf("refusal: %v", p)
	}
	client.want(gm.WorkFail)

	client.send(gm.SubmitJob, "unheard of", "", "x")
	if p := client.want(gm.Error); p.Args[0] != "ERR_UNKNOWN_FUNCTION" {
		t.Errorf("unknown function: %v", p)
	}
}

// checkFailedJobs has the worker miss a deadline, and report an exception. assigned has the handles of the worker's jobs.
func checkFailedJobs(t *testing.T, client, worker *gearmanConn, assigned chan string) {
	t.Helper()
	client.submitAndWait("once", "silent") // past the deadline: a failure, and its late result is ignored
	late := <-assigned
	client.want(gm.WorkFail)
	worker.send(gm.WorkComplete, late, "late")

	client.send(gm.OptionReq, "exceptions")
	client.want(gm.OptionRes)
	client.submitAndWait("once", "throws")
	worker.send(gm.WorkException, <-assigned, "boom")
	if p := client.want(gm.WorkException); p.Args[1] != "boom" {
		t.Errorf("exception: %v", p)
	}
	client.want(gm.WorkFail)
}

// checkDrainedFunction has the worker give a function up: a job for it waits for another worker, though this one is idle.
func checkDrainedFunction(t *testing.T, client, worker *gearmanConn) {
	t.Helper()
	g := client.harness
	worker.send(gm.CanDoTimeout, "safe", "1")
	worker.send(gm.CantDo, "once")
	g.eventually("drained", func() bool { return strings.Contains(g.admin("status", ".\n"), "once\t0\t0\t0") })
	client.submitAndWait("once", "after the drain")
	client.want(gm.WorkFail)
	if g.runCount("after the drain") != 0 {
		t.Error("work was given to a worker that had said CANT_DO")
	}
}

// checkBadPacket sends a packet of an unknown kind: the peer is told so and disconnected.
func checkBadPacket(t *testing.T, g *gearmanHarness) {
	t.Helper()
	bad := g.dial()
	bad.Write([]byte("\x00REQ\x00\x00\x00\x63\x00\x00\x00\x00"))
	bad.want(gm.Error)
	if p, ok := bad.next(); ok {
		t.Errorf("after a bad packet: %v", p)
	}
}

// checkAdminCommands checks the answers to text commands.
func checkAdminCommands(t *testing.T, g *gearmanHarness) {
	t.Helper()
	if got := g.admin("workers", ".\n"); !strings.Contains(got, "127.0.0.1 stand-in : safe\n") {
		t.Errorf("workers: %q", got)
	}
	for command, want := range map[string]string{
		"version":         "OK cinderroad\r\n",
		"maxqueue safe 3": "OK\r\n",
		"shutdown":        "ERR NOT_ALLOWED allow_shutdown+is+off\r\n",
		"nonsense":        "ERR UNKNOWN_COMMAND Unknown+server+command\r\n",
	} {
		if got := g.admin(command, "\r\n"); got != want {
			t.Errorf("%s: %q", command, got)
		}
	}
}

// TestGearmanQueueLeavesDrainingWorker guards against a job that waits for a worker which takes no more of its kind.
func TestGearmanQueueLeavesDrainingWorker(t *testing.T) {
	g := startGearmanHarness(t, options{cold: 0.001}, 5)
	first, second, client := g.dial(), g.dial(), g.dial()
	busy := make(chan string, 1)
	first.serveJobs(gm.GrabJob, func(handle, _, _ string) bool {
		busy <- handle
		return true
	}, "once")
	g.eventually("first worker", func() bool { return strings.Contains(g.admin("status", ".\n"), "once\t0\t0\t1") })
	for i := range 2 {
		client.send(gm.SubmitJob, "once", "", fmt.Sprint("job ", i))
		client.want(gm.JobCreated)
	}
	handle := <-busy
	first.send(gm.CantDo, "once")
	second.serveJobs(gm.GrabJob, second.echo, "once")
	if p := client.want(gm.WorkComplete); p.Args[1] != "did job 1" {
		t.Errorf("the one that waited: %v", p)
	}
	first.send(gm.WorkComplete, handle, "did job 0") // what runs may finish
	if p := client.want(gm.WorkComplete); p.Args[1] != "did job 0" {
		t.Errorf("the one that ran: %v", p)
	}
}

// TestGearmanBackgroundJobsRestored guards against a background job that ends with a rejection nobody receives, or with a
// client it does not need.
func TestGearmanBackgroundJobsRestored(t *testing.T) {
	g := startGearmanHarness(t, options{cold: 0.001}, 1)
	caller, shares := g.dial(), g.dial()
	caller.send(gm.SubmitJobBg, "once", "", "refused at first")
	caller.want(gm.JobCreated)
	shares.send(gm.SubmitJob, "keyed", "u", "shared")
	handle := shares.want(gm.JobCreated).Args[0]
	caller.send(gm.SubmitJobBg, "keyed", "u", "shared")
	if p := caller.want(gm.JobCreated); p.Args[0] != handle {
		t.Errorf("not shared: %v", p)
	}
	shares.Close()
	g.eventually("the waiting client is gone", func() bool {
		return strings.Count(g.admin("workers", ".\n"), "127.0.0.1") == 2 // the caller and the administrator
	})
	time.Sleep(1200 * time.Millisecond) // past the deadline in the foreground: it has been refused
	w := g.dial()
	w.serveJobs(gm.GrabJob, w.echo, "once", "keyed")
	g.eventually("all ended", g.idle)
	if g.runCount("refused at first") != 1 || g.runCount("shared") != 1 {
		t.Errorf("runs: %v", g.started())
	}
}

// TestGearmanSlowStart guards against a worker that has just connected getting the whole queue at once.
func TestGearmanSlowStart(t *testing.T) {
	g := startGearmanHarness(t, options{cold: 9}, 5)
	client := g.dial()
	for i := range 20 {
		client.send(gm.SubmitJobBg, "safe", "", fmt.Sprint("job ", i))
		client.want(gm.JobCreated)
	}
	w := g.dial()
	began := time.Now()
	w.serveJobs(gm.GrabJob, w.echo, "safe")
	g.eventually("first job", func() bool { return len(g.started()) > 0 })
	time.Sleep(time.Second)
	// At a third of one core, three times that may be sent in a second, in jobs taken for half a second.
	if n, most := len(g.started()), 1+int(3*time.Since(began).Seconds()*2); n > most {
		t.Errorf("%d jobs in the first second, at most %d", n, most)
	}
}

// started returns a copy of runs.
func (g *gearmanHarness) started() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.runs)
}
