package server

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	gm "cinderroad/internal/dispatcher/gearman"
)

// otherDiscovery is a second discovery service, which lists one runner. It is silent until answers is closed.
type otherDiscovery struct {
	address string
	asked   chan bool   // an item a query
	queries chan string // their parameters
	answers chan bool
}

// startOtherDiscovery starts the service.
func startOtherDiscovery(t *testing.T, listed *runner) *otherDiscovery {
	t.Helper()
	d := &otherDiscovery{
		asked:   make(chan bool, 9),
		queries: make(chan string, 9),
		answers: make(chan bool),
	}
	service := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		d.asked <- true
		d.queries <- r.URL.RawQuery
		<-d.answers
		list := `{"rev":7,"all":true,"targets":[` + listed.target("ready", 1) + `]}`
		if r.URL.RawQuery == "" {
			io.WriteString(rw, list)
			return
		}
		io.WriteString(rw, "\n")
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(service.CloseClientConnections)
	d.address = strings.TrimPrefix(service.URL, "http://")
	return d
}

// expectResult submits a job and checks its result.
func (h *harness) expectResult(want string) {
	h.t.Helper()
	if status, body, _ := h.requestJob("score", 4000); status != 200 || body != want {
		h.t.Fatalf("answer %d %q, want %q", status, body, want)
	}
}

// TestReload guards against a process that ends on SIGHUP, applies half of an invalid file, keeps watching the address of
// its environment, or drops the list before the new address has answered. A version of the old address means nothing to
// the new one. All of it holds when repeated, and while draining; so it is one scenario and one function.
func TestReload(t *testing.T) {
	var w *harness
	runners := newNamedRunners(t, 2, func() *harness { return w })
	w = startHarness(t, options{}, runners[0].target("ready", 0))
	w.sendDiscoveryLine(`{"rev":41,"all":false,"targets":[` + runners[0].target("ready", 0) + `]}`)
	w.awaitLog("the old address is heard", `"rev": 41`)
	other := startOtherDiscovery(t, runners[1])

	rejectInvalidFile(t, w, other)
	w.expectResult("s-0")
	moveDiscovery(t, w, other)
	w.reload("server: configuration reloaded") // nothing has changed: no new watch
	w.expectResult("s-1")
	if text := w.log.String(); len(other.asked) > 0 || strings.Count(text, `"needs_restart": ["name"]`) != 2 {
		t.Errorf("asked %d times more, log:\n%s", len(other.asked), text)
	}
	reloadWhileDraining(t, w)
}

// TestChangedAddressNeedsRestart: a reload names the addresses that it does not apply.
func TestChangedAddressNeedsRestart(t *testing.T) {
	w := startHarness(t, options{console: true})
	w.configure("console", "127.0.0.1:1")
	w.reload(`"needs_restart": ["console"]`)
	w.callAdmin(200, "GET", "/api/ready", "")
}

// rejectInvalidFile reloads a file of which one entry is invalid, and checks that the others are not applied either.
func rejectInvalidFile(t *testing.T, w *harness, other *otherDiscovery) {
	t.Helper()
	w.configure("discovery", other.address, "seed", "no number")
	w.reload("reload rejected, keeping the current configuration")
	if len(other.asked) > 0 || strings.Count(w.log.String(), "reload") != 1 {
		t.Fatalf("%d asked after a bad file, log:\n%s", len(other.asked), w.log)
	}
}

// moveDiscovery reloads a file with another address of discovery, and checks that the old list stays until that has answered.
func moveDiscovery(t *testing.T, w *harness, other *otherDiscovery) {
	t.Helper()
	w.configure("seed", "2", "name", "n9", "limits", map[string]any{"cores": 1, "memory_mb": 64, "sockets": 300})
	w.reload("server: configuration reloaded")
	<-other.asked
	w.discovery.CloseClientConnections() // the old address ends before the new one answers
	w.awaitLog("the old watch has ended", "watch ended")
	w.expectResult("s-0")
	w.mu.Lock()
	if diff := cmp.Diff([]string{"stream=1&index=1"}, w.watches); diff != "" {
		t.Errorf("the old address was asked again (-want +got):\n%s", diff)
	}
	w.mu.Unlock()
	close(other.answers)
	w.awaitLog("the new address is heard", `"rev": 7`)
	w.expectResult("s-1")
	<-other.asked
	if diff := cmp.Diff([]string{"", "stream=1&index=7"}, []string{<-other.queries, <-other.queries}); diff != "" {
		t.Errorf("queries (-want +got):\n%s", diff)
	}
}

// reloadWhileDraining sends SIGHUP to a process that is shutting down, and checks that it ends well.
func reloadWhileDraining(t *testing.T, w *harness) {
	t.Helper()
	exit := w.terminate()
	w.awaitLog("stopping", "server: shutting down")
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
	g.reload("reload rejected, keeping the current configuration")
	submit("b", gm.JobCreated)
	write(strings.Replace(few, `name = "once"`, `name = "other"`, 1))
	g.reload("server: configuration reloaded")
	submit("c", gm.Error)
	if !strings.Contains(g.log.String(), `"needs_restart": ["gearman functions"]`) {
		t.Errorf("log:\n%s", g.log)
	}
}
