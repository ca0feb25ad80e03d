package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// testRunner is a scripted runner.
type testRunner struct {
	t        *testing.T
	id       string
	listener *net.TCPListener
}

func (r *testRunner) accept() *testConn {
	r.t.Helper()
	_ = r.listener.SetDeadline(time.Now().Add(testTimeout))
	conn, err := r.listener.Accept()
	if err != nil {
		r.t.Fatal(err)
	}
	return newTestConn(r.t, conn)
}

// testConn is the test's end of a connection.
type testConn struct {
	t      *testing.T
	conn   *net.TCPConn
	reader *bufio.Reader
}

func newTestConn(t *testing.T, conn net.Conn) *testConn {
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { conn.Close() })
	return &testConn{t: t, conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
}

func dial(t *testing.T, addr string) *testConn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return newTestConn(t, conn)
}

func (p *testConn) send(text string) {
	p.t.Helper()
	if _, err := io.WriteString(p.conn, text); err != nil {
		p.t.Fatal(err)
	}
}

// readRequest reads a request, with its body.
func (p *testConn) readRequest() (*http.Request, string) {
	p.t.Helper()
	q, err := http.ReadRequest(p.reader)
	if err != nil {
		p.t.Fatal(err)
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		p.t.Fatal(err)
	}
	return q, string(body)
}

// readResponse reads a whole response.
func (p *testConn) readResponse() (*http.Response, string) {
	p.t.Helper()
	r, err := http.ReadResponse(p.reader, nil)
	if err != nil {
		p.t.Fatal(err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		p.t.Fatalf("body after %q: %v", body, err)
	}
	return r, string(body)
}

// expect reads exactly the text.
func (p *testConn) expect(text string) {
	p.t.Helper()
	got := make([]byte, len(text))
	if n, err := io.ReadFull(p.reader, got); err != nil || string(got) != text {
		p.t.Fatalf("got %q (%v), want %q", got[:n], err, text)
	}
}

// expectResponse checks the status of a whole answer.
func (p *testConn) expectResponse(status int, body string) *http.Response {
	p.t.Helper()
	got, text := p.readResponse()
	if got.StatusCode != status || status == 200 && text != body {
		p.t.Fatalf("answer is %d %q, want %d %q", got.StatusCode, text, status, body)
	}
	return got
}

// readHead reads the head of a message.
func (p *testConn) readHead() string {
	p.t.Helper()
	var head strings.Builder
	for {
		line, err := p.reader.ReadString('\n')
		if err != nil {
			p.t.Fatalf("head %q: %v", head.String(), err)
		}
		if head.WriteString(line); line == "\r\n" {
			return head.String()
		}
	}
}

// readToClose waits until the other side has closed and returns what came before.
func (p *testConn) readToClose() string {
	p.t.Helper()
	rest, err := io.ReadAll(p.reader)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		p.t.Fatal("the connection stays open")
	}
	return string(rest)
}

// reset closes the connection by a reset.
func (p *testConn) reset() {
	_ = p.conn.SetLinger(0)
	p.conn.Close()
}

// requestText is the text of a request.
func requestText(path, id, extra, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: %s\r\nX-Time-Left-Ms: 10000\r\n%sContent-Length: %d\r\n\r\n%s",
		path, id, extra, len(body), body)
}

// successText is the text of a success with a length.
func successText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Try-Id: %s\r\nX-Server-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", id,
		id, len(body), body)
}

// streamHeadText is the head of a stream.
func streamHeadText(id, seal string) string {
	return "HTTP/1.1 200 OK\r\nX-Try-Id: " + id + "\r\nX-Server-Seal: " + seal +
		"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

func chunkText(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

const lastChunk = "0\r\n\r\n"

const notRunWithoutID = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
