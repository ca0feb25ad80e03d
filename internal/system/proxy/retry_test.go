package proxy

import (
	"io"
	"strings"
	"testing"
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
)

// Whether a second runner gets the request, by route and by what the first one did.
func TestRetryOnAnotherRunner(t *testing.T) {
	for _, tc := range []struct {
		name, path string
		first      func(p *testConn) // what the first runner does after reading the request
		outcome    string
		second     bool // the second runner gets the request
		status     int  // for the client, without a second runner
	}{
		{"not run, read only", "/reads/x", func(p *testConn) { p.send(notRunWithoutID) }, "a not run", true, 0},
		{"not run, writes", "/writes/x", func(p *testConn) { p.send(notRunWithoutID) }, "a not run", true, 0},
		{"not run, with the status of a failure", "/writes/x", func(p *testConn) {
			p.send("HTTP/1.1 429 Busy\r\nX-Not-Run: 1\r\nX-Try-Id: t1\r\nContent-Length: 0\r\n\r\n")
		}, "a not run", true, 0},
		{"another incarnation, writes", "/writes/x", func(p *testConn) {
			p.send("HTTP/1.1 421 Misdirected Request\r\nX-Server-Id: z\r\nContent-Length: 0\r\n\r\n")
		}, "a wrong runner", true, 0},
		{"closed, read only", "/reads/x", func(p *testConn) { p.conn.Close() }, "a broken", true, 0},
		{"closed, writes", "/writes/x", func(p *testConn) { p.conn.Close() }, "a broken", false, 502},
		{"reset, read only", "/reads/x", func(p *testConn) { p.reset() }, "a broken", true, 0},
		{"reset, writes", "/writes/x", func(p *testConn) { p.reset() }, "a broken", false, 502},
		{"reset, stream", "/stream/x", func(p *testConn) { p.reset() }, "a broken", false, 502},
		{"reset, resumable stream", "/resumable/x", func(p *testConn) { p.reset() }, "a broken", true, 0},
		{"invalid bytes, read only", "/reads/x", func(p *testConn) { p.send("\x00\x01garbage") }, "a broken", true, 0},
		{"invalid bytes, writes", "/writes/x", func(p *testConn) { p.send("HTTP/9 x\r\n\r\n") }, "a broken", false, 502},
		{"another request's response, read only", "/reads/x", func(p *testConn) { p.send(successText("other", "x")) }, "a broken",
			true, 0},
		{"another request's response, writes", "/writes/x", func(p *testConn) { p.send(successText("other", "x")) }, "a broken",
			false, 502},
		{"no id, read only", "/reads/x", func(p *testConn) {
			p.send("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 1\r\n\r\nx")
		}, "a broken", true, 0},
		{"no seal, read only", "/reads/x", func(p *testConn) {
			p.send("HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nContent-Length: 1\r\n\r\nx")
		}, "a broken", true, 0},
		{"no seal, writes", "/writes/x", func(p *testConn) {
			p.send("HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nContent-Length: 1\r\n\r\nx")
		}, "a broken", false, 502},
		{"failure of the runner, read only", "/reads/x", func(p *testConn) {
			p.send("HTTP/1.1 500 Oops\r\nX-Try-Id: t1\r\nContent-Length: 4\r\n\r\noops")
		}, "a failed", true, 0},
		{"failure of the runner, writes", "/writes/x", func(p *testConn) {
			p.send("HTTP/1.1 500 Oops\r\nX-Try-Id: t1\r\nContent-Length: 4\r\n\r\noops")
		}, "a failed", false, 500},
		{"503 without X-Not-Run, writes", "/writes/x", func(p *testConn) {
			p.send("HTTP/1.1 503 Oops\r\nX-Try-Id: t1\r\nContent-Length: 4\r\n\r\noops")
		}, "a failed", false, 502},
		{"client error, writes", "/writes/x", func(p *testConn) {
			p.send("HTTP/1.1 422 Oops\r\nX-Try-Id: t1\r\nContent-Length: 4\r\n\r\noops")
		}, "a served", false, 422},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			runners := h.startRunners("a", "b")
			client := h.connect()
			client.send(requestText(tc.path, "t1", "", "body"))
			first := runners[0].accept()
			if _, body := first.readRequest(); body != "body" {
				t.Errorf("first runner got %q", body)
			}
			tc.first(first)
			h.expectOutcomes(tc.outcome)
			if !tc.second {
				client.expectResponse(tc.status, "")
				return
			}
			second := runners[1].accept()
			request, body := second.readRequest()
			if body != "body" || request.Header.Get("X-Wanted-Server") != "b" || request.Header.Get("X-Try-Id") != "t1" {
				t.Errorf("second runner got %v %q", request.Header, body)
			}
			second.send(successText("t1", "whole"))
			client.expectResponse(200, "whole")
			h.expectOutcomes("b served")
		})
	}
}

