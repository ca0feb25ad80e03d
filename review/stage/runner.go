package stage

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// Runner is a stand-in of a runner that answers as a function says, over connections whose bytes the function writes itself.
type Runner struct {
	Entry    Entry
	listener net.Listener
	mutex    sync.Mutex
	conns    []*RunnerConn
	serve    func(*RunnerConn, *RunnerRequest)
	accepted int
}

// RunnerConn is a connection of a proxy to a runner.
type RunnerConn struct {
	net.Conn
	Runner   *Runner
	Number   int // from 1, in the order of their acceptance
	Requests int // that have arrived on it, with the present one
	reader   *bufio.Reader
}

// RunnerRequest is a request that has arrived whole.
type RunnerRequest struct {
	*http.Request
	TryID string
	Bytes []byte // of the body
}

// StartRunner starts a runner at an address of the stage. serve is called for each request, in the order of each connection.
func (s *Stage) StartRunner(id, service, zone string, host int, serve func(*RunnerConn, *RunnerRequest)) (*Runner, error) {
	listener, err := net.Listen("tcp", s.Address(host)+":0")
	if err != nil {
		return nil, err
	}
	r := &Runner{listener: listener, serve: serve}
	r.Entry = Entry{
		ID: id, Service: service, Address: listener.Addr().String(), Zone: zone, Version: "v1", Capacity: 8, State: "serving",
	}
	go r.accept()
	return r, nil
}

func (r *Runner) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mutex.Lock()
		r.accepted++
		c := &RunnerConn{Conn: conn, Runner: r, Number: r.accepted, reader: bufio.NewReader(conn)}
		r.conns = append(r.conns, c)
		r.mutex.Unlock()
		go c.run()
	}
}

// run reads requests, each whole, and has them served.
func (c *RunnerConn) run() {
	defer c.Close()
	for {
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		c.Requests++
		tryID := request.Header.Get("X-Try-Id")
		if wanted := request.Header.Get("X-Wanted-Server"); wanted != "" && wanted != c.Runner.Entry.ID {
			c.Answer("421 Misdirected Request", tryID, "X-Server-Id: "+c.Runner.Entry.ID+"\r\n", "")
			continue
		}
		if request.Method == "GET" && request.URL.Path == "/health" {
			c.Answer("200 OK", tryID, "X-Server-Id: "+c.Runner.Entry.ID+"\r\n", "")
			continue
		}
		c.Runner.serve(c, &RunnerRequest{Request: request, TryID: tryID, Bytes: body})
	}
}

// Answer writes an answer with a length.
func (c *RunnerConn) Answer(status, tryID, fields, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Try-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, tryID, fields, len(body), body)
}

// Reset closes the connection with a reset.
func (c *RunnerConn) Reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Stop ends the runner: it accepts nothing more and its connections are closed.
func (r *Runner) Stop() {
	_ = r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, c := range r.conns {
		c.Reset()
	}
}
