package proxy

import "testing"

// TestShutdownAnswersPipelinedRequests guards against a loss at shutdown: a request that was read behind another one whose
// response began after the signal was dropped with its connection.
func TestShutdownAnswersPipelinedRequests(t *testing.T) {
	h := newHarness(t)
	h.onLoop(func() { h.proxy.shutdown.plan = manualPlan })
	runner := h.startRunners("a")[0]
	client := h.connect()
	client.send(requestText("/writes/x", "t1", "", "") + requestText("/writes/x", "t2", "", ""))
	upstream := runner.accept()
	upstream.readRequest()
	h.onLoop(h.proxy.Stop)
	upstream.send(successText("t1", "first"))
	if got := client.expectResponse(200, "first"); got.Close {
		t.Fatal("the response announces the close although another request was read")
	}
	upstream.readRequest()
	upstream.send(successText("t2", "second"))
	if got := client.expectResponse(200, "second"); !got.Close {
		t.Error("the last response does not announce the close")
	}
}
