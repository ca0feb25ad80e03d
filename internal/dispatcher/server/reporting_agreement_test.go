package server

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	gm "cinderroad/internal/dispatcher/gearman"
	"cinderroad/internal/testkit/receivers"
)

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

// newAgreementScenario starts the dispatchers, runners and workers.
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
	old.awaitLog("the old one leaves", "handing over clients")
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
