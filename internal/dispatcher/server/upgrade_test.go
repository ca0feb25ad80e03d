package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	gm "cinderroad/internal/dispatcher/gearman"
	"cinderroad/internal/dispatcher/handover"
)

// inheritedListener returns a listening socket that another process holds open, as a platform does during an upgrade.
func inheritedListener(t *testing.T) (addr string, file *os.File) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if file, err = l.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	return l.Addr().String(), file
}

// upgradePath returns the socket at which a successor finds its predecessor.
func upgradePath(o options) string {
	return (&Config{tempDir: o.tempDir, Name: "n0", Listen: o.listen}).tempPath(".upgrade")
}

// callAdmin makes a call at the second address, and checks its status and that a reason comes with it.
func (h *harness) callAdmin(want int, method, path, body string) {
	h.t.Helper()
	if got, reason := h.operator(method, path, body); got != want || reason == "" {
		h.t.Errorf("%s %s %s: %d %q, want %d", method, path, body, got, reason, want)
	}
}

// postJob writes a job on a connection, without the beginning that was sent before.
func postJob(c net.Conn, path, id, sent string) {
	text := fmt.Sprintf("POST /score/%s HTTP/1.1\r\nX-Call-Id: %s\r\nX-Budget-Ms: 4900\r\n\r\n", path, id)
	io.WriteString(c, text[len(sent):])
}

// checkServed reads an answer, and checks that the job was served and the connection stays open.
func checkServed(t *testing.T, what string, c net.Conn) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || r.StatusCode != 200 || r.Close {
		t.Fatalf("%s: %v, %v", what, r, err)
	}
	io.Copy(io.Discard, r.Body)
}

// upgradeScenario is a dispatcher with three runners and four client sessions, each in another state when the dispatcher is
// upgraded. s-b is excluded.
type upgradeScenario struct {
	t        *testing.T
	options  options
	first    *harness
	a, b, c  *runner
	held     atomic.Int32 // attempts of the job that is held: one, or two if it is hedged
	release  chan bool    // closed to end the job that is held
	fresh    net.Conn     // has said nothing
	rested   net.Conn     // has had an answer
	halfway  net.Conn     // has sent part of a request
	working  net.Conn     // has a job at a runner, which is held
	halfSent string       // what halfway has sent
}

// newUpgradeScenario starts the dispatcher and its runners, and opens the sessions.
func newUpgradeScenario(t *testing.T) *upgradeScenario {
	t.Helper()
	s := &upgradeScenario{
		t:        t,
		options:  options{console: true, tempDir: t.TempDir()},
		release:  make(chan bool),
		halfSent: "POST /score/a HTT",
	}
	s.options.listen, s.options.inherit = inheritedListener(t)
	s.a = newRunner(t, "s-a", s.serveOrHold("s-a"))
	s.b = newRunner(t, "s-b", s.serveOrHold("s-b"))
	s.c = newRunner(t, "s-c", s.serveOrHold("s-c"))
	s.first = startHarness(t, s.options, s.a.target("ready", 0), s.b.target("ready", 0), s.c.target("ready", 0))
	s.first.giveOrder("/api/exclude", `{"member":"s-b"}`)
	s.fresh = s.first.dial()
	s.rested = s.first.dial()
	s.halfway = s.first.dial()
	s.working = s.first.dial()
	return s
}

// serveOrHold returns a runner's handler that holds jobs of path /score/held until release is closed, and serves others with
// the runner's name as their result.
func (s *upgradeScenario) serveOrHold(uid string) func(int, http.ResponseWriter, *http.Request) {
	return func(n int, rw http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/score/held") {
			s.first.replyWith(uid, uid)(n, rw, r)
			return
		}
		id := r.Header.Get("X-Call-Id")
		rw.WriteHeader(202)
		s.held.Add(1)
		go func() {
			s.first.reportResult(id, uid, `"state":"started"`)
			<-s.release
			s.first.reportResult(id, uid, `"state":"done","result":"late"`)
		}()
	}
}

// useSessions brings the sessions into their states.
func (s *upgradeScenario) useSessions() {
	s.t.Helper()
	postJob(s.rested, "a", "r0", "")
	checkServed(s.t, "before", s.rested)
	io.WriteString(s.halfway, s.halfSent)
	postJob(s.working, "held", "w0", "")
	s.first.eventually("the job that is held", func() bool { return s.held.Load() > 0 })
}

