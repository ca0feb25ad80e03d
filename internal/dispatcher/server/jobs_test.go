package server

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestJobServed follows a job along the whole path: what is forwarded unchanged, a callback before the 202, repeated
// callbacks, and an escaped result.
func TestJobServed(t *testing.T) {
	var w *harness
	heard := make(chan bool, 3)
	u := newRunner(t, "s-1", func(_ int, rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Call-Id")
		w.reportResult(id, "s-1", `"state":"started"`)
		w.reportResult(id, "s-0", `"state":"done","result":"of another runner"`)
		w.reportResult("no such id", "s-1", `"state":"done","result":"of an earlier life"`)
		w.reportResult(id, "s-1", `"state":"done","result":"say \"\u00e9\"\n","load":{"util":0.5,"inflight":1,"queue":0,"x0":1}`)
		w.reportResult(id, "s-1", `"state":"failed"`)
		rw.WriteHeader(202)
		heard <- true
	})
	w = startHarness(t, options{}, u.target("ready", 1))
	for range 3 {
		if status, body, _ := w.requestJob("score", 4000); status != 200 || body != "say \"é\"\n" {
			t.Fatalf("answer %d %q", status, body)
		}
	}
	for range 3 { // all call-backs were answered, those after the client's answer too
		<-heard
	}
	body, _ := io.ReadAll(u.requests[0].Body)
	got := []string{u.requests[0].Method, u.requests[0].URL.Path, string(body), u.requests[0].Header.Get("Idempotency-Key")}
	if diff := cmp.Diff([]string{"POST", "/score/7f3a", "payload", "key-0000000000000001"}, got); diff != "" {
		t.Errorf("passed on (-want +got):\n%s", diff)
	}
	if ms, _ := strconv.Atoi(u.requests[0].Header.Get("X-Budget-Ms")); ms <= 0 || ms >= 4000 {
		t.Errorf("budget passed on: %d ms", ms)
	}
}

// attemptEnd is how a runner ends an attempt.
type attemptEnd func(w *harness, uid string, rw http.ResponseWriter, id string)

// attemptEnds returns the ways in which an attempt can end badly, by name.
func attemptEnds() map[string]attemptEnd {
	hangUp := func(rw http.ResponseWriter) {
		c, _, _ := rw.(http.Hijacker).Hijack()
		c.Close()
	}
	ends := map[string]attemptEnd{
		"rejected": func(_ *harness, _ string, rw http.ResponseWriter, _ string) {
			rw.Header().Set("X-Rejected", "1")
			rw.WriteHeader(503)
		},
		"plain 503": func(_ *harness, _ string, rw http.ResponseWriter, _ string) { rw.WriteHeader(503) },
		"reset":     func(_ *harness, _ string, rw http.ResponseWriter, _ string) { hangUp(rw) },
	}
	for _, state := range []string{"returned", "failed", "lost"} {
		ends[state] = func(w *harness, uid string, rw http.ResponseWriter, id string) {
			rw.WriteHeader(202)
			rw.(http.Flusher).Flush()
			go w.reportResult(id, uid, fmt.Sprintf(`"state":%q`, state))
		}
	}
	return ends
}

// retryCase is a job of which the first attempt ends badly, and what becomes of it.
type retryCase struct {
	end, class   string
	status, jobs int // jobs that the runners get together
}

// TestResultsAndRetries checks each way an attempt can end, and how often its class allows a retry.
func TestResultsAndRetries(t *testing.T) {
	for _, tc := range []retryCase{
		{"rejected", "once", 200, 2},
		{"returned", "once", 200, 2},
		{"plain 503", "once", 500, 1},
		{"reset", "once", 500, 1},
		{"failed", "once", 500, 1},
		{"lost", "once", 500, 1},
		{"reset", "score", 200, 2},
		{"failed", "score", 200, 2},
		{"failed", "charge", 200, 2},
	} {
		t.Run(tc.end+" "+tc.class, tc.run)
	}
}

