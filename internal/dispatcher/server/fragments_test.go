package server

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// writeBytewise writes a text byte by byte.
func writeBytewise(c io.Writer, text string) {
	for i := range len(text) {
		io.WriteString(c, text[i:i+1])
		if i%16 == 0 {
			time.Sleep(100 * time.Microsecond) // else the system joins them
		}
	}
}

// TestFragmentedInput guards against a message that is understood only if it arrives at once: a client's request, a
// runner's answer, its callback, a line of discovery.
func TestFragmentedInput(t *testing.T) {
	var w *harness
	u := newRunner(t, "s-1", func(_ int, rw http.ResponseWriter, r *http.Request) {
		c, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		writeBytewise(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
		back, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Error(err)
			return
		}
		defer back.Close()
		body := fmt.Sprintf(`{"id":%q,"from":"s-1","state":"done","result":"whole"}`, r.Header.Get("X-Call-Id"))
		writeBytewise(back, fmt.Sprintf("POST /_jobs/news HTTP/1.1\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body))
		if got := readUntilClosed(back); !strings.HasPrefix(got, "HTTP/1.1 204") {
			t.Errorf("the call-back was told %q", got)
		}
	})
	w = startHarness(t, options{})
	w.fragmented.Store(true)
	w.sendDiscoveryLine(`{"rev":5,"all":false,"targets":[` + u.target("ready", 1) + `]}`)
	w.awaitLog("the list", `"rev": 5`)
	c := w.dial()
	writeBytewise(c, "POST /score/a HTTP/1.1\r\nX-Call-Id: p1\r\nX-Budget-Ms: 4900\r\n"+
		"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"+
		"3\r\nabc\r\n0\r\n\r\n")
	if got := readUntilClosed(c); !strings.HasPrefix(got, "HTTP/1.1 200") || !strings.HasSuffix(got, "whole") {
		t.Errorf("the client was told %q", got)
	}
}

// TestClientDisconnects guards against a client that disconnects but keeps what it held: its job at the runner, its call
// id, its session.
func TestClientDisconnects(t *testing.T) {
	got := make(chan string, 9)
	u := newRunner(t, "s-1", func(_ int, rw http.ResponseWriter, r *http.Request) {
		rw.WriteHeader(202)
		rw.(http.Flusher).Flush()
		got <- r.Header.Get("X-Call-Id")
	})
	w := startHarness(t, options{}, u.target("ready", 1))
	for range 2 { // the second run shows that the first has left nothing behind
		c := w.dial()
		postJob(c, "a", "leaver", "")
		<-got
		u.mu.Lock()
		before := len(u.cancelledPaths)
		u.mu.Unlock()
		w.reportResult("leaver", "s-1", `"state":"started"`) // which is read after the 202
		c.Close()
		w.eventually("the job is called off", func() bool {
			u.mu.Lock()
			defer u.mu.Unlock()
			return len(u.cancelledPaths) > before && u.cancelledPaths[before] == "/jobs/leaver"
		})
	}
}