// upgradeFirst starts the first successor, and checks that it has the exclusions and serves the sessions.
func (s *upgradeScenario) upgradeFirst() (next *harness) {
	s.t.Helper()
	next = s.first.startSuccessor(s.options)
	next.callAdmin(200, "GET", "/api/ready", "")
	if !strings.Contains(next.log.String(), `"members_out": 1`) {
		s.t.Error("the new one has not taken over who is out")
	}
	s.first.awaitLog("the old one leaves", "handing over clients")
	postJob(s.rested, "a", "r1", "")
	checkServed(s.t, "a session that had rested", s.rested)
	postJob(s.halfway, "a", "h0", s.halfSent)
	checkServed(s.t, "a session that was half way", s.halfway)
	postJob(s.fresh, "a", "f0", "")
	checkServed(s.t, "a session that had said nothing", s.fresh)
	return next
}

// changeExclusions gives orders to the successor, and checks that the predecessor receives them and that excluded workers
// stay unused.
func (s *upgradeScenario) changeExclusions(next *harness) {
	s.t.Helper()
	next.giveOrder("/api/exclude", `{"member":"s-c"}`) // the predecessor is informed, too
	s.first.awaitLog("the old one obeys", `admin: applying order exclude	{"member": "s-c"}`)
	next.giveOrder("/api/include", `{"member":"s-c"}`)
	for range 20 { // enough to find an excluded worker that is used
		if status, _, _ := next.requestJob("score", 4000); status != 200 {
			s.t.Errorf("the new one answered %d", status)
		}
	}
}

// endFirst ends the predecessor, and checks that the job which it had is answered and its session goes on.
func (s *upgradeScenario) endFirst() {
	s.t.Helper()
	exit := s.first.terminate()
	close(s.release) // the successor gets the callback of its predecessor's job
	checkServed(s.t, "the job that was open", s.working)
	if err := <-exit; err != nil {
		s.t.Errorf("the old one's exit: %v", err)
	}
	postJob(s.working, "a", "w1", "")
	checkServed(s.t, "the session that was at work", s.working)
	if s.b.jobs() != 0 {
		s.t.Errorf("%d jobs for the member that is out", s.b.jobs())
	}
}

// upgradeAgain starts a second successor, and checks that it serves the sessions and takes orders.
func (s *upgradeScenario) upgradeAgain(next *harness) {
	s.t.Helper()
	last := next.startSuccessor(s.options)
	last.callAdmin(200, "GET", "/api/ready", "")
	if err := <-next.terminate(); err != nil {
		s.t.Errorf("the second one's exit: %v", err)
	}
	sessions := map[string]net.Conn{
		"fresh":   s.fresh,
		"rested":  s.rested,
		"half":    s.halfway,
		"working": s.working,
	}
	for name, c := range sessions {
		postJob(c, "a", name, "")
		checkServed(s.t, "after the second upgrade, "+name, c)
	}
	last.giveOrder("/api/include", `{"member":"s-b"}`)
	s.first.eventually("it is used again", func() bool {
		_, body, _ := last.requestJob("score", 4000)
		return body == "s-b"
	})
}

// TestUpgrade guards against an upgrade that ends a client's connection, a job, or the path of its callback; against a
// successor that forgets exclusions, and a predecessor that is not informed of them; and against upgrades that work only
// once. Its steps build on each other, and so it is one function.
func TestUpgrade(t *testing.T) {
	s := newUpgradeScenario(t)
	s.useSessions()
	next := s.upgradeFirst()
	s.changeExclusions(next)
	s.endFirst()
	s.upgradeAgain(next)
}

// expectServes waits until a process serves a job.
func expectServes(process *harness, when string) {
	process.t.Helper()
	process.eventually(when, func() bool {
		status, body, _ := process.requestJob("score", 4000)
		return status == 200 && body == "ok"
	})
}

