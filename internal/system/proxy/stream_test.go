package proxy

import (
	"strings"
	"testing"
)

// A stream whose runner breaks off goes on at another one, inside the same answer.
func TestStreamIsContinued(t *testing.T) {
	w := newWorld(t)
	r := w.runners("a", "b")
	c := w.client()
	c.send(ask("/resumable/x", "t1", "Last-Event-Id: 4\r\n", "p"))
	first := r[0].accept()
	if q, _ := first.request(); q.Header.Get("Last-Event-Id") != "4" {
		t.Errorf("first runner got Last-Event-Id %q", q.Header.Get("Last-Event-Id"))
	}
	first.send(streamHead("t1", "first-seal"))
	first.send(chunk(event(5)) + chunk(event(6)) + chunk("id: 7\nda"))
	if head := c.head(); !strings.Contains(head, "X-Server-Seal: first-seal\r\n") {
		t.Errorf("head is %q", head)
	}
	first.reset()
	second := r[1].accept()
	q, body := second.request()
	if got := q.Header.Values("Last-Event-Id"); len(got) != 1 || got[0] != "6" || body != "p" {
		t.Errorf("second runner got Last-Event-Id %q and %q", got, body)
	}
	second.send(streamHead("t1", "second-seal"))
	second.send(chunk(event(6)) + chunk(event(7)) + chunk(event(8)) + lastChunk)
	var all strings.Builder
	for i := 5; i <= 8; i++ {
		all.WriteString(event(i))
	}
	got := newBody(c)
	if got != all.String() {
		t.Errorf("client got %q, want %q", got, all.String())
	}
	w.ended("a broken", "b served")
}

// newBody reads a chunked body whose head was read.
func newBody(p *peer) string {
	p.t.Helper()
	var body strings.Builder
	for {
		line, err := p.in.ReadString('\n')
		if err != nil {
			p.t.Fatalf("body after %q: %v", body.String(), err)
		}
		size := 0
		for _, digit := range strings.TrimSpace(line) {
			size = size*16 + strings.IndexRune("0123456789abcdef", digit)
		}
		data := make([]byte, size+2)
		for n := 0; n < len(data); {
			m, err := p.in.Read(data[n:])
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

// Guards against a broken answer that looks complete to the client.
func TestBrokenAnswerIsNotCompleted(t *testing.T) {
	for _, tc := range []struct {
		name, path, answer string
		prepare            func(w *world)
	}{
		{"stream", "/stream/x", streamHead("t1", "s") + chunk(event(1)), nil},
		{"resumable, no budget", "/resumable/x", streamHead("t1", "s") + chunk(event(1)),
			func(w *world) { w.placer.noRetry = true }},
		{"resumable, no ids", "/resumable/x", streamHead("t1", "s") + chunk("data: x\n\n"), nil},
		{"stream without a length, in an event", "/stream/x", unframedHead + "id: 1\ndata: pie", nil},
		{"length", "/reads/x", "HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Server-Seal: s\r\nContent-Length: 9\r\n\r\nabc", nil},
		{"chunks", "/reads/x",
			"HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", nil},
		{"bad chunk", "/reads/x",
			"HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t)
			r := w.runners("a", "b")
			if tc.prepare != nil {
				w.do(func() { tc.prepare(w) })
			}
			c := w.client()
			c.send(ask(tc.path, "t1", "", ""))
			up := r[0].accept()
			up.request()
			up.send(tc.answer)
			c.head()
			up.conn.Close()
			if rest := c.gone(); strings.HasSuffix(rest, lastChunk) {
				t.Errorf("the answer ends as complete: %q", rest)
			}
			w.ended("a broken")
		})
	}
}

// Guards against an answer of unknown length that was reset passing for a whole one with a client that reads until the
// end.
func TestOldClientSeesReset(t *testing.T) {
	w := newWorld(t)
	r := w.runners("a")[0]
	c := w.client()
	c.send("GET /reads/x HTTP/1.0\r\nHost: h.example\r\nX-Try-Id: t1\r\n\r\n")
	up := r.accept()
	up.request()
	up.send("HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("abc"))
	c.head()
	c.expect("abc")
	up.reset()
	if n, err := c.in.Read(make([]byte, 10)); n != 0 || err == nil || strings.Contains(err.Error(), "EOF") {
		t.Errorf("client read %d bytes, %v", n, err)
	}
}

// An answer that its runner ends by closing is whole if it closes in order.
func TestAnswerUntilClose(t *testing.T) {
	w := newWorld(t)
	r := w.runners("a")[0]
	c := w.client()
	c.send(ask("/reads/x", "t1", "", ""))
	up := r.accept()
	up.request()
	up.send("HTTP/1.1 200 OK\r\nX-Try-Id: t1\r\nX-Server-Seal: s\r\n\r\nabc")
	_ = up.conn.CloseWrite()
	c.answered(200, "abc")
	w.ended("a served")
}

// Guards against a slow reader that holds up anybody but its own runner, and against bytes that are lost when a runner
// closes while it is held back.
func TestSlowReader(t *testing.T) {
	w := newWorld(t)
	r := w.runners("a")[0]
	const size = 48 << 20 // more than the buffers of the system hold
	slow, fast := w.client(), w.client()
	slow.send(ask("/reads/x", "slow", "", ""))
	up := r.accept()
	up.request()
	written := make(chan error, 1)
	go func() {
		head := "HTTP/1.1 200 OK\r\nX-Try-Id: slow\r\nX-Server-Seal: s\r\nConnection: close\r\nContent-Length: 50331648\r\n\r\n"
		_, err := up.conn.Write(append([]byte(head), make([]byte, size)...))
		up.conn.Close()
		written <- err
	}()
	w.await("the runner is held back", func() bool {
		for s := w.proxy.sessions.first; s != nil; s = s.next {
			if s.exchange != nil && s.exchange.stalled {
				return true
			}
		}
		return false
	})
	fast.send(ask("/reads/x", "fast", "", ""))
	other := r.accept()
	other.request()
	other.send(served("fast", "quick"))
	fast.answered(200, "quick")
	select {
	case err := <-written:
		t.Errorf("the runner was not held back: %v", err)
	default:
	}
	if got, body := slow.response(); got.StatusCode != 200 || len(body) != size {
		t.Errorf("slow client got %d with %d bytes", got.StatusCode, len(body))
	}
	if err := <-written; err != nil {
		t.Error(err)
	}
}
