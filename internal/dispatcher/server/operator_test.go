package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// operator makes a call at the second address.
func (h *harness) operator(method, path, body string) (status int, reason string) {
	h.t.Helper()
	return operate(h.t, h.console, method, path, body)
}

// operate makes a call at a second address, and returns the status and the text of its answer.
func operate(t *testing.T, addr, method, path, body string) (status int, reason string) {
	t.Helper()
	request, _ := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	client := http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Do(request)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(r.Body)
	return r.StatusCode, strings.TrimSpace(string(text))
}

// TestAdminAPI guards against a second address that a flood starves, that silent callers block, or that accepts what it
// cannot parse.
func TestAdminAPI(t *testing.T) {
	w := startHarness(t, options{sockets: reservedDescriptors + 40, console: true})
	for range 100 { // silent clients take all sockets
		w.dial()
	}
	for range 40 { // and so do callers
		c, err := net.Dial("tcp", w.console)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, "PUT /api/exc")
	}
	for _, tc := range []struct {
		method, path, body string
		want               int
	}{
		{"GET", "/api/ready", "", 200},
		{"PUT", "/api/ready", "", 405},
		{"GET", "/api/rejoin", "", 405},
		{"GET", "/", "", 404},
		{"GET", "/_health", "", 404},
		{"PUT", "/api/rejoin", "", 200},
	} {
		if got, reason := w.operator(tc.method, tc.path, tc.body); got != tc.want || reason == "" {
			t.Errorf("%s %s %s: %d %q, want %d", tc.method, tc.path, tc.body, got, reason, tc.want)
		}
	}
	c, err := net.Dial("tcp", w.console)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for _, b := range []byte("GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n") { // a fragmented call
		c.Write([]byte{b})
	}
	if got := readUntilClosed(c); !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Errorf("in pieces: %q", got)
	}
}

// evacuationScenario is a dispatcher with three client sessions: fresh has said nothing, rested has had an answer, and working
// has a job at the runner that is held until release is closed.
type evacuationScenario struct {
	*harness
	release                chan bool
	fresh, rested, working net.Conn
}

func newEvacuationScenario(t *testing.T) *evacuationScenario {
	t.Helper()
	s := &evacuationScenario{release: make(chan bool)}
	u := newRunner(t, "s-1", func(_ int, rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Call-Id")
		if r.URL.Path == "/score/held" {
			s.reportResult(id, "s-1", `"state":"started"`)
			<-s.release
		}
		rw.WriteHeader(202)
		go s.reportResult(id, "s-1", `"state":"done","result":"ok","load":{"outstanding":0,"x0":4,"utilization":0}`)
	})
	s.harness = startHarness(t, options{console: true}, u.target("ready", 1))
	s.fresh, s.rested, s.working = s.dial(), s.dial(), s.dial()
	postJob(s.rested, "a", s.rested.LocalAddr().String(), "")
	if r, err := http.ReadResponse(bufio.NewReader(s.rested), nil); err != nil || r.StatusCode != 200 {
		t.Fatalf("before: %v, %v", r, err)
	}
	postJob(s.working, "held", s.working.LocalAddr().String(), "")
	s.eventually("the job that is held", func() bool { return u.jobs() == 2 })
	return s
}

// expectHealth checks the status of the health check.
func (s *evacuationScenario) expectHealth(when, status string) {
	s.t.Helper()
	if got := s.sendRaw("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n"); !strings.HasPrefix(got, "HTTP/1.1 "+status) {
		s.t.Errorf("health %s: %q", when, got)
	}
}

// sendLateJobs submits jobs on new connections: one is served or rejected and closed, and in time they are rejected.
func (s *evacuationScenario) sendLateJobs() {
	s.t.Helper()
	late := s.dial()
	postJob(late, "b", late.LocalAddr().String(), "")
	got := readUntilClosed(late)
	answered := strings.HasPrefix(got, "HTTP/1.1 200") || strings.HasPrefix(got, "HTTP/1.1 503")
	if !answered || !strings.Contains(got, "Connection: close") {
		s.t.Errorf("one who comes late: %q", got)
	}
	s.eventually("jobs are turned away", func() bool {
		c := s.dial()
		postJob(c, "c", c.LocalAddr().String(), "")
		return strings.HasPrefix(readUntilClosed(c), "HTTP/1.1 503")
	})
}

// TestEvacuation guards against an evacuation that keeps idle or new clients, cuts off those it serves, closes the path
// of callbacks, or cannot be undone.
func TestEvacuation(t *testing.T) {
	s := newEvacuationScenario(t)
	if status, _ := s.operator("PUT", "/api/evacuate", ""); status != 200 {
		t.Fatalf("evacuate: %d", status)
	}
	s.expectHealth("while away", "503")
	for name, c := range map[string]net.Conn{"fresh": s.fresh, "rested": s.rested} {
		if got := readUntilClosed(c); strings.Contains(got, "HTTP/1.1 5") {
			t.Errorf("the %s one was told %q", name, got)
		}
	}
	s.sendLateJobs()
	close(s.release) // its callback arrives at the port at which clients are rejected
	if got := readUntilClosed(s.working); !strings.HasPrefix(got, "HTTP/1.1 200") || !strings.Contains(got, "Connection: close") {
		t.Errorf("the one at work: %q", got)
	}
	if status, _ := s.operator("PUT", "/api/rejoin", ""); status != 200 {
		t.Fatalf("rejoin: %d", status)
	}
	s.expectHealth("once back", "200")
	s.eventually("it serves again", func() bool {
		status, _, header := s.requestJob("score", 4000)
		return status == 200 && header.Get("Connection") == ""
	})
}

