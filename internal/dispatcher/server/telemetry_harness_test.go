package server

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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

// newTelemetryHarness starts both receivers.
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

// log returns the path of a dispatcher's request log.
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

// lines reads a dispatcher's request log.
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
	paused   sync.RWMutex // held for writing while no runner answers
}

// newPooledClient returns a client that keeps enough idle connections for concurrent jobs.
func newPooledClient() *http.Client {
	return &http.Client{
		Timeout:   20 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64},
	}
}

// newWorkerGroup starts n runners under names that begin with name. The caller sets the group's harness before the first job.
func newWorkerGroup(t *testing.T, n int, name string) *workerGroup {
	t.Helper()
	g := &workerGroup{revision: 1, client: newPooledClient()}
	for i := range n {
		g.names = append(g.names, []string{fmt.Sprintf("%s-%d", name, i)})
		g.runners = append(g.runners, newRunner(t, g.names[i][0], func(_ int, rw http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Call-Id")
			g.paused.RLock()
			defer g.paused.RUnlock()
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

// targets returns the runners' entries in the list, under their newest names.
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

// requestJobsPatiently is requestJobs with clients that heed rejections: they send a rejected job again after the time that
// the answer names. It returns how often that was, and checks that no runner has got a job that was rejected.
func (g *workerGroup) requestJobsPatiently(t *testing.T, jobs, together int, tally *[600]atomic.Int64) (rejections int) {
	t.Helper()
	var mu sync.Mutex
	rejected := map[string]bool{}
	runConcurrently(jobs, together, func(n int64) {
		for {
			id := g.harness.nextJobID()
			status, _, header := g.harness.requestJobAs(id, []string{"score", "charge", "once"}[n%3], 4000)
			pause, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
			if status != http.StatusServiceUnavailable || err != nil {
				tally[status].Add(1)
				return
			}
			mu.Lock()
			rejected[id] = true
			mu.Unlock()
			time.Sleep(time.Duration(pause * float64(time.Second)))
		}
	})
	for _, runner := range g.runners {
		for _, id := range runner.jobIDs() {
			if rejected[id] {
				t.Errorf("job %s was rejected, and a runner has got it", id)
			}
		}
	}
	return len(rejected)
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