// Guards against a retry that the placer's budget does not allow, and against a rejection once the request may have
// run.
func TestResponseWithoutRetry(t *testing.T) {
	for _, tc := range []struct {
		name, path, answer string
		status             int
		retryAfter         string
	}{
		{"not run", "/reads/x", notRunWithoutID, 503, "0.200"},
		{"not run, with Retry-After", "/writes/x",
			"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nRetry-After: 0.75\r\nContent-Length: 0\r\n\r\n", 503, "0.750"},
		{"failed", "/reads/x", "HTTP/1.1 500 Oops\r\nX-Try-Id: t1\r\nContent-Length: 4\r\n\r\noops", 500, ""},
		{"invalid", "/reads/x", "nonsense", 502, ""},
		{"another incarnation", "/writes/x", "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", 503, "0.200"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			runners := h.startRunners("a", "b")
			h.onLoop(func() { h.placer.noRetry = true })
			client := h.connect()
			client.send(requestText(tc.path, "t1", "", ""))
			upstream := runners[0].accept()
			upstream.readRequest()
			upstream.send(tc.answer)
			if got := client.expectResponse(tc.status, ""); got.Header.Get("Retry-After") != tc.retryAfter {
				t.Errorf("Retry-After is %q, want %q", got.Header.Get("Retry-After"), tc.retryAfter)
			}
		})
	}
}

// A rejected request is answered at once with a Retry-After, and the connection stays usable.
func TestPlacementRejection(t *testing.T) {
	h := newHarness(t)
	h.startRunners("a")
	h.onLoop(func() { h.placer.rejection = &placement.Rejection{RetryAfter: 250 * time.Millisecond} })
	c := h.connect()
	for _, id := range []string{"t1", "t2"} {
		c.send(requestText("/writes/x", id, "", "body"))
		got := c.expectResponse(503, "")
		if got.Header.Get("Retry-After") != "0.250" || got.Header.Get("X-Try-Id") != id {
			t.Errorf("rejected with %v", got.Header)
		}
	}
}

// Guards against a write that is rejected because a runner could not be reached, and against one that is sent to it
// twice.
func TestUnreachableRunner(t *testing.T) {
	h := newHarness(t)
	r := h.startRunners("a", "b")
	r[0].listener.Close()
	c := h.connect()
	c.send(requestText("/writes/x", "t1", "", "body"))
	up := r[1].accept()
	up.readRequest()
	up.send(successText("t1", "whole"))
	c.expectResponse(200, "whole")
	h.expectOutcomes("a unreached", "b served")
}

// Guards against a large request that a runner never received completely counting as possibly executed.
func TestRequestNotFullySent(t *testing.T) {
	h := newHarness(t)
	runners := h.startRunners("a", "b")
	h.onLoop(func() { h.proxy.SetLimits(configuration.Limits{MaxBodyBytes: 1 << 30}) })
	body := string(make([]byte, 32<<20)) // more than the kernel's buffers hold
	client := h.connect()
	go io.WriteString(client.conn, requestText("/writes/x", "t1", "", body)) // what arrives is checked below
	first := runners[0].accept()
	first.readHead()
	first.reset()
	second := runners[1].accept()
	if _, got := second.readRequest(); len(got) != len(body) {
		t.Errorf("second runner got %d bytes", len(got))
	}
	second.send(successText("t1", "whole"))
	client.expectResponse(200, "whole")
	h.expectOutcomes("a broken", "b served")
}

