package proxy

import (
	"strings"
	"testing"
	"time"

	"cinderroad/internal/system/configuration"
)

// What is answered without a runner.
func TestOwnAnswers(t *testing.T) {
	for _, tc := range []struct {
		name, in string
		status   int
		closes   bool
	}{
		{"no route", ask("/none/x", "t1", "", ""), 404, false},
		{"no route, with a body to come",
			"POST /none/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: t1\r\nContent-Length: 5\r\n\r\n", 404, true},
		{"other host", "GET /reads/x HTTP/1.1\r\nHost: other\r\nX-Try-Id: t1\r\n\r\n", 404, false},
		{"no id", "GET /reads/x HTTP/1.1\r\nHost: h.example\r\n\r\n", 400, false},
		{"two ids", "GET /reads/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: a\r\nx-try-id: a\r\n\r\n", 400, false},
		{"no host", "GET /reads/x HTTP/1.1\r\nX-Try-Id: t1\r\n\r\n", 400, false},
		{"two hosts", "GET /reads/x HTTP/1.1\r\nHost: h.example\r\nHost: h.example\r\nX-Try-Id: t1\r\n\r\n", 400, false},
		{"two lengths",
			"POST /reads/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400, true},
		{"not HTTP", "\x16\x03\x01", 400, true},
		{"head too large", "GET /reads/x HTTP/1.1\r\nA: " + strings.Repeat("a", 20000), 431, true},
		{"body too large",
			"POST /reads/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: t1\r\nContent-Length: 99999999\r\n\r\n", 413, true},
		{"chunks too large",
			"POST /reads/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: t1\r\nTransfer-Encoding: chunked\r\n\r\n" +
				chunk(strings.Repeat("a", 3000)), 413, true},
		{"bad chunk",
			"POST /reads/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: t1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, true},
		{"version", "GET /reads/x HTTP/2.0\r\n\r\n", 505, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t)
			w.runners("a")
			w.do(func() { w.proxy.SetLimits(configuration.Limits{MaxBodyBytes: 2000}) })
			c := w.client()
			c.send(tc.in)
			if got := c.answered(tc.status, ""); got.Close != tc.closes {
				t.Errorf("close is %v", got.Close)
			}
			if tc.closes {
				c.gone()
			}
		})
	}
}

// Until the configuration is known nothing can be said of a route.
func TestBeforeTheConfiguration(t *testing.T) {
	w := newWorld(t)
	w.do(func() { w.proxy.SetRoutes(nil) })
	c := w.client()
	c.send(ask("/reads/x", "t1", "", ""))
	if got := c.answered(503, ""); got.Header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
}

func TestBodies(t *testing.T) {
	w := newWorld(t)
	r := w.runners("a")[0]
	c := w.client()
	c.send("PUT /writes/x HTTP/1.1\r\nHost: h.example:80\r\nX-Try-Id: t1\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n" +
		"5;x=y\r\nhello\r\n" + "6\r\n world\r\n0\r\nX-T: 1\r\n\r\n")
	up := r.accept()
	q, body := up.request()
	if body != "hello world" || q.ContentLength != 11 || q.Host != "h.example:80" || len(q.TransferEncoding) > 0 {
		t.Errorf("runner got %q with length %d", body, q.ContentLength)
	}
	up.send("HTTP/1.1 100 Continue\r\n\r\n" + served("t1", "one"))
	c.answered(200, "one")

	c.send("POST /writes/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: t2\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	c.expect("HTTP/1.1 100 Continue\r\n\r\n")
	c.send("body")
	if q, body := up.request(); body != "body" || q.Header.Get("Expect") != "" {
		t.Errorf("runner got %q, Expect %q", body, q.Header.Get("Expect"))
	}
	up.send(served("t2", "two"))
	c.answered(200, "two")

	c.send("HEAD /reads/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: t3\r\n\r\n")
	up.request()
	up.send("HTTP/1.1 200 OK\r\nX-Try-Id: t3\r\nX-Server-Seal: s\r\nContent-Length: 77\r\n\r\n")
	if head := c.head(); !strings.Contains(head, "Content-Length: 77\r\n") {
		t.Errorf("head is %q", head)
	}

	c.send("DELETE /writes/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: t4\r\n\r\n")
	if q, _ := up.request(); q.ContentLength != 0 {
		t.Errorf("a request without a body has length %d", q.ContentLength)
	}
	up.send("HTTP/1.1 204 Done\r\nX-Try-Id: t4\r\nX-Server-Seal: s\r\n\r\n")
	c.head()
	c.send(ask("/writes/x", "t5", "", ""))
	up.request()
}

// Requests that are sent ahead are answered in order, one at a time.
func TestPipelining(t *testing.T) {
	w := newWorld(t)
	r := w.runners("a")[0]
	c := w.client()
	c.send(ask("/writes/x", "t1", "", "one") + ask("/none/x", "t2", "", "") + ask("/writes/x", "t3", "", "three"))
	up := r.accept()
	for _, want := range []string{"one", "three"} {
		q, body := up.request()
		if body != want {
			t.Errorf("runner got %q, want %q", body, want)
		}
		if up.in.Buffered() > 0 {
			t.Error("the next request came before the answer")
		}
		up.send(served(q.Header.Get("X-Try-Id"), "answer "+want))
	}
	c.answered(200, "answer one")
	c.answered(404, "")
	c.answered(200, "answer three")
}

// A client that leaves takes its request along: the runner's connection is closed.
func TestClientLeaves(t *testing.T) {
	for _, path := range []string{"/writes/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			w := newWorld(t)
			r := w.runners("a")[0]
			c := w.client()
			c.send(ask(path, "t1", "", ""))
			up := r.accept()
			up.request()
			if path == "/stream/x" {
				up.send(streamHead("t1", "s") + chunk(event(1)))
				c.head()
			}
			c.conn.Close()
			up.gone()
			w.ended("a abandoned")
			w.await("nothing is held", func() bool {
				return w.proxy.exchanges == 0 && w.proxy.buffered == 0 &&
					w.proxy.sessions.open == 0
			})
		})
	}
}

