package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cinderroad/internal/testkit/answer"
)

// Request is a request of a client.
type Request struct {
	Try, Host, Path string
	Body            string
	TimeLeft        time.Duration
	Close           bool // the client opens a connection for each request
}

// Outcome is what a client got.
type Outcome struct {
	Status   int // 0: no answer's head came
	Whole    bool
	Received int // bytes of the body
	Size     int // bytes of the runner's body, by its seal
	Err      error
}

// String says what a client got, for the record.
func (o Outcome) String() string {
	return fmt.Sprintf("status %d, %d of %d bytes, whole: %v, error: %v", o.Status, o.Received, o.Size, o.Whole, o.Err)
}

// Link is the way of all clients to one machine, with a bandwidth. Without a bandwidth it is as fast as loopback.
type Link struct {
	BytesPerSecond float64

	mutex sync.Mutex
	free  time.Time // when the link has carried all that was read
}

const (
	segmentBytes = 1460                 // of TCP over Ethernet, in place of loopback's
	windowBytes  = 4 << 10              // windows are small
	linkSlack    = 3 * time.Millisecond // shorter waits add up before the link sleeps
)

// Dial connects to a machine over the link.
func (l *Link) Dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	if l.BytesPerSecond > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
			})
		}
	}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &linkConn{Conn: conn, link: l}, nil
}

// linkConn is a connection over a link.
type linkConn struct {
	net.Conn
	link *Link
}

// Read implements net.Conn: it takes at most one segment and waits until the link has carried it.
func (c *linkConn) Read(b []byte) (int, error) {
	if c.link.BytesPerSecond == 0 {
		return c.Conn.Read(b)
	}
	n, err := c.Conn.Read(b[:min(len(b), segmentBytes)])
	c.link.mutex.Lock()
	now := time.Now()
	if c.link.free.Before(now) {
		c.link.free = now
	}
	c.link.free = c.link.free.Add(time.Duration(float64(n) / c.link.BytesPerSecond * float64(time.Second)))
	wait := c.link.free.Sub(now)
	c.link.mutex.Unlock()
	if wait > linkSlack {
		time.Sleep(wait)
	}
	return n, err
}

// Send sends a request on a connection.
func Send(conn net.Conn, request Request) error {
	extra := ""
	if request.Close {
		extra = "Connection: close\r\n"
	}
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		request.Path, request.Host, answer.HeaderAttemptID, request.Try, answer.HeaderTimeLeft, request.TimeLeft.Milliseconds(),
		extra, len(request.Body), request.Body)
	return err
}

// Receive reads the answer to a request.
func Receive(reader *bufio.Reader, try string) (outcome Outcome) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return Outcome{Err: err}
	}
	outcome.Status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	outcome.Received, outcome.Err = len(body), err
	if response.StatusCode != http.StatusOK {
		outcome.Whole = err == nil
		return outcome
	}
	seal, sealErr := answer.ParseSeal(response.Header.Get(answer.HeaderSeal))
	outcome.Size = seal.Size
	if err == nil {
		outcome.Err = sealErr
	}
	if outcome.Err == nil {
		outcome.Err = seal.CheckBody(try, body)
	}
	outcome.Whole = outcome.Err == nil
	return outcome
}

// Exchange sends a request over a new connection and returns what came.
func (l *Link) Exchange(address string, request Request) Outcome {
	conn, err := l.Dial(address)
	if err != nil {
		return Outcome{Err: err}
	}
	defer func() { _ = conn.Close() }()
	if err := Send(conn, request); err != nil {
		return Outcome{Err: err}
	}
	return Receive(bufio.NewReaderSize(conn, 4096), request.Try)
}
