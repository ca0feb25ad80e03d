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

	gm "cinderroad/internal/dispatcher/gearman"
)

// readUntilClosed returns what a connection brings until its end.
func readUntilClosed(c net.Conn) string {
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	got, _ := io.ReadAll(c)
	return string(got)
}

// dial opens a connection that is closed when the test ends.
func (h *harness) dial() net.Conn {
	h.t.Helper()
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	return c
}

// writeThenTrickle sends a text, and then a byte now and then for as long as the connection is open.
func writeThenTrickle(c net.Conn, text string) {
	io.WriteString(c, text)
	for {
		time.Sleep(200 * time.Millisecond)
		if _, err := io.WriteString(c, "x"); err != nil {
			return
		}
	}
}

// TestMisbehavingClients guards against clients that hold a session for ever, that lose their answer to a reset, or that
// send what two readers understand differently. Each gets an error and the end of its connection.
func TestMisbehavingClients(t *testing.T) {
	u := newRunner(t, "s-1", func(_ int, rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(202) })
	w := startHarness(t, options{}, u.target("ready", 1))
	call := func(id, budget, rest string) string {
		return "POST /once/a HTTP/1.1\r\nX-Call-Id: " + id + "\r\nX-Budget-Ms: " + budget + "\r\n" + rest
	}
	hidden := "0\r\n\r\nGET /_health HTTP/1.1\r\n\r\n"
	for _, tc := range []struct {
		name, text, want string
		drips            bool
	}{
		{"silent", "", "HTTP/1.1 503", false},
		{"slow head", "POST /once/a HTTP/1.1\r\nA: ", "HTTP/1.1 408", true},
		{"slow body", call("a", "500", "Content-Length: 1000\r\n\r\n"), "HTTP/1.1 408", true},
		{"half a body", call("a", "500", "Content-Length: 1000\r\n\r\nabc"), "HTTP/1.1 408", false},
		{"binary", "\x00\x01\x02", "HTTP/1.1 400", false},
		{"empty lines", strings.Repeat("\r\n", 100), "HTTP/1.1 400", false},
		{"60 MB", call("a", "500", "Content-Length: 60000000\r\n\r\n") + strings.Repeat("x", 60000000), "HTTP/1.1 413", false},
		{"two framings", call("a", "500", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"+hidden), "HTTP/1.1 400", false},
		{"an empty coding", call("a", "500", "Content-Length: 3\r\nTransfer-Encoding:\r\n\r\n"+hidden), "HTTP/1.1 400", false},
		{"endless length", call("a", "500", "Content-Length: 99999999999999999999999\r\n\r\n"), "HTTP/1.1 413", false},
		{"a chunk without end", call("a", "500", "Transfer-Encoding: chunked\r\n\r\n700000\r\n"), "HTTP/1.1 413", false},
		{"budget Inf", call("a", "Inf", "\r\n"), "HTTP/1.1 400", false},
		{"budget 1e300", call("a", "1e300", "\r\n"), "HTTP/1.1 400", false},
		{"budget hex", call("a", "0x1p9", "\r\n"), "HTTP/1.1 400", false},
		{"budget -1", call("a", "-1", "\r\n"), "HTTP/1.1 400", false},
		{"two budgets", call("a", "500", "X-Budget-Ms: 400\r\n\r\n"), "HTTP/1.1 400", false},
		{"no id", call("", "500", "\r\n"), "HTTP/1.1 400", false},
		{"an id that is a path", call("a/../b", "500", "\r\n"), "HTTP/1.1 400", false},
		{"another class", call("a", "500", "X-Call-Class: score\r\n\r\n"), "HTTP/1.1 400", false},
		{"control in a value", call("a", "500", "Idempotency-Key: a\x01b\r\n\r\n"), "HTTP/1.1 400", false},
		{"control in the target", "POST /once/a\x7fb HTTP/1.1\r\nX-Call-Id: a\r\nX-Budget-Ms: 500\r\n\r\n", "HTTP/1.1 400", false},
		{"too wide", call("a", "500", "X-Call-Info: coresNeeded=1e9\r\n\r\n"), "HTTP/1.1 400", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := w.dial()
			if tc.drips {
				go writeThenTrickle(c, tc.text)
			} else if _, err := io.WriteString(c, tc.text); err != nil { // everything, before anything is read
				t.Errorf("cut off while it sent: %v", err)
			}
			if got := readUntilClosed(c); !strings.HasPrefix(got, tc.want) || strings.Count(got, "HTTP/1.1") != 1 {
				t.Errorf("%.200q, want %s and the end", got, tc.want)
			}
		})
	}
	t.Cleanup(func() {
		if n := u.jobs(); n != 0 {
			t.Errorf("%d jobs were passed on", n)
		}
	})
}

// TestFloods guards against a flood of silent connections that evicts working sessions, and against a client that
// pipelines far ahead being cut off with its first request unanswered.
func TestFloods(t *testing.T) {
	var w *harness
	release := make(chan bool)
	u := newRunner(t, "s-1", func(n int, rw http.ResponseWriter, r *http.Request) {
		if n == 2 {
			<-release
		}
		w.replyWith("s-1", "ok")(n, rw, r)
	})
	w = startHarness(t, options{sockets: reservedDescriptors + 40}, u.target("ready", 1))
	usual := w.dial()
	answers := bufio.NewReader(usual)
	ask := func(id int) {
		t.Helper()
		fmt.Fprintf(usual, "POST /score/a HTTP/1.1\r\nX-Call-Id: u%d\r\nX-Budget-Ms: 4000\r\n\r\n", id)
	}
	answered := func() {
		t.Helper()
		usual.SetReadDeadline(time.Now().Add(20 * time.Second))
		if r, err := http.ReadResponse(answers, nil); err != nil || r.StatusCode != 200 {
			t.Fatalf("the usual client: %v, %v", r, err)
		} else {
			io.Copy(io.Discard, r.Body)
		}
	}
	ask(0)
	answered()
	var silent []net.Conn
	for range 100 {
		silent = append(silent, w.dial())
	}
	for i, c := range silent { // the first are closed for want of room, the last since their time is over
		if got := readUntilClosed(c); got != "" && !strings.HasPrefix(got, "HTTP/1.1 503") || got == "" && i == 99 {
			t.Fatalf("silent connection %d was told %q", i, got)
		}
	}
	ask(1)
	answered()
	ask(2)
	w.eventually("the third", func() bool { return u.jobs() == 3 })
	go io.WriteString(usual, strings.Repeat("POST /nobody/a HTTP/1.1\r\n", 1<<15))
	time.Sleep(100 * time.Millisecond)
	close(release)
	answered()
}

// TestIdleSessionsEvicted guards against sessions that made one request and stay: their clients are limited in sessions
// and would have none left to work with; nor may they take the room of others. The session that works is kept.
func TestIdleSessionsEvicted(t *testing.T) {
	var w *harness
	u := newRunner(t, "s-1", func(n int, rw http.ResponseWriter, r *http.Request) { w.replyWith("s-1", "ok")(n, rw, r) })
	w = startHarness(t, options{sockets: reservedDescriptors + 40}, u.target("ready", 1))
	calls := 0
	ask := func(c net.Conn) {
		t.Helper()
		calls++
		fmt.Fprintf(c, "POST /score/a HTTP/1.1\r\nX-Call-Id: s%d\r\nX-Budget-Ms: 4000\r\n\r\n", calls)
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || r.StatusCode != 200 {
			t.Fatalf("call %d: %v, %v", calls, r, err)
		}
		io.Copy(io.Discard, r.Body)
	}
	usual := w.dial()
	var stayed []net.Conn
	for range 20 {
		c := w.dial()
		ask(c)
		ask(usual)
		stayed = append(stayed, c)
	}
	for i, c := range stayed[:10] {
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
			t.Fatalf("session %d of 20 stays open: %d, %v", i, n, err)
		}
	}
	for range 100 {
		ask(w.dial())
	}
}

