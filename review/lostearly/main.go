// Command lostearly is a case of the review: a runner runs a long request of which it has not read the whole body yet, and its
// answer is lost.
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
	rounds    = 10
	shortOnes = 60        // requests with small bodies before each long one
	longBytes = 2_000_000 // of a body; the limit is 4194304
	readFirst = 200_000   // of a long body, before the work begins
	work      = 300 * time.Millisecond
	troubled  = "i-1"           // the runner that loses answers, one of two
	maxLost   = 0.05            // share of the requests that it ran whose answer is lost
	troubleS  = 4 * time.Second // how long it loses answers
	window    = 32 << 10
	segment   = 1400 // of a packet
)

// world is the runners of a service and what became of each try.
type world struct {
	stage *stage.Stage

	mutex  sync.Mutex
	endsAt time.Time           // of the trouble
	ran    map[string][]string // by try, the runners that ran it
	runs   map[string]int      // by runner
	lost   int                 // of those of the troubled one, the answers that were lost
}

func main() { stage.Main(stage.Options{Cores: 3, Edges: 2}, run) }

func run(s *stage.Stage) (broken bool, err error) {
	w := &world{stage: s, ran: map[string][]string{}, runs: map[string]int{}}
	var entries []stage.Entry
	for i := range 2 {
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
		Name: "letters", Host: host, PathStart: "/letters/", Type: "writes", TimeoutMS: 8000, TargetMS: 500, Service: "letters", Tries: 2,
	}
	if err = s.Configure(0, stage.Configuration(7, []string{"letters"}, route)); err != nil {
		return false, err
	}
	if err = s.AwaitReady(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // the budget of retries grows after a start
	w.endsAt = time.Now().Add(troubleS)
	for round := range rounds {
		broken = w.round(round+1) || broken
	}
	s.Log("runs by runner: %v; %s lost the answers of %d", w.runs, troubled, w.lost)
	return broken, nil
}

// round sends some short requests and a long one, and reports whether that one ran more than once.
func (w *world) round(round int) bool {
	served := 0
	for i := range shortOnes {
		response := w.send(fmt.Sprintf("short-%d-%d", round, i+1), []byte("a letter"))
		if response.Status == http.StatusOK {
			served++
		}
	}
	w.stage.Log("client: %d of %d short requests served", served, shortOnes)
	tryID := fmt.Sprintf("try-%d", round)
	response := w.send(tryID, []byte(strings.Repeat("a long letter ", longBytes/14)))
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stage.Log("client: %s got %s; it ran at %v", tryID, response.Text(), w.ran[tryID])
	return len(w.ran[tryID]) > 1
}

func (w *world) send(tryID string, body []byte) stage.Response {
	return stage.Try(w.stage.Edges[0].Front(), "POST", host, "/letters/1", tryID, "", body, 6*time.Second)
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

// answer runs a request once the first part of its body has come, answers, and reads the rest. It returns false if the connection
// ends instead of an answer.
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
		if lost := w.work(id, tryID, first == readFirst); lost {
			return false
		}
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Try-Id: %s\r\n%sContent-Length: 4\r\n\r\ndone", status, tryID, fields)
	rest, err := io.Copy(io.Discard, request.Body)
	if rest > 0 {
		w.stage.Log("runner %s: has answered %s, and then read the other %d bytes of its body (%v)", id, tryID, rest, err)
	}
	return err == nil
}

// work runs a request and reports whether its answer is lost.
func (w *world) work(id, tryID string, isLong bool) (lost bool) {
	w.mutex.Lock()
	w.ran[tryID] = append(w.ran[tryID], id)
	w.runs[id]++
	w.mutex.Unlock()
	if !isLong {
		return false
	}
	w.stage.Log("runner %s: runs %s, of which the first %d bytes have come", id, tryID, readFirst)
	time.Sleep(work)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	mayLose := id == troubled && time.Now().Before(w.endsAt) && float64(w.lost+1) <= maxLost*float64(w.runs[id])
	if !stage.Trouble() || !mayLose {
		return false
	}
	w.lost++
	w.stage.Log("runner %s: has run %s, and its answer is lost: the connection ends", id, tryID)
	return true
}
