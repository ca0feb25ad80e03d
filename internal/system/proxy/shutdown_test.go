package proxy

import (
	"strings"
	"testing"
	"time"
)

// A proxy that is told to stop takes what still comes, ends it whole, and then ends.
func TestShutdownDrains(t *testing.T) {
	w := newHarness(t)
	w.onLoop(func() { w.proxy.shutdown.plan = shutdownPlan{time.Hour, time.Hour, time.Hour, time.Hour} }) // the test goes through it by hand
	runner := w.startRunners("a")[0]
	idle, busy, late := w.connect(), w.connect(), w.connect()
	w.waitFor("three sessions", func() bool { return w.proxy.sessions.count == 3 })
	busy.send(requestText("/stream/x", "t1", "", ""))
	upstream := runner.accept()
	upstream.readRequest()
	upstream.send(streamHeadText("t1", "s") + chunkText(eventText(1)))
	busy.readHead()
	w.onLoop(w.proxy.Stop)
	late.send(requestText("/writes/x", "t2", "", ""))
	second := runner.accept()
	second.readRequest()
	second.send(successText("t2", "late"))
	if got := late.expectResponse(200, "late"); !got.Close {
		t.Error("the answer does not end the connection")
	}
	late.conn.Close()
	w.onLoop(w.proxy.sweepIdleSessions)
	idle.readToClose()
	w.onLoop(w.proxy.closeListener)
	upstream.send(chunkText(eventText(2)) + lastChunk)
	busy.expect(chunkText(eventText(1)) + chunkText(eventText(2)) + lastChunk)
	busy.conn.Close()
	select {
	case <-w.done:
	case <-time.After(testTimeout):
		t.Fatal("the proxy does not end")
	}
}

// What has no answer when the proxy must end is told so, and whether it may have run.
func TestShutdownAnswersPendingRequests(t *testing.T) {
	w := newHarness(t)
	w.onLoop(func() { w.proxy.shutdown.plan = shutdownPlan{time.Hour, time.Hour, time.Hour, time.Hour} }) // the test goes through it by hand
	runner := w.startRunners("a")[0]
	half, sent, begun := w.connect(), w.connect(), w.connect()
	begun.send(requestText("/stream/x", "t1", "", ""))
	first := runner.accept()
	first.readRequest()
	first.send(streamHeadText("t1", "s") + chunkText(eventText(1)))
	begun.readHead()
	sent.send(requestText("/writes/x", "t2", "", ""))
	runner.accept().readRequest()
	half.send("POST /writes/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: t3\r\nContent-Length: 5\r\n\r\nab")
	w.waitFor("three requests", func() bool { return w.proxy.openExchanges == 3 })
	w.onLoop(w.proxy.Stop)
	w.onLoop(w.proxy.endUnansweredExchanges)
	if got := half.expectResponse(503, ""); got.Header.Get("Retry-After") == "" || !got.Close {
		t.Error("a request that was not whole is not asked to come again elsewhere")
	}
	if got := sent.expectResponse(502, ""); !got.Close {
		t.Error("the connection of a request that may have run stays")
	}
	begun.expect(chunkText(eventText(1)))
	w.onLoop(w.proxy.terminate)
	if rest := begun.readToClose(); strings.Contains(rest, lastChunk) {
		t.Errorf("a cut answer looks whole: %q", rest)
	}
	<-w.done
}

// A proxy that is about to end takes what has its end before, and sends the rest elsewhere at once.
func TestShutdownRejectsLongRequests(t *testing.T) {
	w := newHarness(t)
	runner := w.startRunners("a")[0]
	long, short := w.connect(), w.connect()
	w.waitFor("two sessions", func() bool { return w.proxy.sessions.count == 2 })
	w.onLoop(func() {
		w.proxy.shutdown.active, w.proxy.shutdown.signalAt = true, w.proxy.now()-3*time.Second
		w.proxy.shutdown.plan = shutdownPlan{closeListener: 2 * time.Second, lastResponses: 6 * time.Second, exit: 7 * time.Second}
	})
	long.send(requestText("/stream/x", "t1", "", "")) // it may take 10 s
	if got := long.expectResponse(503, ""); got.Header.Get("Retry-After") == "" || !got.Close {
		t.Error("the client is not sent elsewhere")
	}
	short.send(strings.Replace(requestText("/stream/x", "t2", "", ""), "10000", "1500", 1))
	upstream := runner.accept()
	upstream.readRequest()
	upstream.send(successText("t2", "short"))
	short.expectResponse(200, "short")
}
