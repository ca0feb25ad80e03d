package proxy

import (
	"strings"
	"testing"
)

// A stream whose runner fails continues at another one within the same response.
func TestEventStreamResumed(t *testing.T) {
	h := newHarness(t)
	runners := h.startRunners("a", "b")
	client := h.connect()
	client.send(requestText("/resumable/x", "t1", "Last-Event-Id: 4\r\n", "p"))
	first := runners[0].accept()
	if request, _ := first.readRequest(); request.Header.Get("Last-Event-Id") != "4" {
		t.Errorf("first runner got Last-Event-Id %q", request.Header.Get("Last-Event-Id"))
	}
	first.send(streamHeadText("t1", "first-seal"))
	first.send(chunkText(eventText(5)) + chunkText(eventText(6)) + chunkText("id: 7\nda"))
	if head := client.readHead(); !strings.Contains(head, "X-Server-Seal: first-seal\r\n") {
		t.Errorf("head is %q", head)
	}
	first.reset()
	second := runners[1].accept()
	request, body := second.readRequest()
	if got := request.Header.Values("Last-Event-Id"); len(got) != 1 || got[0] != "6" || body != "p" {
		t.Errorf("second runner got Last-Event-Id %q and %q", got, body)
	}
	second.send(streamHeadText("t1", "second-seal"))
	second.send(chunkText(eventText(6)) + chunkText(eventText(7)) + chunkText(eventText(8)) + lastChunk)
	var all strings.Builder
	for i := 5; i <= 8; i++ {
		all.WriteString(eventText(i))
	}
	got := readChunkedBody(client)
	if got != all.String() {
		t.Errorf("client got %q, want %q", got, all.String())
	}
	h.expectOutcomes("a broken", "b served")
}

// readChunkedBody reads a chunked body whose head was read.
func readChunkedBody(p *testConn) string {
	p.t.Helper()
	var body strings.Builder
	for {
		line, err := p.reader.ReadString('\n')
		if err != nil {
			p.t.Fatalf("body after %q: %v", body.String(), err)
		}
		size := 0
		for _, digit := range strings.TrimSpace(line) {
			size = size*16 + strings.IndexRune("0123456789abcdef", digit)
		}
		data := make([]byte, size+2)
		for n := 0; n < len(data); {
			m, err := p.reader.Read(data[n:])
			if err != nil {
				p.t.Fatalf("body after %q: %v", body.String(), err)
			}
			n += m
		}
		if size == 0 {
			return body.String()
		}
		body.Write(data[:size])
	}
}

// unframedHead is the head of a stream that ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Server-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n"

// Guards against a truncated response that looks complete to the client.
func TestBrokenResponseNotCompleted(t *testing.T) {
	for _, tc := range []struct {
		name, path, answer string
		prepare            func(h *harness)
	}{
		{"stream", "/stream/x", streamHeadText("t1", "s") + chunkText(eventText(1)), nil},
		{"resumable, no budget", "/resumable/x", streamHeadText("t1", "s") + chunkText(eventText(1)),
			func(h *harness) { h.placer.noRetry = true }},
		{"resumable, no ids", "/resumable/x", streamHeadText("t1", "s") + chunkText("data: x\n\n"), nil},
		{"stream without a length, in an event", "/stream/x", unframedHead + "id: 1\ndata: pie", nil},
		{"length", "/reads/x", "HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Server-Seal: s\r\nContent-Length: 9\r\n\r\nabc", nil},
		{"chunks", "/reads/x",
			"HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", nil},
		{"bad chunk", "/reads/x",
			"HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			runners := h.startRunners("a", "b")
			if tc.prepare != nil {
				h.onLoop(func() { tc.prepare(h) })
			}
			client := h.connect()
			client.send(requestText(tc.path, "t1", "", ""))
			upstream := runners[0].accept()
			upstream.readRequest()
			upstream.send(tc.answer)
			client.readHead()
			upstream.conn.Close()
			if rest := client.readToClose(); strings.HasSuffix(rest, lastChunk) {
				t.Errorf("the response ends as complete: %q", rest)
			}
			h.expectOutcomes("a broken")
		})
	}
}

// Guards against a response of unknown length that was reset looking complete to a client that reads until the end.
func TestHTTP10ClientSeesReset(t *testing.T) {
	h := newHarness(t)
	runner := h.startRunners("a")[0]
	client := h.connect()
	client.send("GET /reads/x HTTP/1.0\r\nHost: h.example\r\nX-Try-Id: t1\r\n\r\n")
	upstream := runner.accept()
	upstream.readRequest()
	upstream.send("HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkText("abc"))
	client.readHead()
	client.expect("abc")
	upstream.reset()
	if n, err := client.reader.Read(make([]byte, 10)); n != 0 || err == nil || strings.Contains(err.Error(), "EOF") {
		t.Errorf("client read %d bytes, %v", n, err)
	}
}

// A response that ends with its connection is complete if the connection is closed in order.
func TestResponseUntilClose(t *testing.T) {
	h := newHarness(t)
	r := h.startRunners("a")[0]
	c := h.connect()
	c.send(requestText("/reads/x", "t1", "", ""))
	up := r.accept()
	up.readRequest()
	up.send("HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Server-Seal: s\r\n\r\nabc")
	_ = up.conn.CloseWrite()
	c.expectResponse(200, "abc")
	h.expectOutcomes("a served")
}

// Guards against a slow client that delays others than its own runner, and against bytes that are lost when a runner
// closes while reading from it is paused.
func TestSlowClientBackpressure(t *testing.T) {
	h := newHarness(t)
	runner := h.startRunners("a")[0]
	const size = 48 << 20 // more than the kernel's buffers hold
	slow, fast := h.connect(), h.connect()
	slow.send(requestText("/reads/x", "slow", "", ""))
	upstream := runner.accept()
	upstream.readRequest()
	written := make(chan error, 1)
	go func() {
		head := "HTTP/1.1 200 OK\r\nX-Try-Id: slow\r\nX-Server-Seal: s\r\nConnection: close\r\nContent-Length: 50331648\r\n\r\n"
		_, err := upstream.conn.Write(append([]byte(head), make([]byte, size)...))
		upstream.conn.Close()
		written <- err
	}()
	h.waitFor("the runner is paused", func() bool {
		for s := range h.proxy.sessions.all() {
			if s.exchange != nil && s.exchange.stalled {
				return true
			}
		}
		return false
	})
	fast.send(requestText("/reads/x", "fast", "", ""))
	other := runner.accept()
	other.readRequest()
	other.send(successText("fast", "quick"))
	fast.expectResponse(200, "quick")
	select {
	case err := <-written:
		t.Errorf("the runner was not paused: %v", err)
	default:
	}
	if got, body := slow.readResponse(); got.StatusCode != 200 || len(body) != size {
		t.Errorf("slow client got %d with %d bytes", got.StatusCode, len(body))
	}
	if err := <-written; err != nil {
		t.Error(err)
	}
}
