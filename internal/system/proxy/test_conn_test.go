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

func (c *testConn) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// readRequest reads a request with its body.
func (c *testConn) readRequest() (*http.Request, string) {
	c.t.Helper()
	q, err := http.ReadRequest(c.reader)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return q, string(body)
}

// readResponse reads a complete response.
func (c *testConn) readResponse() (*http.Response, string) {
	c.t.Helper()
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		c.t.Fatalf("body after %q: %v", body, err)
	}
	return r, string(body)
}

// expect reads exactly the given text.
func (c *testConn) expect(text string) {
	c.t.Helper()
	got := make([]byte, len(text))
	if n, err := io.ReadFull(c.reader, got); err != nil || string(got) != text {
		c.t.Fatalf("got %q (%v), want %q", got[:n], err, text)
	}
}

// expectResponse checks the status of a complete response, and the body of a success.
func (c *testConn) expectResponse(status int, body string) *http.Response {
	c.t.Helper()
	got, text := c.readResponse()
	if got.StatusCode != status || status == 200 && text != body {
		c.t.Fatalf("response is %d %q, want %d %q", got.StatusCode, text, status, body)
	}
	return got
}

// readHead reads the head of a message.
func (c *testConn) readHead() string {
	c.t.Helper()
	var head strings.Builder
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			c.t.Fatalf("head %q: %v", head.String(), err)
		}
		if head.WriteString(line); line == "\r\n" {
			return head.String()
		}
	}
}

// readToClose waits until the other side has closed and returns what arrived before.
func (c *testConn) readToClose() string {
	c.t.Helper()
	rest, err := io.ReadAll(c.reader)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		c.t.Fatal("the connection stays open")
	}
	return string(rest)
}

// reset closes the connection with a reset.
func (c *testConn) reset() {
	_ = c.conn.SetLinger(0)
	c.conn.Close()
}

// requestText returns a request.
func requestText(path, id, extra, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: %s\r\nX-Time-Left-Ms: 10000\r\n%sContent-Length: %d\r\n\r\n%s",
		path, id, extra, len(body), body)
}

// successText returns a successful response with a length.
func successText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Try-Id: %s\r\nX-Server-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", id,
		id, len(body), body)
}

// streamHeadText returns the head of an event stream.
func streamHeadText(id, seal string) string {
	return "HTTP/1.1 200 OK\r\nX-Try-Id: " + id + "\r\nX-Server-Seal: " + seal +
		"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

func chunkText(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

const lastChunk = "0\r\n\r\n"

const notRunWithoutID = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