// TestCallbacksUnderLoad guards against the limits on clients rejecting callbacks: jobs that hold all capacity end by
// them alone.
func TestCallbacksUnderLoad(t *testing.T) {
	var w *harness
	ids := make(chan string, 64)
	u := newRunner(t, "s-1", func(_ int, rw http.ResponseWriter, r *http.Request) {
		rw.WriteHeader(202)
		ids <- r.Header.Get("X-Call-Id")
	})
	w = startHarness(t, options{sockets: reservedDescriptors + 40}, u.target("ready", 1))
	at := func(host byte) *net.Dialer {
		return &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, host)}}
	}
	for i := range 36 { // more than all addresses may hold, and no session that could give way
		c, err := at(byte(3+i%3)).Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "POST /score/a HTTP/1.1\r\nX-Call-Id: c%d\r\nX-Budget-Ms: 4900\r\n\r\n", i)
	}
	from := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: at(2).DialContext}}
	for range 8 {
		text := fmt.Sprintf(`{"id":%q,"from":"s-1","state":"started"}`, <-ids)
		r, err := from.Post("http://"+w.addr+"/_jobs/news", "application/json", strings.NewReader(text))
		if err != nil || r.StatusCode != 204 {
			t.Fatalf("a call-back in the crowd: %v, %v", r, err)
		}
		r.Body.Close()
	}
}

