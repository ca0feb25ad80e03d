package server

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

// runner is a scripted runner.
type runner struct {
	uid            string
	server         *httptest.Server
	mu             sync.Mutex
	requests       []*http.Request // jobs, in the order of arrival
	cancelledPaths []string        // paths of the DELETEs
	open           int             // connections
}

// newRunner starts a runner; serve answers a job, with n the number of jobs before it.
func newRunner(t *testing.T, uid string, serve func(n int, rw http.ResponseWriter, r *http.Request)) *runner {
	t.Helper()
	u := &runner{uid: uid}
	u.server = httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		u.mu.Lock()
		n := len(u.requests)
		switch r.Method {
		case "POST":
			u.requests = append(u.requests, r)
		case "DELETE":
			u.cancelledPaths = append(u.cancelledPaths, r.URL.Path)
		}
		u.mu.Unlock()
		if r.Method == "POST" {
			serve(n, rw, r)
		}
	}))
	u.server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		u.mu.Lock()
		defer u.mu.Unlock()
		switch s {
		case http.StateNew:
			u.open++
		case http.StateClosed:
			u.open--
		}
	}
	l, err := net.Listen("tcp", "127.0.0.2:0") // an address of its own: that of clients is bounded
	if err != nil {
		t.Fatal(err)
	}
	u.server.Listener.Close()
	u.server.Listener = l
	u.server.Start()
	t.Cleanup(func() {
		u.server.CloseClientConnections()
		u.server.Close()
	})
	return u
}

// jobIDs returns the ids of the jobs in the order of their arrival.
func (u *runner) jobIDs() (ids []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, q := range u.requests {
		ids = append(ids, q.Header.Get("X-Call-Id"))
	}
	return ids
}

// newNamedRunners starts runners, named s-0 and so on, that serve each job with their own name as its result. of returns
// their dispatcher, which may be started after them, before the first job.
func newNamedRunners(t *testing.T, count int, of func() *harness) (runners []*runner) {
	t.Helper()
	for i := range count {
		uid := fmt.Sprint("s-", i)
		runners = append(runners, newRunner(t, uid, func(n int, rw http.ResponseWriter, r *http.Request) {
			of().replyWith(uid, uid)(n, rw, r)
		}))
	}
	return runners
}

// jobs returns the number of jobs that arrived.
func (u *runner) jobs() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.requests)
}

// target returns the runner's entry in the list.
func (u *runner) target(state string, cell int) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"milano","model":"two-core","pod_group":%d,"state":%q,"capacity_hint":1,"boot_ms":0}`,
		u.uid, strings.TrimPrefix(u.server.URL, "http://"), cell, state)
}
