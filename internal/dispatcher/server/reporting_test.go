package server

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	gm "cinderroad/internal/dispatcher/gearman"
	"cinderroad/internal/dispatcher/requestlog"
	"cinderroad/internal/testkit/receivers"
)

// telemetryHarness holds the receivers of metrics, a carbon and a collectd, and a directory for the dispatchers' files.
type telemetryHarness struct {
	t        *testing.T
	carbon   *receivers.Carbon
	pickle   bool // of its protocol
	collectd *receivers.Collectd
	dir      string
}

func newTelemetryHarness(t *testing.T, pickle bool) *telemetryHarness {
	t.Helper()
	s := &telemetryHarness{t: t, dir: t.TempDir(), pickle: pickle}
	var err error
	if s.carbon, err = receivers.NewCarbon("127.0.0.1:0", pickle); err != nil {
		t.Fatal(err)
	}
	if s.collectd, err = receivers.NewCollectd(filepath.Join(s.dir, "collectd.sock")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.carbon.Stop()
		s.collectd.Stop()
	})
	return s
}

// file writes the operator's file of a dispatcher.
func (h *telemetryHarness) file(name string) (path string) {
	h.t.Helper()
	path = filepath.Join(h.dir, name+".toml")
	spool := filepath.Join(h.dir, name+".spool")
	if err := os.MkdirAll(spool, 0o700); err != nil {
		h.t.Fatal(err)
	}
	form := map[bool]string{true: "pickle", false: "plaintext"}[h.pickle]
	text := fmt.Sprintf("[graphite]\naddress = %q\nform = %q\npatience_s = 1\n", h.carbon.Addr(), form) +
		fmt.Sprintf("[collectd]\nsocket = %q\npatience_s = 1\n", h.collectd.Addr()) +
		fmt.Sprintf("[telemetry]\nspool_dir = %q\nmemory_bytes = 4194304\n", spool) +
		fmt.Sprintf("[request_log]\npath = %q\n", h.log(name))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		h.t.Fatal(err)
	}
	return path
}

func (h *telemetryHarness) log(name string) string { return filepath.Join(h.dir, name+".log") }

// logLines returns the number of lines that a dispatcher's request log has on disk.
func (h *telemetryHarness) logLines(name string) int {
	h.t.Helper()
	text, err := os.ReadFile(h.log(name))
	if err != nil {
		h.t.Fatal(err)
	}
	return bytes.Count(text, []byte("\n"))
}

// args returns the flags of a dispatcher. Periods are short, so that many end in one test.
func (h *telemetryHarness) args(name string) []string {
	return []string{"-operator", h.file(name), "-metrics-every", "0.2"}
}

// answers returns the totals of a receiver over dispatchers, classes and verdicts.
func answers(store *receivers.Store) float64 {
	return store.Sum(func(series string) bool {
		return strings.Contains(series, ".answers.") || strings.Contains(series, "_answers_")
	})
}

// audit runs the audit command over request logs and what a receiver has got.
func (h *telemetryHarness) audit(store *receivers.Store, logs ...string) (out string, err error) {
	h.t.Helper()
	received := filepath.Join(h.dir, "received")
	if err := store.WriteLines(received); err != nil {
		h.t.Fatal(err)
	}
	args := []string{"audit", "--received", received}
	for _, l := range logs {
		args = append(args, "--log", l)
	}
	text, err := exec.Command(program, args...).CombinedOutput()
	return string(text), err
}

func (h *telemetryHarness) lines(name string) (lines []requestlog.Line) {
	h.t.Helper()
	text, err := os.ReadFile(h.log(name))
	if err != nil {
		h.t.Fatal(err)
	}
	take := func(line requestlog.Line) { lines = append(lines, line) }
	malformed := func(n int, err error) { h.t.Error(n, err) }
	if err := requestlog.Read(bytes.NewReader(text), take, malformed); err != nil {
		h.t.Fatal(err)
	}
	return lines
}

// workerGroup is a group of runners that know the names under which they are or were listed. What they report under an
// older one matches no attempt.
type workerGroup struct {
	harness  *harness
	runners  []*runner
	mu       sync.Mutex
	names    [][]string
	revision int
	client   *http.Client
}

