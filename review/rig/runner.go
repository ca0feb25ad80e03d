package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"cinderroad/internal/testkit/answer"
	"cinderroad/internal/testkit/fakeplatform"
)

// Runner is a stand-in for a runner, which answers each request by a function of the case.
type Runner struct {
	ID, Service, Zone string

	rig     *Rig
	address netip.AddrPort
	handle  func(c *RunnerConn, request *http.Request, body []byte)

	mutex    sync.Mutex
	listener net.Listener // nil: connections are reset
	count    int          // of connections
	conns    map[*RunnerConn]bool
	runs     map[string]int // number of times that each try was run
}

// RunnerConn is a connection to a runner.
type RunnerConn struct {
	net.Conn
	Runner *Runner
	Number int    // of the connection, from 1
	Extra  []byte // kept by the case: an answer that may come once more
}

// StartRunner starts a runner at an address of its own and lists it.
func (r *Rig) StartRunner(id, service, zone string, handle func(*RunnerConn, *http.Request, []byte)) (*Runner, error) {
	listener, err := net.Listen("tcp", "127.1.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Runner{
		ID: id, Service: service, Zone: zone, rig: r, address: listener.Addr().(*net.TCPAddr).AddrPort(), handle: handle,
		listener: listener, conns: map[*RunnerConn]bool{}, runs: map[string]int{},
	}
	go s.accept(listener)
	r.Platform.Set(s.Entry(8))
	return s, nil
}

// Entry returns the runner's entry on the platform's list.
func (s *Runner) Entry(capacity int) fakeplatform.Entry {
	return fakeplatform.Entry{ID: s.ID, Service: s.Service, Address: s.address, Zone: s.Zone, Capacity: capacity}
}

// Refuse has new connections reset from now on.
func (s *Runner) Refuse() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
	}
}

// Accept has new connections accepted again.
func (s *Runner) Accept() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.address.String())
	if err == nil {
		s.listener = listener
		go s.accept(listener)
	}
	return err
}

// Crash resets all connections and has new ones reset.
func (s *Runner) Crash() {
	s.Refuse()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (s *Runner) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.count++
		c := &RunnerConn{Conn: conn, Runner: s, Number: s.count}
		s.conns[c] = true
		s.mutex.Unlock()
		go s.serve(c)
	}
}

// serve answers the requests of a connection, one at a time.
func (s *Runner) serve(c *RunnerConn) {
	defer func() {
		s.mutex.Lock()
		delete(s.conns, c)
		s.mutex.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if wanted := request.Header.Get(answer.HeaderWantedServer); wanted != "" && wanted != s.ID {
			c.NotRun(request, http.StatusMisdirectedRequest)
			continue
		}
		s.handle(c, request, body)
	}
}

// Run records that the runner runs a try.
func (s *Runner) Run(try string) {
	s.mutex.Lock()
	s.runs[try]++
	s.mutex.Unlock()
	s.rig.Log("runner %s runs try %s", s.ID, try)
}

// Runs returns how often the runner has run a try.
func (s *Runner) Runs(try string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[try]
}

// NotRun answers that the request was not run.
func (c *RunnerConn) NotRun(request *http.Request, status int) {
	_, _ = c.Write(NotRunAnswer(request.Header.Get(answer.HeaderAttemptID), status))
}

// NotRunAnswer returns the bytes of an answer which says that a try was not run.
func NotRunAnswer(try string, status int) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: 1\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n",
		status, http.StatusText(status), answer.HeaderAttemptID, try, answer.HeaderNotRun)
}

// Succeed runs the request for some time and answers with a sealed body of a size.
func (c *RunnerConn) Succeed(request *http.Request, work time.Duration, size int) {
	try := request.Header.Get(answer.HeaderAttemptID)
	c.Runner.Run(try)
	time.Sleep(work)
	body := make([]byte, size)
	for i := range body {
		body[i] = byte('a' + i%26)
	}
	seal := answer.Seal{Size: size, Checksum: answer.Checksum(body), AttemptID: try, ExecutionID: c.Runner.ID}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
		answer.HeaderAttemptID, try, answer.HeaderSeal, seal, size)
	_, _ = c.Write(append([]byte(head), body...))
}

// Log writes a line about the runner to the record.
func (s *Runner) Log(format string, arguments ...any) {
	s.rig.Log("runner %s %s", s.ID, fmt.Sprintf(format, arguments...))
}