// TestUnusableRequests guards against requests that no backend can use making healthy backends look unhealthy. Each job
// ends with its second such answer. Where hedged requests are on, one more attempt may be in flight by then; without them
// there is none.
func TestUnusableRequests(t *testing.T) {
	for name, tc := range map[string]struct {
		single      bool
		maxAttempts int // of a job
	}{
		"one attempt at a time": {true, 2},
		"second copies":         {false, 3},
	} {
		t.Run(name, func(t *testing.T) { checkUnusableRequests(t, tc.single, tc.maxAttempts) })
	}
}

// checkUnusableRequests sends jobs that no runner can use, and checks that each fails after two to maxAttempts attempts, and
// that runners are used for others as before.
func checkUnusableRequests(t *testing.T, single bool, maxAttempts int) {
	t.Helper()
	var w *harness
	var runners []*runner
	var targets []string
	for i := range 4 {
		uid := fmt.Sprint("s-", i)
		u := newRunner(t, uid, func(n int, rw http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/7f3a") {
				w.replyWith(uid, "ok")(n, rw, r)
				return
			}
			rw.WriteHeader(400)
		})
		runners = append(runners, u)
		targets = append(targets, u.target("ready", i))
	}
	w = startHarness(t, options{single: single}, targets...)
	for i := range 30 {
		job := fmt.Sprintf("POST /score/bad HTTP/1.1\r\nX-Call-Id: b%d\r\nX-Budget-Ms: 4000\r\nConnection: close\r\n\r\n", i)
		if got := w.sendRaw(job); !strings.HasPrefix(got, "HTTP/1.1 500") {
			t.Fatalf("unusable: %q", got)
		}
	}
	attempts := map[string]int{} // of each job
	for _, u := range runners {
		for _, id := range u.jobIDs() {
			attempts[id]++
		}
	}
	for id, n := range attempts {
		if n < 2 || n > maxAttempts {
			t.Errorf("job %s: %d attempts", id, n)
		}
	}
	if len(attempts) != 30 || strings.Contains(w.log.String(), "set aside") {
		t.Errorf("%d jobs were attempted, log:\n%s", len(attempts), w.log)
	}
	if status, body, _ := w.requestJob("score", 4000); status != 200 {
		t.Errorf("a usable one: %d %q", status, body)
	}
}

// TestUnresponsiveGearmanPeers guards against Gearman peers that hold a socket silently, or send byte by byte, and
// against the same limit cutting off a worker that is idle between its jobs.
func TestUnresponsiveGearmanPeers(t *testing.T) {
	g := startGearmanHarness(t, options{cold: 0.001}, 5)
	worker := g.dial()
	worker.serveJobs(gm.GrabJobUniq, worker.echo, "safe")
	silent, slow := g.dial(), g.dial()
	go writeThenTrickle(slow, "\x00REQ\x00\x00\x00\x07\x00\x00\x01\x00")
	for name, c := range map[string]*gearmanConn{"silent": silent, "slow": slow} {
		if p := c.want(gm.Error); p.Args[0] != "ERR_BAD_PACKET" {
			t.Errorf("%s: %q", name, p.Args)
		}
		if rest := readUntilClosed(c); rest != "" {
			t.Errorf("%s: %q after the error", name, rest)
		}
	}
	client := g.dial()
	client.send(gm.SubmitJob, "safe", "", "payload")
	client.want(gm.WorkComplete)
}
