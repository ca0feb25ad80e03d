package proxy

import (
	"io"
	"strings"
	"testing"
	"time"

	"cinderroad/internal/system/configuration"
	"cinderroad/internal/system/placement"
)

// retryCase is what a first runner does with a request, and what becomes of the request.
type retryCase struct {
	name    string
	path    string
	first   func(p *testConn) // what the first runner does after reading the request
	outcome string            // of the attempt, as the placer learns it
	// status is the client's, if no second runner gets the request; retried: one does.
	status int
}

// retried is the status of a retryCase whose request a second runner gets.
const retried = 0

// Responses of a first runner.
const (
	notRunWithFailureStatus = "HTTP/1.1 429 Busy\r\nX-Not-Run: 1\r\nX-Try-Id: t1\r\nContent-Length: 0\r\n\r\n"
	misdirectedResponse     = "HTTP/1.1 421 Misdirected Request\r\nX-Server-Id: z\r\nContent-Length: 0\r\n\r\n"
	responseWithoutID       = "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 1\r\n\r\nx"
	responseWithoutSeal     = "HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nContent-Length: 1\r\n\r\nx"
	failedResponse          = "HTTP/1.1 500 Oops\r\nX-Try-Id: t1\r\nContent-Length: 4\r\n\r\noops"
	unavailableResponse     = "HTTP/1.1 503 Oops\r\nX-Try-Id: t1\r\nContent-Length: 4\r\n\r\noops"
	clientErrorResponse     = "HTTP/1.1 422 Oops\r\nX-Try-Id: t1\r\nContent-Length: 4\r\n\r\noops"
)

// sends returns what a runner does that sends a text.
func sends(text string) func(p *testConn) { return func(p *testConn) { p.send(text) } }

func closes(p *testConn) { p.conn.Close() }

// Whether a second runner gets the request, by route and by what the first one did.
func TestRetryOnAnotherRunner(t *testing.T) {
	for _, cases := range [][]retryCase{
		{ // the runner guarantees that the request was not executed
			{"not run, read only", "/reads/x", sends(notRunWithoutID), "a not run", retried},
			{"not run, writes", "/writes/x", sends(notRunWithoutID), "a not run", retried},
			{"not run, with the status of a failure", "/writes/x", sends(notRunWithFailureStatus), "a not run", retried},
			{"another incarnation, writes", "/writes/x", sends(misdirectedResponse), "a wrong runner", retried},
		},
		{ // the connection is lost
			{"closed, read only", "/reads/x", closes, "a broken", retried},
			{"closed, writes", "/writes/x", closes, "a broken", 502},
			{"reset, read only", "/reads/x", (*testConn).reset, "a broken", retried},
			{"reset, writes", "/writes/x", (*testConn).reset, "a broken", 502},
			{"reset, stream", "/stream/x", (*testConn).reset, "a broken", 502},
			{"reset, resumable stream", "/resumable/x", (*testConn).reset, "a broken", retried},
		},
		{ // the bytes are no response that may be forwarded
			{"invalid bytes, read only", "/reads/x", sends("\x00\x01garbage"), "a broken", retried},
			{"invalid bytes, writes", "/writes/x", sends("HTTP/9 x\r\n\r\n"), "a broken", 502},
			{"another request's response, read only", "/reads/x", sends(successText("other", "x")), "a broken", retried},
			{"another request's response, writes", "/writes/x", sends(successText("other", "x")), "a broken", 502},
			{"no id, read only", "/reads/x", sends(responseWithoutID), "a broken", retried},
			{"no seal, read only", "/reads/x", sends(responseWithoutSeal), "a broken", retried},
			{"no seal, writes", "/writes/x", sends(responseWithoutSeal), "a broken", 502},
		},
		{ // the runner responds with an error
			{"failure of the runner, read only", "/reads/x", sends(failedResponse), "a failed", retried},
			{"failure of the runner, writes", "/writes/x", sends(failedResponse), "a failed", 500},
			{"503 without X-Not-Run, writes", "/writes/x", sends(unavailableResponse), "a failed", 502},
			{"client error, writes", "/writes/x", sends(clientErrorResponse), "a served", 422},
		},
	} {
		for _, tc := range cases {
			t.Run(tc.name, func(t *testing.T) { tc.run(t) })
		}
	}
}

func (tc *retryCase) run(t *testing.T) {
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
	if tc.status != retried {
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

// Guards against a first attempt that counts as a retry because a runner with no connection to spare was passed over.
func TestPassedOverRunner(t *testing.T) {
	h := newHarness(t)
	runners := h.startRunners("a", "b")
	h.onLoop(func() { h.proxy.pool.runners["a"].markSuspect() })
	client := h.connect()
	client.send(requestText("/writes/x", "t1", "", "body"))
	upstream := runners[1].accept()
	upstream.readRequest()
	h.onLoop(func() {
		asked := h.placer.lastRequest
		if asked.Attempts() != 0 || len(asked.TriedRunners) != 1 || asked.TriedRunners[0] != "a" {
			t.Errorf("the placer was asked with %d attempts, tried %q", asked.Attempts(), asked.TriedRunners)
		}
	})
	upstream.send(successText("t1", "whole"))
	client.expectResponse(200, "whole")
	h.expectOutcomes("b served")
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
