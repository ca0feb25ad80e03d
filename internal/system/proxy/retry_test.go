package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
)

const notRunAnswer = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

// answered checks the status of a whole answer.
func (p *peer) answered(status int, body string) *http.Response {
	p.t.Helper()
	got, text := p.response()
	if got.StatusCode != status || status == 200 && text != body {
		p.t.Fatalf("answer is %d %q, want %d %q", got.StatusCode, text, status, body)
	}
	return got
}

// What may go to a second runner, by route and by what the first one did.
func TestSecondRunner(t *testing.T) {
	for _, tc := range []struct {
		name, path string
		first      func(p *peer) // what the first runner does with the request that it has read
		outcome    string
		second     bool // the second runner gets it
		status     int  // of the client, without a second
	}{
		{"not run, read only", "/reads/x", func(p *peer) { p.send(notRunAnswer) }, "a not run", true, 0},
		{"not run, writes", "/writes/x", func(p *peer) { p.send(notRunAnswer) }, "a not run", true, 0},
		{"not run, with an own failure's status", "/writes/x", func(p *peer) {
			p.send("HTTP/1.1 429 Busy\r\nX-Not-Run: 1\r\nX-Try-Id: t1\r\nContent-Length: 0\r\n\r\n")
		}, "a not run", true, 0},
		{"another incarnation, writes", "/writes/x", func(p *peer) {
			p.send("HTTP/1.1 421 Misdirected Request\r\nX-Server-Id: z\r\nContent-Length: 0\r\n\r\n")
		}, "a wrong runner", true, 0},
		{"closed, read only", "/reads/x", func(p *peer) { p.conn.Close() }, "a broken", true, 0},
		{"closed, writes", "/writes/x", func(p *peer) { p.conn.Close() }, "a broken", false, 502},
		{"reset, read only", "/reads/x", func(p *peer) { p.reset() }, "a broken", true, 0},
		{"reset, writes", "/writes/x", func(p *peer) { p.reset() }, "a broken", false, 502},
		{"reset, stream", "/stream/x", func(p *peer) { p.reset() }, "a broken", false, 502},
		{"reset, resumable stream", "/resumable/x", func(p *peer) { p.reset() }, "a broken", true, 0},
		{"spoilt bytes, read only", "/reads/x", func(p *peer) { p.send("\x00\x01garbage") }, "a broken", true, 0},
		{"spoilt bytes, writes", "/writes/x", func(p *peer) { p.send("HTTP/9 x\r\n\r\n") }, "a broken", false, 502},
		{"another request's answer, read only", "/reads/x", func(p *peer) { p.send(served("other", "x")) }, "a broken",
			true, 0},
		{"another request's answer, writes", "/writes/x", func(p *peer) { p.send(served("other", "x")) }, "a broken",
			false, 502},
		{"no id, read only", "/reads/x", func(p *peer) {
			p.send("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 1\r\n\r\nx")
		}, "a broken", true, 0},
		{"no stamp, read only", "/reads/x", func(p *peer) {
			p.send("HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nContent-Length: 1\r\n\r\nx")
		}, "a broken", true, 0},
		{"no stamp, writes", "/writes/x", func(p *peer) {
			p.send("HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nContent-Length: 1\r\n\r\nx")
		}, "a broken", false, 502},
		{"own failure, read only", "/reads/x", func(p *peer) {
			p.send("HTTP/1.1 500 Oops\r\nX-Try-Id: t1\r\nContent-Length: 4\r\n\r\noops")
		}, "a failed", true, 0},
		{"own failure, writes", "/writes/x", func(p *peer) {
			p.send("HTTP/1.1 500 Oops\r\nX-Try-Id: t1\r\nContent-Length: 4\r\n\r\noops")
		}, "a failed", false, 500},
		{"a promise that is none, writes", "/writes/x", func(p *peer) {
			p.send("HTTP/1.1 503 Oops\r\nX-Try-Id: t1\r\nContent-Length: 4\r\n\r\noops")
		}, "a failed", false, 502},
		{"error of the client's, writes", "/writes/x", func(p *peer) {
			p.send("HTTP/1.1 422 Oops\r\nX-Try-Id: t1\r\nContent-Length: 4\r\n\r\noops")
		}, "a served", false, 422},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t)
			r := w.runners("a", "b")
			c := w.client()
			c.send(ask(tc.path, "t1", "", "body"))
			first := r[0].accept()
			if _, body := first.request(); body != "body" {
				t.Errorf("first runner got %q", body)
			}
			tc.first(first)
			w.ended(tc.outcome)
			if !tc.second {
				c.answered(tc.status, "")
				return
			}
			second := r[1].accept()
			q, body := second.request()
			if body != "body" || q.Header.Get("X-Wanted-Server") != "b" || q.Header.Get("X-Try-Id") != "t1" {
				t.Errorf("second runner got %v %q", q.Header, body)
			}
			second.send(served("t1", "whole"))
			c.answered(200, "whole")
			w.ended("b served")
		})
	}
}