// newPooledClient returns a client that keeps enough idle connections for concurrent jobs.
func newPooledClient() *http.Client {
	return &http.Client{
		Timeout:   20 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64},
	}
}

func newWorkerGroup(t *testing.T, n int, name string) *workerGroup {
	t.Helper()
	g := &workerGroup{revision: 1, client: newPooledClient()}
	for i := range n {
		g.names = append(g.names, []string{fmt.Sprintf("%s-%d", name, i)})
		g.runners = append(g.runners, newRunner(t, g.names[i][0], func(_ int, rw http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Call-Id")
			rw.WriteHeader(202)
			rw.(http.Flusher).Flush()
			g.mu.Lock()
			names := slices.Clone(g.names[i])
			g.mu.Unlock()
			result := `"state":"done","result":"ok"`
			if strings.HasSuffix(id, "7") && r.Header.Get("X-Call-Class") == "once" {
				result = `"state":"failed"`
			}
			go g.reportResults(t, id, names, result)
		}))
	}
	return g
}

// reportResults reports a job's result under each of a runner's names.
func (g *workerGroup) reportResults(t *testing.T, id string, names []string, result string) {
	for _, uid := range names {
		var r *http.Response
		var err error
		for range 3 { // a process that ends closes connections, and unanswered callbacks are repeated
			r, err = postCallback(g.client, g.harness.addr, id, uid, result)
			if err == nil {
				break
			}
		}
		if err != nil {
			t.Error(err)
			return
		}
		r.Body.Close()
	}
}

func (g *workerGroup) targets() (targets []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, u := range g.runners {
		u.uid = g.names[i][len(g.names[i])-1]
		targets = append(targets, u.target("ready", i))
	}
	return targets
}

// replaceWorkers lists half the runners under new names.
func (g *workerGroup) replaceWorkers() {
	g.mu.Lock()
	g.revision++
	for i := range g.runners {
		if i%2 == g.revision%2 {
			g.names[i] = append(g.names[i], fmt.Sprintf("%s-renamed-%d", g.names[i][0], g.revision))
		}
	}
	g.mu.Unlock()
	g.harness.sendDiscoveryLine(fmt.Sprintf(`{"rev":%d,"all":true,"targets":[%s]}`, g.revision, strings.Join(g.targets(), ",")))
}

// requestJobs submits jobs, some at a time, and counts the answers by status.
func (g *workerGroup) requestJobs(jobs, together int, tally *[600]atomic.Int64) {
	runConcurrently(jobs, together, func(n int64) {
		status, _, _ := g.harness.requestJob([]string{"score", "charge", "once"}[n%3], 4000)
		tally[status].Add(1)
	})
}

// byStatus prints how many answers had each status.
func byStatus(tally *[600]atomic.Int64) string {
	var list []string
	for status := range tally {
		if n := tally[status].Load(); n > 0 {
			list = append(list, fmt.Sprintf("%d: %d", status, n))
		}
	}
	return strings.Join(list, ", ")
}

// runConcurrently calls do for each number below times, in descending order, on several goroutines, and waits for all.
func runConcurrently(times, together int, do func(n int64)) {
	var wg sync.WaitGroup
	remaining := atomic.Int64{}
	remaining.Store(int64(times))
	for range together {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := remaining.Add(-1); n >= 0; n = remaining.Add(-1) {
				do(n)
			}
		}()
	}
	wg.Wait()
}

// comparedNames are the dispatchers of an agreementScenario.
var comparedNames = []string{"n0", "n1", "n2"}

// agreementScenario is three dispatchers that report to the same receivers: n0, which can be upgraded, and n1 get jobs by
// HTTP, n2 by Gearman. It counts what the clients got.
type agreementScenario struct {
	*telemetryHarness
	firstOptions options        // of n0
	groups       []*workerGroup // of n0 and n1
	gearman      *gearmanHarness

	tally           [600]atomic.Int64 // answers over HTTP, by status
	gearmanAnswers  atomic.Int64
	disconnectCount int64 // clients that left before an answer
}