// failSuccessors has successors fail at each step of an upgrade, and checks that the process serves after each.
func failSuccessors(t *testing.T, w *harness, o options) {
	t.Helper()
	for _, tc := range []struct{ frames, logged string }{
		{string(handover.AppendFrame(nil, handover.Hello, []byte("{}"))), "lost the new process before the handover"},
		{string(handover.AppendFrame(nil, handover.Takeover, []byte("{}"))), "resuming service"},
		{string(handover.AppendFrame(nil, handover.State, []byte("{}"))), "out of turn"},
		{"R\x09", "another version"},
	} {
		c, err := net.Dial("unix", upgradePath(o))
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, tc.frames)
		if strings.Contains(tc.logged, "resuming service") {
			w.awaitLog("it leaves", "handing over clients")
		}
		time.AfterFunc(50*time.Millisecond, func() { c.Close() })
		w.awaitLog(tc.logged, tc.logged)
		expectServes(w, "after: "+tc.logged)
	}
}

// TestUpgradeFailure guards against a failed upgrade that leaves nobody to serve: the successor ends before or after it
// took the clients over, is of another version, or the predecessor is killed with a job open.
func TestUpgradeFailure(t *testing.T) {
	var w *harness
	mute := make(chan string, 9)
	u := newRunner(t, "s-1", func(n int, rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/score/mute" {
			rw.WriteHeader(202)
			mute <- r.Header.Get("X-Call-Id")
			return
		}
		w.replyWith("s-1", "ok")(n, rw, r)
	})
	o := options{console: true, tempDir: t.TempDir()}
	o.listen, o.inherit = inheritedListener(t)
	w = startHarness(t, o, u.target("ready", 0))
	failSuccessors(t, w, o)

	working := w.dial()
	postJob(working, "mute", "w0", "")
	<-mute
	next := w.startSuccessor(o)
	w.eventually("the old one leaves", func() bool { return strings.Count(w.log.String(), "handing over clients") == 2 })
	w.cmd.Process.Kill()
	if got := readUntilClosed(working); got != "" {
		t.Errorf("a job that died with its process was told %q", got)
	}
	next.reportResult("w0", "s-1", `"state":"done","result":"late"`) // no process has the job any more
	expectServes(next, "the old one was killed")
	next.kill()
	expectServes(next.startSuccessor(o), "both were killed") // a stale socket stands at the path
}

// TestUpgradeFromUnresponsivePredecessor guards against a start that waits for ever: for a process that holds the path
// and sends nothing or something malformed, or for a silent discovery.
func TestUpgradeFromUnresponsivePredecessor(t *testing.T) {
	badExclusion := handover.AppendFrame(nil, handover.State, []byte(`{"out":{"a":{"at":-1}}}`))
	for _, says := range []string{"", "R\x09", "nonsense", string(badExclusion)} {
		o := options{console: true, tempDir: filepath.Join(t.TempDir(), strings.Repeat("long", 50))} // longer than a socket's path may be
		os.MkdirAll(o.tempDir, 0o700)
		o.listen, o.inherit = inheritedListener(t)
		t.Chdir(o.tempDir)
		l, err := net.Listen("unix", filepath.Base(upgradePath(o)))
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			if c, err := l.Accept(); err == nil {
				io.WriteString(c, says)
				io.Copy(io.Discard, c)
			}
		}()
		startHarness(t, o).callAdmin(200, "GET", "/api/ready", "")
		l.Close()
	}
	u := newRunner(t, "s-1", func(_ int, rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(202) })
	o := options{console: true, tempDir: t.TempDir()}
	o.listen, o.inherit = inheritedListener(t)
	w := startHarness(t, o, u.target("ready", 0))
	w.unresponsive.Store(true)
	w.discovery.CloseClientConnections()
	next := w.startSuccessor(o)
	next.callAdmin(200, "GET", "/api/ready", "")
	next.giveOrder("/api/exclude", `{"member":"s-1"}`) // the list is the predecessor's
}

// readFrame reads frames until one of the kind, and returns its body.
func readFrame(t *testing.T, c net.Conn, want handover.Kind) (body []byte) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	var got []byte
	for b := make([]byte, 64<<10); ; {
		kind, body, n, err := handover.ParseFrame(got)
		if err == nil {
			got = got[n:]
			if kind == want {
				return body
			}
			continue
		}
		n, err = c.Read(b)
		if err != nil {
			t.Fatalf("frame of kind %d never came: %v", want, err)
		}
		got = append(got, b[:n]...)
	}
}

