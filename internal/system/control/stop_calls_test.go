package control

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	callersAtShutdown    = 8
	callsBeforeShutdown  = 200
	serversCloseTimeout  = 20 * time.Second // far more than the calls take
	longestCallAtTheTest = 5 * time.Millisecond
)

// shutdownCalls counts what a server under test has read and what callers got.
type shutdownCalls struct {
	read     sync.Map // ids of the calls that the handler got
	answered sync.Map // ids of the calls that got a complete response
	count    atomic.Int64
}

func (c *shutdownCalls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	c.read.Store(id, true)
	time.Sleep(longestCallAtTheTest * time.Duration(len(id)%2)) // half of the calls take a while
	fmt.Fprint(w, id)
}

// run sends one call after the other on a kept connection, and on a new one after the server has closed it, until the server
// accepts no connection.
func (c *shutdownCalls) run(caller int, addr string) {
	for conn := 0; ; conn++ {
		socket, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		reader := bufio.NewReader(socket)
		for call := 0; ; call++ {
			id := fmt.Sprintf("%d-%d-%d", caller, conn, call)
			fmt.Fprintf(socket, "GET /?id=%s HTTP/1.1\r\nHost: h\r\n\r\n", id)
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			text := make([]byte, response.ContentLength)
			if n, _ := response.Body.Read(text); n == len(id) {
				c.answered.Store(id, true)
			}
			c.count.Add(1)
		}
		socket.Close()
	}
}

// TestShutdownAnswersCalls guards against calls that a control machine accepts and cuts off when it shuts down: callers
// send on kept connections, and on new ones, until the servers are closed.
func TestShutdownAnswersCalls(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	process := &Process{failures: make(chan error, maxFailures)}
	calls := &shutdownCalls{}
	process.serve(listener, calls)
	var callers sync.WaitGroup
	for caller := range callersAtShutdown {
		callers.Go(func() { calls.run(caller, listener.Addr().String()) })
	}
	for calls.count.Load() < callsBeforeShutdown {
		time.Sleep(time.Millisecond)
	}
	if err := process.closeServers(serversCloseTimeout); err != nil {
		t.Error(err)
	}
	callers.Wait()
	process.goroutines.Wait()
	calls.read.Range(func(id, _ any) bool {
		if _, answered := calls.answered.Load(id); !answered {
			t.Errorf("call %s was read and not answered", id)
		}
		return true
	})
}