func newAgreementScenario(t *testing.T) *agreementScenario {
	t.Helper()
	s := &agreementScenario{telemetryHarness: newTelemetryHarness(t, false)}
	client := newPooledClient()
	s.firstOptions = options{tempDir: t.TempDir(), args: s.args("n0"), cold: 0.001}
	s.firstOptions.listen, s.firstOptions.inherit = inheritedListener(t)
	for i, o := range []options{s.firstOptions, {name: "n1", args: s.args("n1"), cold: 0.001}} {
		group := newWorkerGroup(t, 4, fmt.Sprint("runner-", i))
		group.harness = startHarness(t, o, group.targets()...)
		group.harness.client = client
		s.groups = append(s.groups, group)
	}
	s.gearman = startGearmanHarness(t, options{name: "n2", args: s.args("n2"), cold: 0.001}, 5)
	for range 4 {
		worker := s.gearman.dial()
		worker.serveJobs(gm.GrabJobUniq, worker.echo, "safe", "once")
	}
	s.gearman.eventually("the workers", func() bool {
		return strings.Contains(s.gearman.admin("status", ".\n"), "safe\t0\t0\t4")
	})
	return s
}

// runFifth submits a fifth of the 20,000 jobs to all dispatchers at once, and waits for the answers.
func (s *agreementScenario) runFifth() {
	const parts = 5
	var clients sync.WaitGroup
	for _, group := range s.groups {
		clients.Go(func() { group.requestJobs(8000/parts, 6, &s.tally) })
	}
	for range 4 {
		clients.Go(func() { s.requestGearmanJobs(1000 / parts) })
	}
	clients.Wait()
}

// requestGearmanJobs submits jobs by Gearman, one at a time.
func (s *agreementScenario) requestGearmanJobs(jobs int) {
	client := s.gearman.dial()
	for i := range jobs {
		client.send(gm.SubmitJob, []string{"safe", "once"}[i%2], "", fmt.Sprint(i))
		for ended := false; !ended; {
			kind := client.any().Kind
			ended = kind == gm.WorkComplete || kind == gm.WorkFail
		}
		s.gearmanAnswers.Add(1)
	}
}

// replaceWorkers lists half the runners of each dispatcher under new names.
func (s *agreementScenario) replaceWorkers() {
	for _, group := range s.groups {
		group.replaceWorkers()
	}
}

// upgradeUnderLoad upgrades n0 while jobs run. The predecessor's exit follows on exit.
func (s *agreementScenario) upgradeUnderLoad() (next *harness, exit chan error) {
	s.t.Helper()
	var load sync.WaitGroup
	load.Go(s.runFifth)
	old := s.groups[0].harness
	next = old.startSuccessor(s.firstOptions)
	old.eventually("the old one leaves", func() bool { return strings.Contains(old.log.String(), "takes the clients") })
	exit = old.terminate()
	load.Wait()
	return next, exit
}

// disconnectClients has a client of each HTTP front submit a job and disconnect.
func (s *agreementScenario) disconnectClients() {
	s.t.Helper()
	for i, group := range s.groups {
		conn, err := net.Dial("tcp", group.harness.addr)
		if err != nil {
			s.t.Fatal(err)
		}
		fmt.Fprintf(conn, "POST /score/x HTTP/1.1\r\nX-Call-Id: left%d\r\nX-Budget-Ms: 4900\r\n\r\n", i)
		conn.Close()
		s.disconnectCount++
	}
}

// logs returns the paths of all request logs.
func (s *agreementScenario) logs() (paths []string) {
	for _, name := range comparedNames {
		paths = append(paths, s.log(name))
	}
	return paths
}

// countJobs checks the statuses that clients got, and returns the number of all jobs.
func (s *agreementScenario) countJobs() (total int64) {
	s.t.Helper()
	for status := range s.tally {
		n := s.tally[status].Load()
		if n > 0 && status != 200 && status != 500 && status != 503 {
			s.t.Errorf("%d answers of status %d", n, status)
		}
		total += n
	}
	total += s.gearmanAnswers.Load() + s.disconnectCount
	if total < 20000 {
		s.t.Errorf("%d jobs", total)
	}
	return total
}

