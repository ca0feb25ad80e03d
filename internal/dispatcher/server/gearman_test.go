package server

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	gm "cinderroad/internal/dispatcher/gearman"
)

const gearmanFile = `listen = %q
max_jobs = 100
[[function]]
name = "safe"
class = "score"
[[function]]
name = "keyed"
class = "charge"
background_deadline_s = 20.0
[[function]]
name = "once"
class = "once"
deadline_s = %g
[[worker]]
network = "127.0.0.0/8"
zone = "milano"
kind = "two-core"
cell = 1000
`

// gearmanHarness is a dispatcher with its Gearman front on; deadline is that of function once, in seconds.
type gearmanHarness struct {
	*harness
	port string
	file string // the operator's
	mu   sync.Mutex
	runs map[string]int // starts of a job's data at any worker
}

func startGearmanHarness(t *testing.T, o options, deadline float64) *gearmanHarness {
	t.Helper()
	g := &gearmanHarness{port: freeAddr(t), runs: map[string]int{}}
	g.file = filepath.Join(t.TempDir(), "gearman.toml")
	if err := os.WriteFile(g.file, fmt.Appendf(nil, gearmanFile, g.port, deadline), 0o600); err != nil {
		t.Fatal(err)
	}
	o.args = append(o.args, "-gearman", g.file)
	g.harness = startHarness(t, o)
	return g
}

// gearmanConn is a scripted Gearman client's or worker's connection.
type gearmanConn struct {
	harness *gearmanHarness
	net.Conn
}

func (g *gearmanHarness) dial() *gearmanConn {
	g.t.Helper()
	c, err := net.Dial("tcp", g.port)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { c.Close() })
	return &gearmanConn{g, c}
}

func (c *gearmanConn) send(kind gm.Kind, args ...string) {
	c.Write(gm.AppendRequest(nil, kind, args...))
}

// next reads one packet; ok is false once the connection has ended.
func (c *gearmanConn) next() (p gm.Packet, ok bool) {
	head := make([]byte, 12)
	if _, err := io.ReadFull(c, head); err != nil {
		return p, false
	}
	body := make([]byte, binary.BigEndian.Uint32(head[8:]))
	if _, err := io.ReadFull(c, body); err != nil {
		return p, false
	}
	return gm.Packet{Kind: gm.Kind(binary.BigEndian.Uint32(head[4:])), Args: strings.Split(string(body), "\x00")}, true
}

// want reads until a packet of the kind.
func (c *gearmanConn) want(kind gm.Kind) gm.Packet {
	c.harness.t.Helper()
	c.SetReadDeadline(time.Now().Add(30 * time.Second))
	for {
		p, ok := c.next()
		if !ok {
			c.harness.t.Fatalf("packet %d never came", kind)
		}
		if p.Kind == kind {
			return p
		}
	}
}

// any reads the next packet.
func (c *gearmanConn) any() gm.Packet {
	c.harness.t.Helper()
	c.SetReadDeadline(time.Now().Add(30 * time.Second))
	p, ok := c.next()
	if !ok {
		c.harness.t.Fatal("the connection ended")
	}
	return p
}

// serveJobs serves jobs as a worker does, until script says stop or the connection ends.
func (c *gearmanConn) serveJobs(grab gm.Kind, script func(handle, function, data string) (stop bool), functions ...string) {
	c.send(gm.SetClientID, "stand-in")
	for _, f := range functions {
		c.send(gm.CanDo, f)
	}
	go func() {
		c.send(grab)
		for {
			p, ok := c.next()
			switch {
			case !ok:
				return
			case p.Kind == gm.NoJob:
				c.send(gm.PreSleep)
			case p.Kind == gm.Noop:
				c.send(grab)
			case p.Kind == gm.JobAssign || p.Kind == gm.JobAssignUniq || p.Kind == gm.JobAssignAll:
				data := p.Args[len(p.Args)-1]
				c.harness.mu.Lock()
				c.harness.runs[data]++
				c.harness.mu.Unlock()
				if script(p.Args[0], p.Args[1], data) {
					return
				}
				c.send(grab)
			}
		}
	}()
}

// echo completes every job with its data.
func (c *gearmanConn) echo(handle, _, data string) bool {
	c.send(gm.WorkComplete, handle, "did "+data)
	return false
}