func (tc *retryCase) run(t *testing.T) {
	t.Parallel()
	end := attemptEnds()[tc.end]
	var w *harness
	first := make(chan bool, 1)
	first <- true
	var runners []*runner
	var targets []string
	for i := range 3 { // three runners in three cells: whichever is first ends the attempt badly
		uid := fmt.Sprint("s-", i)
		u := newRunner(t, uid, func(n int, rw http.ResponseWriter, r *http.Request) {
			select {
			case <-first:
				end(w, uid, rw, r.Header.Get("X-Call-Id"))
			default:
				w.replyWith(uid, "ok")(n, rw, r)
			}
		})
		runners = append(runners, u)
		targets = append(targets, u.target("ready", i))
	}
	w = startHarness(t, options{single: true}, targets...) // jobs are counted, and a hedged request would be one more
	status, body, _ := w.requestJob(tc.class, 4000)
	jobs, met := 0, 0
	for _, u := range runners {
		jobs += u.jobs()
		if u.jobs() > 0 {
			met++
		}
	}
	if status != tc.status || jobs != tc.jobs || tc.class == "charge" && met != 1 {
		t.Errorf("answer %d %q after %d jobs at %d runners", status, body, jobs, met)
	}
}

// TestTimeoutAndRejection guards against a runner that has vanished holding a client past its budget, and against a
// rejection without Retry-After.
func TestTimeoutAndRejection(t *testing.T) {
	u := newRunner(t, "s-1", func(_ int, rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(202) })
	w := startHarness(t, options{}, u.target("ready", 1))
	if status, _, _ := w.requestJob("once", 400); status != 500 {
		t.Errorf("silent runner: %d", status)
	}
	w.sendDiscoveryLine(`{"rev":2,"all":true,"targets":[]}`)
	w.awaitLog("empty list", `"rev": 2`)
	status, _, header := w.requestJob("once", 400)
	wait, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if status != 503 || err != nil || wait <= 0 || wait > 2 {
		t.Errorf("nobody to serve: %d, Retry-After %q", status, header.Get("Retry-After"))
	}
}

// TestDiscoveryUpdates guards against work for a draining runner, against a malformed or an old line that replaces the
// list or loses a change, and against a watch that is not renewed.
func TestDiscoveryUpdates(t *testing.T) {
	var w *harness
	runners := newNamedRunners(t, 2, func() *harness { return w })
	w = startHarness(t, options{}, runners[0].target("ready", 0))
	w.sendDiscoveryLine(`{"rev":2,"all":false,"targets":[` + runners[0].target("draining", 0) + `,` + runners[1].target("ready", 1) + `]}`)
	// An entry that makes no sense holds up neither the others nor the watch, and takes no backend off the list.
	bad := `{"uid":"s-1","endpoint":"x","state":"ready"}`
	w.sendDiscoveryLine(`{"rev":3,"all":true,"targets":[` + runners[0].target("draining", 0) + `,` + bad + `]}`)
	w.awaitLog("bad entry", "invalid entry ignored")
	if status, body, _ := w.requestJob("score", 4000); status != 200 || body != "s-1" {
		t.Errorf("after a bad entry: %d %q", status, body)
	}
	w.sendDiscoveryLine(`{"rev":3,"all":true,"targets":[{"uid":""}]}`)
	w.awaitLog("bad line", "keeping the current list")
	for range 5 {
		if status, body, _ := w.requestJob("score", 4000); status != 200 || body != "s-1" {
			t.Errorf("answer %d %q", status, body)
		}
	}
	watches := func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.watches)
	}
	w.eventually("what the bad line may have told is asked for anew", func() bool { return watches() > 1 })
	w.mu.Lock()
	if diff := cmp.Diff([]string{"stream=1&index=1", "stream=1&index=3"}, w.watches[:2]); diff != "" {
		t.Errorf("watches (-want +got):\n%s", diff)
	}
	w.lines = []string{`{"rev":4,"all":false,"targets":[]}`, `{"rev":3,"all":true,"targets":[]}`} // older than the one before
	w.mu.Unlock()
	w.awaitLog("an old list", "version 3 after 4")
	if status, body, _ := w.requestJob("score", 4000); status != 200 || body != "s-1" {
		t.Errorf("after an old list: %d %q", status, body)
	}
	w.mu.Lock()
	w.lines = nil
	w.mu.Unlock()
	w.eventually("a watch that stays", func() bool {
		before := watches()
		time.Sleep(1500 * time.Millisecond) // more than the longest wait between two watches
		return watches() == before
	})
	before := watches()
	w.discovery.CloseClientConnections()
	w.eventually("one more watch", func() bool { return watches() > before })
}