// checkReceivers checks that both receivers have all answers, and that the audit command finds them equal to the logs.
func (s *agreementScenario) checkReceivers(total int64) {
	s.t.Helper()
	for name, store := range map[string]*receivers.Store{"carbon": &s.carbon.Store, "collectd": &s.collectd.Store} {
		s.gearman.eventually(fmt.Sprintf("%d answers at %s", total, name), func() bool { return answers(store) >= float64(total) })
		out, err := s.audit(store, s.logs()...)
		if err != nil || answers(store) != float64(total) {
			s.t.Errorf("%s: %v, %v answers of %d\n%s", name, err, answers(store), total, out)
		}
		if bad := store.Malformed(); len(bad) > 0 {
			s.t.Errorf("%s: %d things made no sense, such as %s", name, len(bad), bad[0])
		}
	}
}

// checkPeriods checks that every period that n1 closed is at collectd, and each second of them at carbon.
func (s *agreementScenario) checkPeriods() {
	s.t.Helper()
	const periods = "n1/cinderroad/derive-telemetry_periods"
	stamps := s.collectd.Timestamps(periods)
	if last, _ := s.collectd.Last(periods); last != float64(len(stamps)) {
		s.t.Errorf("%v periods closed, %d at collectd", last, len(stamps))
	}
	atCarbon := s.carbon.Timestamps("cinderroad.n1.telemetry.periods")
	for _, stamp := range stamps[:len(stamps)-5] {
		if _, found := slices.BinarySearch(atCarbon, float64(int64(stamp))); !found {
			s.t.Errorf("nothing of second %d at carbon", int64(stamp))
		}
	}
}

// checkNodeSeries checks that the series of nodes have not multiplied with the names that these had.
func (s *agreementScenario) checkNodeSeries() {
	s.t.Helper()
	nodes := 0
	for _, name := range s.carbon.Names() {
		if strings.Contains(name, ".nodes.") && strings.HasSuffix(name, ".ended") {
			nodes++
		}
	}
	if nodes != 4+4+4 {
		s.t.Errorf("series of %d nodes", nodes)
	}
}

// checkLogs checks the request logs against what the clients got.
func (s *agreementScenario) checkLogs() {
	s.t.Helper()
	count := map[string]int64{}
	ids := map[string]bool{}
	for _, name := range comparedNames {
		for _, l := range s.lines(name) {
			if key := l.Dispatcher + " " + l.ID; ids[key] {
				s.t.Errorf("two final answers of %s", key)
			} else {
				ids[key] = true
			}
			if l.Front == "platform" {
				count[l.Verdict]++
			}
		}
	}
	servedFirst := s.disconnectCount - count["gone"] // clients that disconnected, but only once they were served
	for what, pair := range map[string][2]int64{
		"served":  {s.tally[200].Load(), count["in_time"] + count["late"] - servedFirst},
		"refused": {s.tally[503].Load(), count["refused"]},
		"failed":  {s.tally[500].Load(), count["failed"]},
	} {
		if pair[0] != pair[1] {
			s.t.Errorf("%s: clients got %d, the logs have %d", what, pair[0], pair[1])
		}
	}
	if count["failed"] == 0 {
		s.t.Error("no job failed: the story is not what it says")
	}
}

// TestMetricsAndLogsAgree sends 20,000 jobs through three dispatchers and both fronts, while one receiver is away and the
// other silent, half of the list is renamed twice and one dispatcher is upgraded. What the receivers have equals the
// request logs, answer for answer, and equals what the clients got; every period of the outage is there; and series have
// not multiplied. It is one scenario whose steps build on each other, and so one function.
func TestMetricsAndLogsAgree(t *testing.T) {
	s := newAgreementScenario(t)
	s.runFifth()
	s.carbon.Stop()
	s.collectd.SetStalled(true)
	s.runFifth()
	s.replaceWorkers()
	next, exit := s.upgradeUnderLoad()
	s.replaceWorkers()
	s.collectd.SetStalled(false)
	s.runFifth()
	s.disconnectClients()
	if err := s.carbon.Restart(); err != nil {
		t.Fatal(err)
	}
	s.runFifth()
	if err := <-exit; err != nil {
		t.Errorf("the old one's exit: %v", err)
	}

	total := s.countJobs()
	t.Cleanup(func() {
		if t.Failed() {
			out, err := s.audit(&s.carbon.Store, s.logs()...)
			t.Logf("%d jobs; at carbon: %v\n%s", total, err, out)
		}
	})
	s.gearman.eventually("all lines", func() bool {
		return len(s.lines("n0"))+len(s.lines("n1"))+len(s.lines("n2")) >= int(total)
	})
	s.checkReceivers(total)
	s.checkLogs()
	s.checkPeriods()
	s.checkNodeSeries()
	if err := <-next.terminate(); err != nil {
		t.Errorf("the new one's exit: %v", err)
	}
}

