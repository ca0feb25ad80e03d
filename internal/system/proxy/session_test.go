package proxy

import (
	"strings"
	"testing"
	"time"

	"cinderroad/internal/system/configuration"
)

// Requests that are answered without a runner.
func TestLocalResponses(t *testing.T) {
	for _, tc := range []struct {
		name, in string
		status   int
		closes   bool
	}{
		{"no route", requestText("/none/x", "t1", "", ""), 404, false},
		{"no route, body not sent yet",
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
				chunkText(strings.Repeat("a", 3000)), 413, true},
		{"bad chunk",
			"POST /reads/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: t1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, true},
		{"version", "GET /reads/x HTTP/2.0\r\n\r\n", 505, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.startRunners("a")
			h.onLoop(func() { h.proxy.SetLimits(configuration.Limits{MaxBodyBytes: 2000}) })
			client := h.connect()
			client.send(tc.in)
			if got := client.expectResponse(tc.status, ""); got.Close != tc.closes {
				t.Errorf("close is %v", got.Close)
			}
			if tc.closes {
				client.readToClose()
			}
		})
	}
}

// Without a configuration, no route can be found.
func TestRequestBeforeConfiguration(t *testing.T) {
	h := newHarness(t)
	h.onLoop(func() { h.proxy.SetRoutes(nil) })
	c := h.connect()
	c.send(requestText("/reads/x", "t1", "", ""))
	if got := c.expectResponse(503, ""); got.Header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
}

func TestBodyFraming(t *testing.T) {
	h := newHarness(t)
	runner := h.startRunners("a")[0]
	client := h.connect()
	client.send("PUT /writes/x HTTP/1.1\r\nHost: h.example:80\r\nX-Try-Id: t1\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n" +
		"5;x=y\r\nhello\r\n" + "6\r\n world\r\n0\r\nX-T: 1\r\n\r\n")
	upstream := runner.accept()
	request, body := upstream.readRequest()
	if body != "hello world" || request.ContentLength != 11 || request.Host != "h.example:80" || len(request.TransferEncoding) > 0 {
		t.Errorf("runner got %q with length %d", body, request.ContentLength)
	}
	upstream.send("HTTP/1.1 100 Continue\r\n\r\n" + successText("t1", "one"))
	client.expectResponse(200, "one")

	client.send("POST /writes/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: t2\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	client.expect("HTTP/1.1 100 Continue\r\n\r\n")
	client.send("body")
	if request, body := upstream.readRequest(); body != "body" || request.Header.Get("Expect") != "" {
		t.Errorf("runner got %q, Expect %q", body, request.Header.Get("Expect"))
	}
	upstream.send(successText("t2", "two"))
	client.expectResponse(200, "two")

	client.send("HEAD /reads/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: t3\r\n\r\n")
	upstream.readRequest()
	upstream.send("HTTP/1.1 200 OK\r\nX-Try-Id: t3\r\nX-Server-Seal: s\r\nContent-Length: 77\r\n\r\n")
	if head := client.readHead(); !strings.Contains(head, "Content-Length: 77\r\n") {
		t.Errorf("head is %q", head)
	}

	client.send("DELETE /writes/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: t4\r\n\r\n")
	if request, _ := upstream.readRequest(); request.ContentLength != 0 {
		t.Errorf("a request without a body has length %d", request.ContentLength)
	}
	upstream.send("HTTP/1.1 204 Done\r\nX-Try-Id: t4\r\nX-Server-Seal: s\r\n\r\n")
	client.readHead()
	client.send(requestText("/writes/x", "t5", "", ""))
	upstream.readRequest()
}

// Pipelined requests are answered in order, one at a time.
func TestPipelining(t *testing.T) {
	h := newHarness(t)
	runner := h.startRunners("a")[0]
	client := h.connect()
	client.send(requestText("/writes/x", "t1", "", "one") +
		requestText("/none/x", "t2", "", "") +
		requestText("/writes/x", "t3", "", "three"))
	upstream := runner.accept()
	for _, want := range []string{"one", "three"} {
		request, body := upstream.readRequest()
		if body != want {
			t.Errorf("runner got %q, want %q", body, want)
		}
		if upstream.reader.Buffered() > 0 {
			t.Error("the next request was sent before the response")
		}
		upstream.send(successText(request.Header.Get("X-Try-Id"), "answer "+want))
	}
	client.expectResponse(200, "answer one")
	client.expectResponse(404, "")
	client.expectResponse(200, "answer three")
}

// The request of a client that disconnects is cancelled: the runner's connection is closed.
func TestClientDisconnectCancelsRequest(t *testing.T) {
	for _, path := range []string{"/writes/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			h := newHarness(t)
			runner := h.startRunners("a")[0]
			client := h.connect()
			client.send(requestText(path, "t1", "", ""))
			upstream := runner.accept()
			upstream.readRequest()
			if path == "/stream/x" {
				upstream.send(streamHeadText("t1", "s") + chunkText(eventText(1)))
				client.readHead()
			}
			client.conn.Close()
			upstream.readToClose()
			h.expectOutcomes("a abandoned")
			h.waitFor("all resources released", func() bool {
				return h.proxy.openExchanges == 0 && h.proxy.bufferedBodyBytes == 0 &&
					h.proxy.sessions.count == 0
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
		h := newHarness(t)
		runner := h.startRunners("a")[0]
		client := h.connect()
		client.send(request("/writes/x"))
		upstream := runner.accept()
		upstream.readRequest()
		client.expectResponse(504, "")
		upstream.readToClose()
		h.expectOutcomes("a abandoned")
	})
	t.Run("the route's timeout is shorter", func(t *testing.T) {
		h := newHarness(t)
		h.onLoop(func() { h.routes.routes[0].Timeout = 30 * time.Millisecond })
		runner := h.startRunners("a")[0]
		client := h.connect()
		client.send(requestText("/reads/x", "t1", "", ""))
		upstream := runner.accept()
		upstream.readRequest()
		client.expectResponse(504, "")
	})
	t.Run("a body that does not come", func(t *testing.T) {
		h := newHarness(t)
		client := h.connect()
		client.send("POST /writes/x HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: t1\r\n" + soon + "Content-Length: 5\r\n\r\nab")
		client.expectResponse(408, "")
		client.readToClose()
	})
	t.Run("a head that does not come", func(t *testing.T) {
		h := newHarness(t)
		h.onLoop(func() { h.proxy.SetLimits(configuration.Limits{HeaderTimeout: 20 * time.Millisecond}) })
		client := h.connect()
		client.send("POST /writes/x HT")
		client.expectResponse(408, "")
		client.readToClose()
	})
	t.Run("an idle client", func(t *testing.T) {
		h := newHarness(t)
		h.onLoop(func() { h.proxy.SetLimits(configuration.Limits{IdleTimeout: 20 * time.Millisecond}) })
		client := h.connect()
		if rest := client.readToClose(); rest != "" {
			t.Errorf("an idle client got %q", rest)
		}
	})
}