// TestMalformedInput guards against requests that break HTTP, unknown classes, and ids that are in use.
func TestMalformedInput(t *testing.T) {
	u := newRunner(t, "s-1", func(_ int, rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(202) })
	w := startHarness(t, options{}, u.target("ready", 1))
	head := "X-Call-Id: a\r\nX-Budget-Ms: 600\r\nConnection: close\r\n\r\n"
	for text, want := range map[string]string{
		"\x16\x03\x01\r\n\r\n":                                                          "400",
		"POST /score/a HTTP/1.1\r\n\r\n":                                                "400",
		"POST /score/a HTTP/1.1\r\nContent-Length: x\r\n\r\n":                           "400",
		"POST /score/a HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n":                    "413",
		"POST /nobody/a HTTP/1.1\r\n" + head:                                            "404",
		"GET /score/a HTTP/1.1\r\n" + head:                                              "405",
		"POST /_jobs/news HTTP/1.1\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}": "400",
	} {
		if got := w.sendRaw(text); !strings.HasPrefix(got, "HTTP/1.1 "+want) {
			t.Errorf("%q: %q", text, got)
		}
	}
	expects, err := net.Dial("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer expects.Close()
	fmt.Fprintf(expects, "POST /_jobs/news HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n")
	word := make([]byte, 25)
	if _, err := io.ReadFull(expects, word); string(word) != "HTTP/1.1 100 Continue\r\n\r\n" {
		t.Errorf("a client that waits to send its body is told %q, %v", word, err)
	}
	first := make(chan string)
	go func() { first <- w.sendRaw("POST /once/a HTTP/1.1\r\n" + head) }()
	w.eventually("first call", func() bool { return u.jobs() == 1 })
	if got := w.sendRaw("POST /once/a HTTP/1.1\r\n" + head); !strings.HasPrefix(got, "HTTP/1.1 409") {
		t.Errorf("id in use: %q", got)
	}
	if got := <-first; !strings.HasPrefix(got, "HTTP/1.1 500") || u.jobs() != 1 {
		t.Errorf("first call: %q after %d jobs", got, u.jobs())
	}
}

// TestDescriptorExhaustion guards against running out of descriptors: idle sessions are closed, and work goes on.
func TestDescriptorExhaustion(t *testing.T) {
	var w *harness
	u := newRunner(t, "s-1", func(n int, rw http.ResponseWriter, r *http.Request) { w.replyWith("s-1", "ok")(n, rw, r) })
	w = startHarness(t, options{sockets: reservedDescriptors + 12}, u.target("ready", 1))
	for i := range 60 {
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%20 == 19 {
			w.client.CloseIdleConnections() // the protocol has clients repeat what crosses a close; this one would not
			if status, body, _ := w.requestJob("score", 4000); status != 200 {
				t.Fatalf("after %d sessions: %d %q", i, status, body)
			}
		}
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.cmd.Process.Pid))
	if err != nil || len(open) > reservedDescriptors+12 {
		t.Errorf("%d descriptors open, %v", len(open), err)
	}
}

