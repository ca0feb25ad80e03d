package server

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	gm "cinderroad/internal/dispatcher/gearman"
)

// TestReload guards against a process that ends on SIGHUP, applies half of an invalid file, keeps watching the address of
// its environment, or drops the list before the new address has answered. A version of the old address means nothing to
// the new one. All of it holds when repeated, and while draining; so it is one scenario and one function.
func TestReload(t *testing.T) {
	var w *harness
	var runners []*runner
	for i := range 2 {
		uid := fmt.Sprint("s-", i)
		runners = append(runners, newRunner(t, uid, func(n int, rw http.ResponseWriter, r *http.Request) { w.replyWith(uid, uid)(n, rw, r) }))
	}
	w = startHarness(t, options{}, runners[0].target("ready", 0))
	served := func(want string) {
		t.Helper()
		if status, body, _ := w.requestJob("score", 4000); status != 200 || body != want {
			t.Fatalf("answer %d %q, want %q", status, body, want)
		}
	}
	w.sendDiscoveryLine(`{"rev":41,"all":false,"targets":[` + runners[0].target("ready", 0) + `]}`)
	w.eventually("the old address is heard", func() bool { return strings.Contains(w.log.String(), `"rev": 41`) })

	asked, speak, queries := make(chan bool, 9), make(chan bool), make(chan string, 9)
	var stall atomic.Bool
	stall.Store(true)
	second := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		asked <- true
		queries <- r.URL.RawQuery
		if stall.Load() {
			<-speak
		}
		list := `{"rev":7,"all":true,"targets":[` + runners[1].target("ready", 1) + `]}`
		if r.URL.RawQuery == "" {
			io.WriteString(rw, list)
			return
		}
		io.WriteString(rw, "\n")
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(second.CloseClientConnections)
	address := strings.TrimPrefix(second.URL, "http://")

	w.configure("discovery", address, "seed", "no number")
	w.reload("reload refused, old configuration kept")
	if len(asked) > 0 || strings.Count(w.log.String(), "reload") != 1 {
		t.Fatalf("%d asked after a bad file, log:\n%s", len(asked), w.log)
	}
	served("s-0")

	w.configure("seed", "2", "name", "n9", "limits", map[string]any{"cores": 1, "memory_mb": 64, "sockets": 300})
	w.reload("program: reloaded")
	<-asked
	w.discovery.CloseClientConnections() // the old address ends before the new one answers
	w.eventually("the old watch has ended", func() bool { return strings.Contains(w.log.String(), "watch ended") })
	served("s-0")
	w.mu.Lock()
	if diff := cmp.Diff([]string{"stream=1&index=1"}, w.watches); diff != "" {
		t.Errorf("the old address was asked again (-want +got):\n%s", diff)
	}
	w.mu.Unlock()
	stall.Store(false)
	close(speak)
	w.eventually("the new address is heard", func() bool { return strings.Contains(w.log.String(), `"rev": 7`) })
	served("s-1")
	<-asked
	if diff := cmp.Diff([]string{"", "stream=1&index=7"}, []string{<-queries, <-queries}); diff != "" {
		t.Errorf("queries (-want +got):\n%s", diff)
	}
	w.reload("program: reloaded") // nothing has changed: no new watch
	served("s-1")
	if text := w.log.String(); len(asked) > 0 || strings.Count(text, `"needs_restart": ["name"]`) != 2 {
		t.Errorf("asked %d times more, log:\n%s", len(asked), text)
	}
	exit := w.terminate()
	w.eventually("stopping", func() bool { return strings.Contains(w.log.String(), "program: stopping") })
	w.configure("discovery", strings.TrimPrefix(w.discovery.URL, "http://"))
	w.cmd.Process.Signal(syscall.SIGHUP)
	if err := <-exit; err != nil {
		t.Errorf("exit: %v\n%s", err, w.log)
	}
}

// TestReloadGearmanFile guards against a reload that skips the Gearman front, or applies part of an invalid file.
func TestReloadGearmanFile(t *testing.T) {
	g := startGearmanHarness(t, options{}, 5)
	client := g.dial()
	submit := func(unique string, want gm.Kind) {
		t.Helper()
		client.send(gm.SubmitJobBg, "safe", unique, "payload")
		client.SetReadDeadline(time.Now().Add(20 * time.Second))
		if p, ok := client.next(); !ok || p.Kind != want {
			t.Fatalf("job %s: %v, %v", unique, p, ok)
		}
	}
	submit("a", gm.JobCreated) // no worker: it waits
	good, err := os.ReadFile(g.file)
	if err != nil {
		t.Fatal(err)
	}
	write := func(text string) {
		if err := os.WriteFile(g.file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	few := strings.Replace(string(good), "max_jobs = 100", "max_jobs = 1", 1)
	write(strings.Replace(few, `class = "once"`, `class = "nobody"`, 1))
	g.reload("reload refused, old configuration kept")
	submit("b", gm.JobCreated)
	write(strings.Replace(few, `name = "once"`, `name = "other"`, 1))
	g.reload("program: reloaded")
	submit("c", gm.Error)
	if !strings.Contains(g.log.String(), `"needs_restart": ["gearman functions"]`) {
		t.Errorf("log:\n%s", g.log)
	}
}