// Guards against sending a request on a connection that its runner has closed or sent unrequested bytes on.
func TestUnusableIdleConnection(t *testing.T) {
	for _, tc := range []struct {
		name  string
		spoil func(p *testConn)
	}{
		{"unexpected bytes", func(p *testConn) { p.send(successText("t0", "late")) }},
		{"closed", func(p *testConn) { p.conn.Close() }},
		{"reset", func(p *testConn) { p.reset() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			runner := h.startRunners("a")[0]
			client := h.connect()
			client.send(requestText("/writes/x", "t1", "", ""))
			upstream := runner.accept()
			upstream.readRequest()
			upstream.send(successText("t1", "first"))
			client.expectResponse(200, "first")
			tc.spoil(upstream)
			h.waitFor("the connection's end", func() bool { return len(h.proxy.pool.runners["a"].idle) == 0 })
			client.send(requestText("/writes/x", "t2", "", ""))
			again := runner.accept()
			again.readRequest()
			again.send(successText("t2", "second"))
			client.expectResponse(200, "second")
		})
	}
}

func TestBytesAfterResponse(t *testing.T) {
	h := newHarness(t)
	r := h.startRunners("a")[0]
	c := h.connect()
	c.send(requestText("/writes/x", "t1", "", ""))
	up := r.accept()
	up.readRequest()
	up.send(successText("t1", "first") + "more")
	c.expectResponse(200, "first")
	up.readToClose()
	h.expectOutcomes("a served")
}

// An extra response to the previous request is discarded; the response to the current request follows.
func TestExtraResponseDiscarded(t *testing.T) {
	h := newHarness(t)
	runner := h.startRunners("a")[0]
	client := h.connect()
	client.send(requestText("/writes/x", "t1", "", ""))
	upstream := runner.accept()
	upstream.readRequest()
	upstream.send(successText("t1", "first"))
	client.expectResponse(200, "first")
	client.send(requestText("/writes/x", "t2", "", ""))
	upstream.readRequest()
	upstream.send(successText("t1", "first") + successText("t2", "second"))
	client.expectResponse(200, "second")
	upstream.readToClose()
	h.expectOutcomes("a served", "a served")
}

// A response that reports that nothing was executed, but not for which request, may be a late one to the previous request:
// it proves nothing about the current one.
func TestNotRunWithoutIDProvesNothing(t *testing.T) {
	h := newHarness(t)
	runners := h.startRunners("a", "b")
	client := h.connect()
	client.send(requestText("/writes/x", "t1", "", ""))
	upstream := runners[0].accept()
	upstream.readRequest()
	upstream.send(successText("t1", "first"))
	client.expectResponse(200, "first")
	client.send(requestText("/writes/x", "t2", "", ""))
	upstream.readRequest()
	upstream.send(notRunWithoutID)
	client.expectResponse(502, "")
	upstream.readToClose()
	h.expectOutcomes("a served", "a broken")
}

// A runner that responds before it has the complete request may have executed what it received; its response is unreadable
// here.
func TestInvalidEarlyResponse(t *testing.T) {
	h := newHarness(t)
	r := h.startRunners("a", "b")
	c := h.connect()
	c.send(requestText("/writes/x", "t1", "", strings.Repeat("x", 4<<20)))
	up := r[0].accept()
	up.readHead()
	up.send("\x00\x01")
	c.expectResponse(502, "")
	h.expectOutcomes("a broken")
}

// A connection is reused after responses that were not forwarded.
func TestConnectionReuseAfterNotRun(t *testing.T) {
	h := newHarness(t)
	runners := h.startRunners("a", "b")
	client := h.connect()
	client.send(requestText("/writes/x", "t1", "", ""))
	upstream := runners[0].accept()
	upstream.readRequest()
	upstream.send("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull")
	second := runners[1].accept()
	second.readRequest()
	second.send(successText("t1", "whole"))
	client.expectResponse(200, "whole")
	client.send(requestText("/writes/x", "t2", "", ""))
	upstream.readRequest() // on the same connection
	upstream.send(successText("t2", "next"))
	client.expectResponse(200, "next")
}