// TestUpgradeToASlowSuccessor guards against a callback that is answered before the process whose job it concerns has it,
// and against more sessions in transit than the successor takes: their sockets count for both.
func TestUpgradeToASlowSuccessor(t *testing.T) {
	u := newRunner(t, "s-1", func(_ int, rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(202) })
	o := options{console: true, tempDir: t.TempDir()}
	o.listen, o.inherit = inheritedListener(t)
	w := startHarness(t, o, u.target("ready", 0))
	var back []net.Conn
	for i := range maxSessionsInTransit + 4 {
		back = append(back, w.dial())
		io.WriteString(back[i], "GET /_health HTTP/1.1\r\n\r\n") // once it is answered, the session is known to be here
		if _, err := bufio.NewReader(back[i]).ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	successor, err := net.Dial("unix", upgradePath(o))
	if err != nil {
		t.Fatal(err)
	}
	defer successor.Close()
	successor.Write(handover.AppendFrame(handover.AppendFrame(nil, handover.Hello, []byte("{}")), handover.Takeover, []byte("{}")))
	w.awaitLog("it leaves", "handing over clients")
	for _, c := range back { // the successor's stay unread
		body := `{"id":"x","from":"s-1","state":"started"}`
		fmt.Fprintf(c, "POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	asked := readFrame(t, successor, handover.CallbackQuery)
	for _, c := range back {
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if got, _ := io.ReadAll(c); strings.Contains(string(got), "204") {
			t.Fatalf("answered before the other process was: %q", got)
		}
	}
	successor.Write(handover.AppendFrame(nil, handover.Answer, append(asked[:8:8], 1)))
	w.eventually("the call-back is answered", func() bool {
		for _, c := range back {
			c.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
			if got, _ := io.ReadAll(c); strings.Contains(string(got), "204") {
				return true
			}
		}
		return false
	})
}

// TestUpgradeOfTheGearmanFront guards against an upgrade that fails at the Gearman port, which the process binds itself,
// or loses a job there.
func TestUpgradeOfTheGearmanFront(t *testing.T) {
	o := options{console: true, tempDir: t.TempDir(), cold: 0.001}
	o.listen, o.inherit = inheritedListener(t)
	g := startGearmanHarness(t, o, 5)
	worker := g.dial()
	release := make(chan bool)
	worker.serveJobs(gm.GrabJobUniq, func(handle, function, data string) bool {
		<-release
		return worker.echo(handle, function, data)
	}, "safe")
	client := g.dial()
	client.send(gm.SubmitJob, "safe", "", "held")
	g.eventually("the job is at work", func() bool { return g.runCount("held") == 1 })
	o.args = []string{"-gearman", g.file}
	next := g.startSuccessor(o)
	next.callAdmin(200, "GET", "/api/ready", "")
	g.awaitLog("the old one leaves", "handing over clients")
	exit := g.terminate()
	close(release)
	if got := client.want(gm.WorkComplete).Args[1]; got != "did held" {
		t.Errorf("the job that was open ended with %q", got)
	}
	if err := <-exit; err != nil {
		t.Errorf("exit: %v", err)
	}
	again := g.dial() // the same port, another process
	again.serveJobs(gm.GrabJobUniq, again.echo, "safe")
	client = g.dial()
	client.send(gm.SubmitJob, "safe", "", "new")
	if got := client.want(gm.WorkComplete).Args[1]; got != "did new" {
		t.Errorf("the next job ended with %q", got)
	}
}

// TestUpgradeWhileEvacuated guards against a successor that takes clients although its predecessor was evacuated, and an
// order that only one of the two receives.
func TestUpgradeWhileEvacuated(t *testing.T) {
	o := options{console: true, tempDir: t.TempDir()}
	o.listen, o.inherit = inheritedListener(t)
	w := startHarness(t, o)
	w.callAdmin(200, "PUT", "/api/evacuate", "")
	o.startOnly = true // it serves, but its health check fails
	next := w.startSuccessor(o)
	next.eventually("it takes over", func() bool {
		return strings.Contains(w.log.String(), "handing over clients") && strings.Contains(next.log.String(), "server: serving")
	})
	next.callAdmin(200, "GET", "/api/ready", "")
	w.callAdmin(503, "GET", "/api/ready", "")
	health := func() string { return next.sendRaw("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n") }
	if got := health(); !strings.HasPrefix(got, "HTTP/1.1 503") {
		t.Errorf("health: %q", got)
	}
	w.giveOrder("/api/rejoin", "") // to the predecessor, which forwards it
	if got := health(); !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Errorf("health once back: %q", got)
	}
}