// TestInheritedListener guards against binding an address that another process holds for this one, and against shutting
// down or losing the shared socket: whoever else listens there goes on.
func TestInheritedListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	file, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	w := startHarness(t, options{inherit: file, listen: l.Addr().String()})
	if err := <-w.terminate(); err != nil {
		t.Fatalf("exit: %v", err)
	}
	go func() {
		if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
			c.Close()
		}
	}()
	l.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := l.Accept(); err != nil {
		t.Errorf("after its end nobody can listen there: %v", err)
	}
	for _, fd := range []string{"2", "x", "6"} { // the last one is closed
		w.configure()
		if _, err := ReadConfig(w.path, func(name string) string {
			return map[string]string{"ROUTER_FD": fd}[name]
		}); (err == nil) != (fd == "6") {
			t.Errorf("ROUTER_FD=%s: %v", fd, err)
		}
	}
}

// expectUnused submits jobs, and checks that s-1 serves them and out gets none.
func (h *harness) expectUnused(when string, out *runner) {
	h.t.Helper()
	before := out.jobs()
	for range 5 {
		if status, body, _ := h.requestJob("score", 4000); status != 200 || body != "s-1" {
			h.t.Errorf("%s: %d %q", when, status, body)
		}
	}
	if got := out.jobs() - before; got != 0 {
		h.t.Errorf("%s: %d jobs for the member that is out", when, got)
	}
}

// TestExclusion guards against an excluded worker that is used, whatever discovery sends, across a reload and a new
// process; and against one that stays unused once it is included again.
func TestExclusion(t *testing.T) {
	var w *harness
	runners := newNamedRunners(t, 2, func() *harness { return w })
	out, in := runners[0], runners[1]
	o := options{console: true, tempDir: t.TempDir()}
	both := []string{out.target("ready", 0), in.target("ready", 0)}
	w = startHarness(t, o, both...)
	for _, body := range []string{"", "[]", "null", "{}", `{"member":7}`, `{"member":""}`, `{"member":null}`, `{"member":"s-0"`} {
		w.callAdmin(400, "PUT", "/api/exclude", body)
	}
	w.callAdmin(404, "PUT", "/api/exclude", `{"member":"s-9"}`)
	w.callAdmin(404, "PUT", "/api/include", `{"member":"s-9"}`)
	w.giveOrder("/api/exclude", `{"member":"s-0"}`)
	w.giveOrder("/api/exclude", `{"member":"s-0"}`)
	w.expectUnused("out", out)
	for i, line := range []string{out.target("gone", 0), out.target("ready", 0)} {
		w.sendDiscoveryLine(fmt.Sprintf(`{"rev":%d,"all":false,"targets":[%s]}`, 10+i, line))
		w.awaitLog("the change", fmt.Sprintf(`"rev": %d`, 10+i))
		w.expectUnused(line, out)
	}
	w.reload("server: configuration reloaded")
	w.expectUnused("after a reload", out)
	w.kill()
	o.listen = w.addr
	w = startHarness(t, o, both...)
	w.expectUnused("in the next process", out)
	w.giveOrder("/api/include", `{"member":"s-0"}`)
	w.giveOrder("/api/include", `{"member":"s-0"}`)
	w.eventually("it is used again", func() bool {
		_, body, _ := w.requestJob("score", 4000)
		return body == "s-0"
	})
}

// TestDiscoveryOverloaded guards against a watch at an overloaded discovery before the time it named, or for more than
// has changed since. The known list is served meanwhile.
func TestDiscoveryOverloaded(t *testing.T) {
	var w *harness
	u := newRunner(t, "s-1", func(n int, rw http.ResponseWriter, r *http.Request) { w.replyWith("s-1", "ok")(n, rw, r) })
	w = startHarness(t, options{}, u.target("ready", 1))
	w.sendDiscoveryLine(`{"rev":41,"all":false,"targets":[` + u.target("ready", 1) + `]}`)
	w.awaitLog("the list", `"rev": 41`)
	w.retryAfter.Store(1)
	asked := func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.watches)
	}
	w.discovery.CloseClientConnections()
	w.eventually("it asks", func() bool { return asked() == 2 })
	began := time.Now()
	if status, body, _ := w.requestJob("score", 4000); status != 200 || body != "ok" {
		t.Errorf("meanwhile: %d %q", status, body)
	}
	w.retryAfter.Store(0)
	w.eventually("it asks again", func() bool { return asked() == 3 })
	if took := time.Since(began); took < 900*time.Millisecond {
		t.Errorf("it asked again after %v, was told 1 s", took)
	}
	if w.watches[2] != "stream=1&index=41" {
		t.Errorf("it asked for %q", w.watches[2])
	}
}