func TestDeadline(t *testing.T) {
	soon := "X-Time-Left-Ms: 30\r\n"
	request := func(path string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: t1\r\n" + soon + "Content-Length: 0\r\n\r\n"
	}
	t.Run("the runner has it", func(t *testing.T) {
		w := newWorld(t)
		r := w.runners("a")[0]
		c := w.client()
		c.send(request("/writes/x"))
		up := r.accept()
		up.request()
		c.answered(504, "")
		up.gone()
		w.ended("a abandoned")
	})
	t.Run("the route's timeout is shorter", func(t *testing.T) {
		w := newWorld(t)
		w.do(func() { w.routes.routes[0].Timeout = 30 * time.Millisecond })
		r := w.runners("a")[0]
		c := w.client()
		c.send(ask("/reads/x", "t1", "", ""))
		up := r.accept()
		up.request()
		c.answered(504, "")
	})
	t.Run("a body that does not come", func(t *testing.T) {
		w := newWorld(t)
		c := w.client()
		c.send("POST /writes/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: t1\r\n" + soon + "Content-Length: 5\r\n\r\nab")
		c.answered(408, "")
		c.gone()
	})
	t.Run("a head that does not come", func(t *testing.T) {
		w := newWorld(t)
		w.do(func() { w.proxy.SetLimits(configuration.Limits{HeaderTimeout: 20 * time.Millisecond}) })
		c := w.client()
		c.send("POST /writes/x HT")
		c.answered(408, "")
		c.gone()
	})
	t.Run("an idle client", func(t *testing.T) {
		w := newWorld(t)
		w.do(func() { w.proxy.SetLimits(configuration.Limits{IdleTimeout: 20 * time.Millisecond}) })
		c := w.client()
		if rest := c.gone(); rest != "" {
			t.Errorf("an idle client got %q", rest)
		}
	})
}

func TestReady(t *testing.T) {
	w := newWorld(t)
	var addr string
	w.do(func() { addr = w.proxy.ready.listener.Addr().String() })
	c := dial(t, addr)
	get := func(path string) int {
		c.send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n")
		got, _ := c.response()
		return got.StatusCode
	}
	if got := get("/-/ready"); got != 503 {
		t.Errorf("without runners: %d", got)
	}
	w.runners("a")
	if got := get("/-/ready"); got != 200 {
		t.Errorf("with all that is needed: %d", got)
	}
	if got := get("/-/other"); got != 404 {
		t.Errorf("other path: %d", got)
	}
	w.do(func() { w.proxy.SetRoutes(nil) })
	if got := get("/-/ready"); got != 503 {
		t.Errorf("without a configuration: %d", got)
	}
	w.do(func() { w.proxy.SetRoutes(w.routes) })
	w.do(w.proxy.Stop)
	if got := get("/-/ready"); got != 503 {
		t.Errorf("when stopping: %d", got)
	}
}

// A proxy that is told to stop takes what still comes, ends it whole, and then ends.
func TestStop(t *testing.T) {
	w := newWorld(t)
	w.do(func() { w.proxy.stopping.plan = stopPlan{time.Hour, time.Hour, time.Hour, time.Hour} }) // the test goes through it by hand
	r := w.runners("a")[0]
	idle, busy, late := w.client(), w.client(), w.client()
	w.await("three sessions", func() bool { return w.proxy.sessions.open == 3 })
	busy.send(ask("/stream/x", "t1", "", ""))
	up := r.accept()
	up.request()
	up.send(streamHead("t1", "s") + chunk(event(1)))
	busy.head()
	w.do(w.proxy.Stop)
	late.send(ask("/writes/x", "t2", "", ""))
	second := r.accept()
	second.request()
	second.send(served("t2", "late"))
	if got := late.answered(200, "late"); !got.Close {
		t.Error("the answer does not end the connection")
	}
	late.conn.Close()
	w.do(w.proxy.sweep)
	idle.gone()
	w.do(w.proxy.shut)
	up.send(chunk(event(2)) + lastChunk)
	busy.expect(chunk(event(1)) + chunk(event(2)) + lastChunk)
	busy.conn.Close()
	select {
	case <-w.done:
	case <-time.After(patience):
		t.Fatal("the proxy does not end")
	}
}