// Guards against a repeat that the placer's budget does not allow, and against a promise once the request may have run.
func TestNoSecondRunner(t *testing.T) {
	for _, tc := range []struct {
		name, path, answer string
		status             int
		retryAfter         string
	}{
		{"not run", "/reads/x", notRunAnswer, 503, "0.200"},
		{"not run, told when", "/writes/x",
			"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nRetry-After: 0.75\r\nContent-Length: 0\r\n\r\n", 503, "0.750"},
		{"failed", "/reads/x", "HTTP/1.1 500 Oops\r\nX-Try-Id: t1\r\nContent-Length: 4\r\n\r\noops", 500, ""},
		{"spoilt", "/reads/x", "nonsense", 502, ""},
		{"another incarnation", "/writes/x", "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", 503, "0.200"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t)
			r := w.runners("a", "b")
			w.do(func() { w.placer.noRetry = true })
			c := w.client()
			c.send(ask(tc.path, "t1", "", ""))
			up := r[0].accept()
			up.request()
			up.send(tc.answer)
			if got := c.answered(tc.status, ""); got.Header.Get("Retry-After") != tc.retryAfter {
				t.Errorf("Retry-After is %q, want %q", got.Header.Get("Retry-After"), tc.retryAfter)
			}
		})
	}
}

// A refusal is answered at once, with when to come back, and the connection serves on.
func TestRefusal(t *testing.T) {
	w := newWorld(t)
	w.runners("a")
	w.do(func() { w.placer.refusal = &placement.Rejection{RetryAfter: 250 * time.Millisecond} })
	c := w.client()
	for _, id := range []string{"t1", "t2"} {
		c.send(ask("/writes/x", id, "", "body"))
		got := c.answered(503, "")
		if got.Header.Get("Retry-After") != "0.250" || got.Header.Get("X-Try-Id") != id {
			t.Errorf("refused with %v", got.Header)
		}
	}
}

// Guards against a write that is given up after a runner could not even be reached, and against one that is sent to it
// twice.
func TestUnreachedRunner(t *testing.T) {
	w := newWorld(t)
	r := w.runners("a", "b")
	r[0].listener.Close()
	c := w.client()
	c.send(ask("/writes/x", "t1", "", "body"))
	up := r[1].accept()
	up.request()
	up.send(served("t1", "whole"))
	c.answered(200, "whole")
	w.ended("a unreached", "b served")
}

// Guards against a large request that a runner never took whole counting as one that may have run.
func TestRequestNotSentWhole(t *testing.T) {
	w := newWorld(t)
	r := w.runners("a", "b")
	w.do(func() { w.proxy.SetLimits(configuration.Limits{MaxBodyBytes: 1 << 30}) })
	body := string(make([]byte, 32<<20)) // more than the buffers of the system hold
	c := w.client()
	go io.WriteString(c.conn, ask("/writes/x", "t1", "", body)) // what arrives is looked at below
	first := r[0].accept()
	first.head()
	first.reset()
	second := r[1].accept()
	if _, got := second.request(); len(got) != len(body) {
		t.Errorf("second runner got %d bytes", len(got))
	}
	second.send(served("t1", "whole"))
	c.answered(200, "whole")
	w.ended("a broken", "b served")
}