// TestIdleConnections guards against a request written to a connection that its runner has closed, and against
// connections kept longer than the configured idle time.
func TestIdleConnections(t *testing.T) {
	var w *harness
	u := newRunner(t, "s-1", func(n int, rw http.ResponseWriter, r *http.Request) { w.replyWith("s-1", "ok")(n, rw, r) })
	w = startHarness(t, options{connIdle: 0.5}, u.target("ready", 1))
	for i := range 4 {
		if status, body, _ := w.requestJob("once", 4000); status != 200 {
			t.Fatalf("job %d: %d %q", i, status, body)
		}
		if i == 1 {
			u.server.CloseClientConnections()
		}
	}
	w.eventually("the program closes them", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.open == 0
	})
}

// TestUnresponsiveBackendLosesIdleConnections guards against requests lost one by one on the open, silent connections of
// a machine that was cut off: once it has not acknowledged one, the others are closed, and a new connection shows whether
// it is reachable.
func TestUnresponsiveBackendLosesIdleConnections(t *testing.T) {
	var w *harness
	both, release := make(chan bool, 2), make(chan bool)
	u := newRunner(t, "s-1", func(n int, rw http.ResponseWriter, r *http.Request) {
		if n >= 2 {
			<-release
			return
		}
		both <- true
		for len(both) < 2 {
			time.Sleep(time.Millisecond)
		}
		w.replyWith("s-1", "ok")(n, rw, r)
	})
	w = startHarness(t, options{}, u.target("ready", 1))
	open := func() int {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.open
	}
	answers := make(chan int, 3)
	ask := func() {
		status, _, _ := w.requestJob("once", 4000)
		answers <- status
	}
	go ask()
	go ask()
	if a, b := <-answers, <-answers; a != 200 || b != 200 || open() != 2 {
		t.Fatalf("answers %d and %d over %d connections", a, b, open())
	}
	go ask()
	w.eventually("one connection, the silent one", func() bool { return u.jobs() == 3 && open() == 1 })
	close(release)
	if status := <-answers; status != 500 { // with an answer other than 202 the job may have run
		t.Errorf("the silent job: %d", status)
	}
}

// TestSigtermAnswersAcceptedJobs guards against a graceful shutdown that loses accepted jobs: callbacks still arrive, and
// every job is answered.
func TestSigtermAnswersAcceptedJobs(t *testing.T) {
	release := make(chan bool)
	var w *harness
	u := newRunner(t, "s-1", func(n int, rw http.ResponseWriter, r *http.Request) {
		rw.WriteHeader(202)
		rw.(http.Flusher).Flush()
		go func() {
			<-release
			w.reportResult(r.Header.Get("X-Call-Id"), "s-1", `"state":"done","result":"late"`)
		}()
	})
	w = startHarness(t, options{}, u.target("ready", 1))
	type answer struct {
		status int
		body   string
		closes bool
	}
	answers := make(chan answer, 2)
	ask := func() {
		status, body, header := w.requestJob("once", 4500)
		answers <- answer{status, body, header.Get("Connection") == "close"}
	}
	go ask()
	w.eventually("first job", func() bool { return u.jobs() == 1 })
	exit := w.terminate()
	w.awaitLog("told", "shutting down")
	go ask() // clients still arrive for a moment
	w.eventually("second job", func() bool { return u.jobs() == 2 })
	time.Sleep(600 * time.Millisecond) // past the moment in which idle sessions are closed
	close(release)
	for range 2 {
		if got := <-answers; got.status != 200 || got.body != "late" {
			t.Errorf("answer %+v", got)
		}
	}
	if err := <-exit; err != nil {
		t.Errorf("exit: %v\n%s", err, w.log)
	}
}