// TestTotalsSurviveRestart: a restart continues the totals, a SIGKILL loses the open period alone, and the request log
// has what that was.
func TestTotalsSurviveRestart(t *testing.T) {
	s := newTelemetryHarness(t, false)
	c := newWorkerGroup(t, 2, "r")
	o := options{args: []string{"-operator", s.file("n0"), "-metrics-every", "0.2"}, cold: 0.001, tempDir: t.TempDir()}
	c.harness = startHarness(t, o, c.targets()...)
	var tally [600]atomic.Int64
	c.requestJobs(50, 4, &tally)
	c.harness.eventually("50 answers", func() bool { return answers(&s.carbon.Store) == 50 })
	if err := <-c.harness.terminate(); err != nil {
		t.Fatal(err)
	}
	c.harness.start(o)
	c.requestJobs(50, 4, &tally)
	c.harness.eventually("100 answers", func() bool { return answers(&s.carbon.Store) == 100 })
	// Away while periods end and the process is killed: the next process delivers them.
	s.carbon.Stop()
	c.requestJobs(50, 4, &tally)
	c.harness.eventually("150 answers at the other receiver", func() bool { return answers(&s.collectd.Store) == 150 })
	// A line of the request log waits up to FlushIntervalSeconds for its write, and a kill loses those that wait.
	c.harness.eventually("150 lines in the request log", func() bool { return s.logLines("n0") == 150 })
	c.harness.awaitCallbacks()
	c.harness.cmd.Process.Kill()
	c.harness.cmd.Wait()
	if err := s.carbon.Restart(); err != nil {
		t.Fatal(err)
	}
	c.harness.start(o)
	c.harness.eventually("150 answers after the kill", func() bool { return answers(&s.carbon.Store) == 150 })
	out, err := s.audit(&s.carbon.Store, s.log("n0"))
	if err != nil {
		t.Errorf("%v\n%s", err, out)
	}
	const series = "cinderroad.n0.classes.score.answers.in_time"
	if got, _ := s.carbon.Last(series); got != s.carbon.CounterIncrease(series) {
		t.Errorf("a total that fell: last %v, growth %v", got, s.carbon.CounterIncrease(series))
	}
}

// TestNoSpool: without a spool a restart begins at 0 and shows it, and the growth of the totals is right nevertheless.
func TestNoSpool(t *testing.T) {
	s := newTelemetryHarness(t, false)
	c := newWorkerGroup(t, 2, "r")
	o := options{args: []string{"-graphite", s.carbon.Addr(), "-metrics-every", "0.2"}, cold: 0.001, tempDir: t.TempDir()}
	c.harness = startHarness(t, o, c.targets()...)
	var tally [600]atomic.Int64
	for range 2 {
		c.requestJobs(30, 1, &tally)
		c.harness.eventually("30 answers", func() bool { return answers(&s.carbon.Store) == 30 })
		if err := <-c.harness.terminate(); err != nil {
			t.Fatal(err)
		}
		if len(s.carbon.Timestamps("cinderroad.n0.program.started")) == 0 {
			t.Error("no word of the start")
		}
		time.Sleep(1100 * time.Millisecond) // Graphite's stamps are seconds: the next process's must not meet this one's
		c.harness.start(o)
		c.harness.eventually("a new start", func() bool { return answers(&s.carbon.Store) == 0 })
		time.Sleep(1100 * time.Millisecond) // nor what it counts its own beginning
	}
	const answered = "cinderroad.n0.classes.score.answers."
	if got := s.carbon.CounterIncrease(answered+"in_time") + s.carbon.CounterIncrease(answered+"late"); got != 20 {
		t.Errorf("growth %v of 20 answers", got)
	}
}