func (g *gearmanHarness) runCount(data string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs[data]
}

// admin sends a text command and returns what it prints up to the line that ends it.
func (g *gearmanHarness) admin(command, end string) string {
	g.t.Helper()
	c := g.dial()
	c.SetReadDeadline(time.Now().Add(30 * time.Second))
	fmt.Fprintf(c, "%s\n", command)
	var got strings.Builder
	for b := make([]byte, 512); !strings.HasSuffix(got.String(), end); {
		n, err := c.Read(b)
		got.Write(b[:n])
		if err != nil {
			g.t.Fatalf("%s: %q, %v", command, got.String(), err)
		}
	}
	c.Close()
	return got.String()
}

func (g *gearmanHarness) idle() bool {
	for _, line := range strings.Split(g.admin("status", ".\n"), "\n") {
		if f := strings.Split(line, "\t"); len(f) == 4 && (f[1] != "0" || f[2] != "0") {
			return false
		}
	}
	return true
}

// TestCompleteListKeepsGearmanWorkers guards against a complete list of discovery, as each reload brings one, removing
// the Gearman workers.
func TestCompleteListKeepsGearmanWorkers(t *testing.T) {
	g := startGearmanHarness(t, options{cold: 0.001}, 5)
	worker := g.dial()
	worker.serveJobs(gm.GrabJobUniq, worker.echo, "safe")
	g.eventually("the worker", func() bool { return strings.Contains(g.admin("status", ".\n"), "safe\t0\t0\t1") })
	g.sendDiscoveryLine(`{"rev":2,"all":true,"targets":[]}`)
	g.eventually("the list", func() bool { return strings.Contains(g.log.String(), `"rev": 2`) })
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

// TestGearmanFailures checks how failures, deadlines and rejections appear to clients, and what a drain leaves behind.
func TestGearmanFailures(t *testing.T) {
	g := startGearmanHarness(t, options{cold: 0.001}, 0.4)
	client := g.dial()
	submit := func(function, data string) {
		client.send(gm.SubmitJob, function, "", data)
		client.want(gm.JobCreated)
	}

	submit("once", "nobody to do it") // a refusal: when to come back, then the failure
	if p := client.want(gm.WorkWarning); !strings.Contains(p.Args[1], "retry-after=") {
		t.Errorf("refusal: %v", p)
	}
	client.want(gm.WorkFail)

	client.send(gm.SubmitJob, "unheard of", "", "x")
	if p := client.want(gm.Error); p.Args[0] != "ERR_UNKNOWN_FUNCTION" {
		t.Errorf("unknown function: %v", p)
	}

	w := g.dial()
	assigned := make(chan string)
	w.serveJobs(gm.GrabJob, func(handle, _, data string) bool {
		assigned <- handle
		return data == "stop"
	}, "once")
	submit("once", "silent") // past the deadline: a failure, and its late result is ignored
	late := <-assigned
	client.want(gm.WorkFail)
	w.send(gm.WorkComplete, late, "late")

	client.send(gm.OptionReq, "exceptions")
	client.want(gm.OptionRes)
	submit("once", "throws")
	w.send(gm.WorkException, <-assigned, "boom")
	if p := client.want(gm.WorkException); p.Args[1] != "boom" {
		t.Errorf("exception: %v", p)
	}
	client.want(gm.WorkFail)

	w.send(gm.CanDoTimeout, "safe", "1")
	w.send(gm.CantDo, "once") // a drain: a job for it waits for another worker, though this one is idle
	g.eventually("drained", func() bool { return strings.Contains(g.admin("status", ".\n"), "once\t0\t0\t0") })
	submit("once", "after the drain")
	client.want(gm.WorkFail)
	if g.runCount("after the drain") != 0 {
		t.Error("work was given to a worker that had said CANT_DO")
	}

	bad := g.dial()
	bad.Write([]byte("\x00REQ\x00\x00\x00\x63\x00\x00\x00\x00"))
	bad.want(gm.Error)
	if p, ok := bad.next(); ok {
		t.Errorf("after a bad packet: %v", p)
	}
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

func (g *gearmanHarness) started() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	runs := map[string]int{}
	for data, n := range g.runs {
		runs[data] = n
	}
	return runs
}
