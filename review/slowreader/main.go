// Command slowreader is a case of the review: machines are stopped by SIGTERM while clients on slow links read their answers.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"cinderroad/review/stage"
)

const (
	host        = "letters.example"
	edges       = 10          // each with one client
	work        = time.Second // of the runner, from a request until its answer
	stopAfter   = 500 * time.Millisecond
	minBytes    = 2_800_000 // of an answer; those of the clients differ by stepBytes
	stepBytes   = 27_000
	bytesPerS   = 500_000 // that a client's link carries
	readsPerS   = 20
	clientWaits = 15 * time.Second
)

func main() { stage.Main(stage.Options{Cores: 3, Edges: edges}, run) }

func run(s *stage.Stage) (broken bool, err error) {
	runner, err := s.StartRunner("i-1", "letters", "milano-a", 110, func(c *stage.RunnerConn, r *stage.RunnerRequest) {
		var size int
		_, _ = fmt.Sscanf(r.URL.Path, "/letters/%d", &size)
		s.Log("runner: runs %s", r.TryID)
		time.Sleep(work)
		c.Answer("200 OK", r.TryID, "X-Server-Seal: seal-"+r.TryID+"\r\n", strings.Repeat("x", size))
		s.Log("runner: has written the whole answer to %s, %d bytes", r.TryID, size)
	})
	if err != nil {
		return false, err
	}
	s.Platform.Set(runner.Entry)
	processes, err := s.StartAll()
	if err != nil {
		return false, err
	}
	route := stage.Route{
		Name: "letters", Host: host, PathStart: "/letters/", Type: "writes", TimeoutMS: 15000, TargetMS: 500, Service: "letters", Tries: 1,
	}
	if err = s.Configure(0, stage.Configuration(7, []string{"letters"}, route)); err != nil {
		return false, err
	}
	if err = s.AwaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	if stage.Trouble() {
		time.AfterFunc(stopAfter, func() {
			for _, edge := range s.Edges {
				processes[edge.Name+"/proxy"].Signal(syscall.SIGTERM)
				processes[edge.Name+"/agent"].Signal(syscall.SIGTERM)
			}
		})
	}
	return readAll(s), nil
}

// readAll has all clients read their answers and reports whether one did not get all of its own.
func readAll(s *stage.Stage) (broken bool) {
	var reading sync.WaitGroup
	var mutex sync.Mutex
	for i, edge := range s.Edges {
		reading.Go(func() {
			size := minBytes + i*stepBytes
			got, err := read(edge.Front(), fmt.Sprintf("try-%d", i+1), size)
			s.Log("client: try-%d got %d of %d bytes (%v)", i+1, got, size, err)
			mutex.Lock()
			broken = broken || got < size
			mutex.Unlock()
		})
	}
	reading.Wait()
	return broken
}

// read sends a request and reads its answer as a client on a slow link does: with a small window, a part at a time. It returns
// how many bytes of the answer's body came.
func read(front, tryID string, size int) (int, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
		})
	}}
	conn, err := dialer.Dial("tcp", front)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(clientWaits))
	_, _ = fmt.Fprintf(conn, "POST /letters/%d HTTP/1.1\r\nHost: %s\r\nX-Try-Id: %s\r\nX-Time-Left-Ms: %d\r\nContent-Length: 0\r\n\r\n",
		size, host, tryID, clientWaits.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 1024), nil)
	if err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", response.StatusCode)
	}
	total := 0
	part := make([]byte, bytesPerS/readsPerS)
	for {
		n, err := io.ReadFull(response.Body, part)
		total += n
		if total == size {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		time.Sleep(time.Second / readsPerS)
	}
}