// TestReloadReplacesReceiver: a reload replaces the receiver and the log, all or nothing. An invalid file changes
// nothing, and the error names the line.
func TestReloadReplacesReceiver(t *testing.T) {
	s := newTelemetryHarness(t, true)
	c := newWorkerGroup(t, 2, "r")
	path := s.file("n0")
	c.harness = startHarness(t, options{args: []string{"-operator", path, "-metrics-every", "0.2"}, cold: 0.001}, c.targets()...)
	var tally [600]atomic.Int64
	c.requestJobs(20, 2, &tally)
	c.harness.eventually("20 answers, pickled", func() bool { return answers(&s.carbon.Store) == 20 })
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(string(text) + "colour = \"red\"\n")
	c.harness.reload("reload refused")
	if !strings.Contains(c.harness.log.String(), "request_log.colour: unknown key") {
		t.Error("no word of what was wrong")
	}
	s.carbon.Stop()
	c.requestJobs(20, 2, &tally)
	fresh, err := receivers.NewCarbon("127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fresh.Stop)
	moved := strings.ReplaceAll(strings.ReplaceAll(string(text), s.carbon.Addr(), fresh.Addr()), "n0.log", "moved.log")
	write(moved)
	c.harness.reload("program: reloaded")
	c.requestJobs(20, 2, &tally)
	c.harness.eventually("60 answers at the new one", func() bool { return answers(&fresh.Store) == 60 })
	c.harness.eventually("lines in the new log", func() bool {
		_, err := os.Stat(s.log("moved"))
		return err == nil && len(s.lines("n0"))+len(s.lines("moved")) == 60 && len(s.lines("moved")) == 20
	})
	if out, err := s.audit(&fresh.Store, s.log("n0"), s.log("moved")); err != nil {
		t.Errorf("%v\n%s", err, out)
	}
	write(strings.Replace(moved, "[telemetry]", "[telemetry]\nnode_series = 3", 1))
	c.harness.reload("needs_restart\": [\"telemetry.node_series\"]")
}

// TestStalledDiskAndReceiver: a request log on a stalled disk and a stalled receiver cost no job anything.
func TestStalledDiskAndReceiver(t *testing.T) {
	s := newTelemetryHarness(t, false)
	c := newWorkerGroup(t, 2, "r")
	path := s.file("n0")
	pipe := s.log("n0")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Skip(err)
	}
	c.harness = startHarness(t, options{args: []string{"-operator", path, "-metrics-every", "0.2"}, cold: 0.001}, c.targets()...)
	s.carbon.SetStalled(true)
	s.collectd.SetStalled(true)
	var tally [600]atomic.Int64
	c.requestJobs(2000, 4, &tally)
	if got := tally[200].Load() + tally[500].Load(); got != 2000 || tally[500].Load() == 0 {
		t.Errorf("%d of 2000 jobs answered, %d failed; jobs by status: %s", got, tally[500].Load(), byStatus(&tally))
	}
	f, err := os.Open(pipe)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	go io.Copy(io.Discard, f)
	s.carbon.SetStalled(false)
	s.collectd.SetStalled(false)
	c.harness.eventually("2000 answers", func() bool {
		return answers(&s.carbon.Store) == 2000 && answers(&s.collectd.Store) == 2000
	})
}

// TestUnusableDirectories: a spool that cannot be used is logged and costs only its own function; a log that cannot be
// opened is an error at the start.
func TestUnusableDirectories(t *testing.T) {
	s := newTelemetryHarness(t, false)
	c := newWorkerGroup(t, 1, "r")
	path := s.file("n0")
	if err := os.Remove(filepath.Join(s.dir, "n0.spool")); err != nil {
		t.Fatal(err)
	}
	c.harness = startHarness(t, options{args: []string{"-operator", path, "-metrics-every", "0.2"}, cold: 0.001}, c.targets()...)
	var tally [600]atomic.Int64
	c.requestJobs(10, 1, &tally)
	c.harness.eventually("10 answers", func() bool { return answers(&s.carbon.Store) == 10 })
	if !strings.Contains(c.harness.log.String(), "no spool") {
		t.Error("no word of the spool")
	}
	bad := filepath.Join(s.dir, "bad.toml")
	if err := os.WriteFile(bad, []byte("[request_log]\npath = \"none/x.log\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command(program, "-config", c.harness.path, "-operator", bad).CombinedOutput()
	if err == nil || !strings.Contains(string(out), "request_log.path") {
		t.Errorf("%v: %s", err, out)
	}
}
