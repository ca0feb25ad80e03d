package proxy

import (
	"io"
	"strings"
	"testing"
	"time"

	"cinderroad/internal/system/shutdown"
)

// manualPlan keeps the steps of a shutdown from running by themselves: the test runs them.
var manualPlan = shutdownPlan{
	sweepIdle:     time.Hour,
	closeListener: time.Hour,
	Schedule:      shutdown.Schedule{LastResponses: time.Hour, ProxyEnd: time.Hour},
}

// A proxy that has got the shutdown signal serves what still arrives and exits afterwards.
func TestShutdownDrains(t *testing.T) {
	h := newHarness(t)
	h.onLoop(func() { h.proxy.shutdown.plan = manualPlan })
	runner := h.startRunners("a")[0]
	idle, busy, late := h.connect(), h.connect(), h.connect()
	h.waitFor("three sessions", func() bool { return h.proxy.sessions.count == 3 })
	busy.send(requestText("/stream/x", "t1", "", ""))
	upstream := runner.accept()
	upstream.readRequest()
	upstream.send(streamHeadText("t1", "s") + chunkText(eventText(1)))
	busy.readHead()
	h.onLoop(h.proxy.Stop)
	late.send(requestText("/writes/x", "t2", "", ""))
	second := runner.accept()
	second.readRequest()
	second.send(successText("t2", "late"))
	if got := late.expectResponse(200, "late"); !got.Close {
		t.Error("the response does not close the connection")
	}
	late.conn.Close()
	h.onLoop(h.proxy.sweepIdleSessions)
	idle.readToClose()
	h.onLoop(h.proxy.closeListener)
	upstream.send(chunkText(eventText(2)) + lastChunk)
	busy.expect(chunkText(eventText(1)) + chunkText(eventText(2)) + lastChunk)
	busy.conn.Close()
	select {
	case <-h.done:
	case <-time.After(testTimeout):
		t.Fatal("the proxy does not exit")
	}
}

// Requests without a response when the proxy must exit are answered, and the status says whether they may have run.
func TestShutdownAnswersPendingRequests(t *testing.T) {
	h := newHarness(t)
	h.onLoop(func() { h.proxy.shutdown.plan = manualPlan })
	runner := h.startRunners("a")[0]
	half, sent, begun := h.connect(), h.connect(), h.connect()
	begun.send(requestText("/stream/x", "t1", "", ""))
	first := runner.accept()
	first.readRequest()
	first.send(streamHeadText("t1", "s") + chunkText(eventText(1)))
	begun.readHead()
	sent.send(requestText("/writes/x", "t2", "", ""))
	runner.accept().readRequest()
	half.send("POST /writes/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: t3\r\nContent-Length: 5\r\n\r\nab")
	h.waitFor("three requests", func() bool { return h.proxy.openExchanges == 3 })
	h.onLoop(h.proxy.Stop)
	h.onLoop(h.proxy.endUnansweredExchanges)
	if got := half.expectResponse(503, ""); got.Header.Get("Retry-After") == "" || !got.Close {
		t.Error("an incomplete request is not sent elsewhere")
	}
	if got := sent.expectResponse(502, ""); !got.Close {
		t.Error("the connection of a request that may have run stays open")
	}
	begun.expect(chunkText(eventText(1)))
	h.onLoop(h.proxy.terminate)
	if rest := begun.readToClose(); strings.Contains(rest, lastChunk) {
		t.Errorf("a truncated response looks complete: %q", rest)
	}
	<-h.done
}

// TestShutdownResetsUndelimitedResponses guards against a truncated response that looks complete: the exit closed the
// connection of a client that recognizes the end of a response by the close in order.
func TestShutdownResetsUndelimitedResponses(t *testing.T) {
	h := newHarness(t)
	h.onLoop(func() { h.proxy.shutdown.plan = manualPlan })
	runner := h.startRunners("a")[0]
	client := h.connect()
	client.send(strings.Replace(requestText("/stream/x", "t1", "", ""), "HTTP/1.1", "HTTP/1.0", 1))
	upstream := runner.accept()
	upstream.readRequest()
	upstream.send(streamHeadText("t1", "s") + chunkText(eventText(1)))
	client.readHead()
	client.expect(eventText(1))
	h.onLoop(h.proxy.Stop)
	h.onLoop(h.proxy.terminate)
	if _, err := io.ReadAll(client.reader); err == nil {
		t.Error("a truncated response looks complete")
	}
	<-h.done
}

// A proxy that is about to exit accepts requests that end before and rejects the others at once.
func TestShutdownRejectsLongRequests(t *testing.T) {
	h := newHarness(t)
	runner := h.startRunners("a")[0]
	long, short := h.connect(), h.connect()
	h.waitFor("two sessions", func() bool { return h.proxy.sessions.count == 2 })
	h.onLoop(func() {
		h.proxy.shutdown.active = true
		h.proxy.shutdown.signalAt = h.proxy.now() - 3*time.Second
		h.proxy.shutdown.plan = shutdownPlan{closeListener: 2 * time.Second,
			Schedule: shutdown.Schedule{LastResponses: 6 * time.Second, ProxyEnd: 7 * time.Second}}
	})
	long.send(requestText("/stream/x", "t1", "", "")) // its deadline is 10 s away
	if got := long.expectResponse(503, ""); got.Header.Get("Retry-After") == "" || !got.Close {
		t.Error("the client is not sent elsewhere")
	}
	short.send(strings.Replace(requestText("/stream/x", "t2", "", ""), "10000", "1500", 1))
	upstream := runner.accept()
	upstream.readRequest()
	upstream.send(successText("t2", "short"))
	short.expectResponse(200, "short")
}