// Guards against a request on a connection whose runner has closed it or sent bytes that nobody asked for, and against
// such bytes behind an answer.
func TestSpoiltIdleConnection(t *testing.T) {
	for _, tc := range []struct {
		name  string
		spoil func(p *peer)
	}{
		{"unasked bytes", func(p *peer) { p.send(served("t0", "late")) }},
		{"closed", func(p *peer) { p.conn.Close() }},
		{"reset", func(p *peer) { p.reset() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t)
			r := w.runners("a")[0]
			c := w.client()
			c.send(ask("/writes/x", "t1", "", ""))
			up := r.accept()
			up.request()
			up.send(served("t1", "first"))
			c.answered(200, "first")
			tc.spoil(up)
			w.await("the connection's end", func() bool { return len(w.proxy.pool.runners["a"].idle) == 0 })
			c.send(ask("/writes/x", "t2", "", ""))
			again := r.accept()
			again.request()
			again.send(served("t2", "second"))
			c.answered(200, "second")
		})
	}
}

func TestBytesAfterAnAnswer(t *testing.T) {
	w := newWorld(t)
	r := w.runners("a")[0]
	c := w.client()
	c.send(ask("/writes/x", "t1", "", ""))
	up := r.accept()
	up.request()
	up.send(served("t1", "first") + "more")
	c.answered(200, "first")
	up.gone()
	w.ended("a served")
}

// An extra answer to the request before is read away: the answer to the request at hand follows.
func TestExtraAnswer(t *testing.T) {
	w := newWorld(t)
	r := w.runners("a")[0]
	c := w.client()
	c.send(ask("/writes/x", "t1", "", ""))
	up := r.accept()
	up.request()
	up.send(served("t1", "first"))
	c.answered(200, "first")
	c.send(ask("/writes/x", "t2", "", ""))
	up.request()
	up.send(served("t1", "first") + served("t2", "second"))
	c.answered(200, "second")
	up.gone()
	w.ended("a served", "a served")
}

// An answer that says that nothing ran, but not of which request, may be a late one to the request before: it proves
// nothing of the request at hand.
func TestRejectionWithoutID(t *testing.T) {
	w := newWorld(t)
	r := w.runners("a", "b")
	c := w.client()
	c.send(ask("/writes/x", "t1", "", ""))
	up := r[0].accept()
	up.request()
	up.send(served("t1", "first"))
	c.answered(200, "first")
	c.send(ask("/writes/x", "t2", "", ""))
	up.request()
	up.send(notRunAnswer)
	c.answered(502, "")
	up.gone()
	w.ended("a served", "a broken")
}

// A runner that answers before it has the whole request may have run what it got: what it says cannot be read here.
func TestSpoiltEarlyAnswer(t *testing.T) {
	w := newWorld(t)
	r := w.runners("a", "b")
	c := w.client()
	c.send(ask("/writes/x", "t1", "", strings.Repeat("x", 4<<20)))
	up := r[0].accept()
	up.head()
	up.send("\x00\x01")
	c.answered(502, "")
	w.ended("a broken")
}

// A connection serves on after answers that were not passed on.
func TestConnectionAfterRejection(t *testing.T) {
	w := newWorld(t)
	r := w.runners("a", "b")
	c := w.client()
	c.send(ask("/writes/x", "t1", "", ""))
	up := r[0].accept()
	up.request()
	up.send("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull")
	second := r[1].accept()
	second.request()
	second.send(served("t1", "whole"))
	c.answered(200, "whole")
	c.send(ask("/writes/x", "t2", "", ""))
	up.request() // on the same connection
	up.send(served("t2", "next"))
	c.answered(200, "next")
}