// What has no answer when the proxy must end is told so, and whether it may have run.
func TestAnswersBeforeTheEnd(t *testing.T) {
	w := newWorld(t)
	w.do(func() { w.proxy.stopping.plan = stopPlan{time.Hour, time.Hour, time.Hour, time.Hour} }) // the test goes through it by hand
	r := w.runners("a")[0]
	half, sent, begun := w.client(), w.client(), w.client()
	begun.send(ask("/stream/x", "t1", "", ""))
	first := r.accept()
	first.request()
	first.send(streamHead("t1", "s") + chunk(event(1)))
	begun.head()
	sent.send(ask("/writes/x", "t2", "", ""))
	r.accept().request()
	half.send("POST /writes/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: t3\r\nContent-Length: 5\r\n\r\nab")
	w.await("three requests", func() bool { return w.proxy.exchanges == 3 })
	w.do(w.proxy.Stop)
	w.do(w.proxy.answerAll)
	if got := half.answered(503, ""); got.Header.Get("Retry-After") == "" || !got.Close {
		t.Error("a request that was not whole is not asked to come again elsewhere")
	}
	if got := sent.answered(502, ""); !got.Close {
		t.Error("the connection of a request that may have run stays")
	}
	begun.expect(chunk(event(1)))
	w.do(w.proxy.cutOff)
	if rest := begun.gone(); strings.Contains(rest, lastChunk) {
		t.Errorf("a cut answer looks whole: %q", rest)
	}
	<-w.done
}

// A proxy that is about to end takes what has its end before, and sends the rest elsewhere at once.
func TestTurnsAwayWhatOutlastsIt(t *testing.T) {
	w := newWorld(t)
	r := w.runners("a")[0]
	long, short := w.client(), w.client()
	w.await("two sessions", func() bool { return w.proxy.sessions.open == 2 })
	w.do(func() {
		w.proxy.stopping.on, w.proxy.stopping.at = true, w.proxy.now()-3*time.Second
		w.proxy.stopping.plan = stopPlan{shut: 2 * time.Second, last: 6 * time.Second, end: 7 * time.Second}
	})
	long.send(ask("/stream/x", "t1", "", "")) // it may take 10 s
	if got := long.answered(503, ""); got.Header.Get("Retry-After") == "" || !got.Close {
		t.Error("the client is not sent elsewhere")
	}
	short.send(strings.Replace(ask("/stream/x", "t2", "", ""), "10000", "1500", 1))
	up := r.accept()
	up.request()
	up.send(served("t2", "short"))
	short.answered(200, "short")
}

func TestPlanStop(t *testing.T) {
	ms := time.Millisecond
	for grace, want := range map[time.Duration]stopPlan{
		20 * time.Second: {1500 * ms, 2500 * ms, 19500 * ms, 19625 * ms},
		8 * time.Second:  {1500 * ms, 2400 * ms, 7500 * ms, 7625 * ms},
		2400 * ms:        {600 * ms, 720 * ms, 2200 * ms, 2250 * ms},
		0:                {1500 * ms, 2400 * ms, 7500 * ms, 7625 * ms},
	} {
		if got := planStop(grace); got != want {
			t.Errorf("grace of %v: %+v, want %+v", grace, got, want)
		}
	}
}

// Whatever the grace period, a stop keeps to what the platform allows: cuts come in its last sixth and before its end, and
// only to requests that were taken within three seconds or may be cut by nobody else than their own deadline.
func TestPlanStopKeepsToTheGracePeriod(t *testing.T) {
	for grace := 100 * time.Millisecond; grace < time.Minute; grace += 70 * time.Millisecond {
		plan := planStop(grace)
		ordered := plan.sweep <= plan.shut && plan.shut < plan.last && plan.last < plan.end && plan.end < grace
		if !ordered || float64(plan.last) < cutAllowedFrom*float64(grace) || plan.shut >= cutAllowedSentWithin {
			t.Errorf("grace of %v: %+v", grace, plan)
		}
		for after := time.Duration(0); after < grace; after += grace / 50 {
			if plan.takes(after, plan.last) && after >= plan.shut || !plan.takes(after, plan.last-endGrace) {
				t.Errorf("grace of %v: wrong about a request %v after the signal", grace, after)
			}
		}
	}
}
