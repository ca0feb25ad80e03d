// Command slowrunner is a case of the review: a runner is slow, and works on long requests before it reads the rest of their bodies.
package main

import (
	"bufio"
	"context"
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
	host      = "letters.example"
	rounds    = 4
	runners   = 7
	longBytes = 1_500_000 // of a body; the limit is 4194304
	readFirst = 64_000    // of a body, before the work begins
	work      = 1100 * time.Millisecond
	factor    = 4               // by which the work of a slow runner takes longer; one of the runners is slow
	troubleS  = 5 * time.Second // how long it is slow
	window    = 32 << 10
	segment   = 1400 // of a packet
)

// world is the runners of a service and what became of each try.
type world struct {
	stage *stage.Stage

	mutex  sync.Mutex
	slow   string              // the runner that is slow; empty: none
	ran    map[string][]string // by try, the runners that ran it
	broken bool
}

func main() { stage.Main(stage.Options{Cores: 3, Edges: 2}, run) }

func run(s *stage.Stage) (broken bool, err error) {
	w := &world{stage: s, ran: map[string][]string{}}
	var entries []stage.Entry
	for i := range runners {
		entry, err := w.startRunner(fmt.Sprintf("i-%d", i+1), 110+i)
		if err != nil {
			return false, err
		}
		entries = append(entries, entry)
	}
	s.Platform.Set(entries...)
	if _, err = s.StartAll(); err != nil {
		return false, err
	}
	route := stage.Route{
		Name: "letters", Host: host, PathStart: "/letters/", Type: "writes", TimeoutMS: 12000, TargetMS: 2000, Service: "letters", Tries: 1,
	}
	if err = s.Configure(0, stage.Configuration(7, []string{"letters"}, route)); err != nil {
		return false, err
	}
	if err = s.AwaitReady(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // the budget of retries grows after a start
	for round := range rounds {
		w.round(round + 1)
	}
	return w.broken, nil
}

// round sends as many long requests at once as there are runners, while one of these is slow.
func (w *world) round(round int) {
	if stage.Trouble() {
		w.setSlow(fmt.Sprintf("i-%d", round))
		time.AfterFunc(troubleS, func() { w.setSlow("") })
	}
	var clients sync.WaitGroup
	for i := range runners {
		clients.Go(func() { w.send(fmt.Sprintf("try-%d-%d", round, i+1)) })
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
}

// setSlow says which runner is slow.
func (w *world) setSlow(id string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.slow = id
}

// send sends a long request and notes whether its answer promises that it has not run and never will, although it ran.
func (w *world) send(tryID string) {
	body := []byte(strings.Repeat("a long letter ", longBytes/14))
	response := stage.Try(w.stage.Edges[0].Front(), "POST", host, "/letters/1", tryID, "", body, 10*time.Second)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stage.Log("client: %s got %s; it ran at %v", tryID, response.Text(), w.ran[tryID])
	w.broken = w.broken || promisesNotRun(response.Status) && len(w.ran[tryID]) > 0
}

// promisesNotRun reports whether a status promises that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// startRunner starts a runner with small windows.
func (w *world) startRunner(id string, number int) (stage.Entry, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", w.stage.Address(number)+":0")
	if err != nil {
		return stage.Entry{}, err
	}
	entry := stage.Entry{
		ID: id, Service: "letters", Address: listener.Addr().String(), Zone: "milano-a", Version: "v1", Capacity: 8, State: "serving",
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(id, conn)
		}
	}()
	return entry, nil
}

// serve serves the requests of a connection, one at a time.
func (w *world) serve(id string, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || !w.answer(id, conn, request) {
			return
		}
	}
}

// answer runs a request once the first part of its body has come, answers, and reads the rest. It returns false once the connection
// has ended.
func (w *world) answer(id string, conn net.Conn, request *http.Request) bool {
	tryID := request.Header.Get("X-Try-Id")
	wanted := request.Header.Get("X-Wanted-Server")
	status, fields := "200 OK", fmt.Sprintf("X-Server-Seal: seal-%s-%s\r\n", id, tryID)
	first, _ := io.CopyN(io.Discard, request.Body, readFirst)
	switch {
	case wanted != "" && wanted != id:
		status, fields = "421 Misdirected Request", ""
	case request.Method == http.MethodGet:
		fields = "X-Server-Id: " + id + "\r\n"
	default:
		w.work(id, tryID, first)
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Try-Id: %s\r\n%sContent-Length: 4\r\n\r\ndone", status, tryID, fields)
	rest, err := io.Copy(io.Discard, request.Body)
	if rest > 0 {
		w.stage.Log("runner %s: has answered %s, and then read the other %d bytes of its body (%v)", id, tryID, rest, err)
	}
	return err == nil
}

// work runs a request.
func (w *world) work(id, tryID string, read int64) {
	duration := work
	w.mutex.Lock()
	if w.slow == id {
		duration *= factor
	}
	w.ran[tryID] = append(w.ran[tryID], id)
	w.mutex.Unlock()
	w.stage.Log("runner %s: runs %s for %v, of which the first %d bytes have come", id, tryID, duration, read)
	time.Sleep(duration)
	w.stage.Log("runner %s: has run %s", id, tryID)
}