// TestInvalidConfigErrors checks that a process with an invalid configuration ends, and says what is wrong.
func TestInvalidConfigErrors(t *testing.T) {
	good := fmt.Sprintf(`{"listen":"127.0.0.1:0","seed":"1","settings":%s}`, fmt.Sprintf(settingsText, 9.0, attemptsCap, 60.0))
	gearman := "listen = \"127.0.0.1:0\"\n[[function]]\nname = \"f\"\nclass = \"nobody\"\n"
	for name, tc := range map[string]struct{ config, gearman, want string }{
		"missing":       {"", "", "no such file"},
		"no JSON":       {"{", "", "unexpected end"},
		"listen":        {strings.Replace(good, "127.0.0.1:0", "nowhere", 1), "", "listen"},
		"seed":          {strings.Replace(good, `"seed":"1"`, `"seed":"xyz"`, 1), "", "seed"},
		"repeat":        {strings.Replace(good, "retryable", "often", 1), "", "categories[0].repeat"},
		"deadline":      {strings.Replace(good, `"deadlineS":5`, `"deadlineS":0`, 1), "", "categories[0].deadlineS"},
		"gearman class": {good, gearman, `unknown class "nobody"`},
		"gearman key":   {good, "listne = 1\n", "unknown key listne"},
	} {
		dir := t.TempDir()
		args := []string{"-config", filepath.Join(dir, "c.json")}
		if tc.config != "" {
			os.WriteFile(args[1], []byte(tc.config), 0o600)
		}
		if tc.gearman != "" {
			args = append(args, "-gearman", filepath.Join(dir, "g.toml"))
			os.WriteFile(args[3], []byte(tc.gearman), 0o600)
		}
		out, err := exec.Command(program, args...).CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), tc.want) {
			t.Errorf("%s: %v, said %q, want one line with %q", name, err, out, tc.want)
		}
	}
}

// TestStaleConnections guards against a network path that drops idle connections silently: neither may the backend be
// ejected for it, nor may one request after the other be lost to it.
func TestStaleConnections(t *testing.T) {
	var w *harness
	seen, dead := map[string]bool{}, 0
	u := newRunner(t, "s-1", func(n int, rw http.ResponseWriter, r *http.Request) { // one at a time
		if seen[r.RemoteAddr] {
			dead++
			c, _, _ := rw.(http.Hijacker).Hijack()
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			return
		}
		seen[r.RemoteAddr] = true
		w.replyWith("s-1", "ok")(n, rw, r)
	})
	w = startHarness(t, options{}, u.target("ready", 1))
	for i := range 20 {
		if status, body, _ := w.requestJob("score", 4000); status != 200 {
			t.Fatalf("job %d: %d %q", i, status, body)
		}
	}
	if dead == 0 || dead > 5 || strings.Contains(w.log.String(), "set aside") {
		t.Errorf("%d of 20 requests met a dead connection, log:\n%s", dead, w.log)
	}
}

// TestAffinityToDepartedCell guards against a retry in the wrong group: a backend departs by an entry that names no cell,
// or by missing from a complete list, while a job that may have run there is bound to its cell.
func TestAffinityToDepartedCell(t *testing.T) {
	for name, line := range map[string]string{"gone": `{"rev":2,"all":false,"targets":[{"uid":"s-0","state":"gone"},%s]}`,
		"missing": `{"rev":2,"all":true,"targets":[%s]}`} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var w *harness
			release := make(chan bool)
			first := newRunner(t, "s-0", func(_ int, rw http.ResponseWriter, _ *http.Request) {
				<-release
				c, _, _ := rw.(http.Hijacker).Hijack()
				c.Close()
			})
			other := newRunner(t, "s-1", func(n int, rw http.ResponseWriter, r *http.Request) { w.replyWith("s-1", "again")(n, rw, r) })
			w = startHarness(t, options{}, first.target("ready", 5))
			answer := make(chan int, 1)
			go func() {
				status, _, _ := w.requestJob("charge", 4000)
				answer <- status
			}()
			w.eventually("the job", func() bool { return first.jobs() == 1 })
			w.sendDiscoveryLine(fmt.Sprintf(line, other.target("ready", 0)))
			w.awaitLog("the list", `"rev": 2`)
			close(release)
			if status := <-answer; status != 500 || other.jobs() != 0 {
				t.Errorf("answer %d after %d jobs in another cell", status, other.jobs())
			}
		})
	}
}
