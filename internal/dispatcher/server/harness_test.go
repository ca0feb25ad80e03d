package server

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cinderroad/internal/shared/invariant"
	"cinderroad/internal/testkit/racedetector"
	"cinderroad/internal/testkit/receivers"
)

// program is the path of the dispatcher's binary, which TestMain builds.
var program string

// TestMain builds the dispatcher before the tests: with the checks of invariants, and for the race detector, where the tests
// are, too.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cinderroad")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "cinderroad")
	args := append([]string{"build", "-o", program}, racedetector.BuildFlags()...)
	if invariant.PanicOnViolation {
		args = append(args, "-tags", "debug")
	}
	if out, err := exec.Command("go", append(args, "cinderroad/cmd/cinderroad-dispatcher")...).CombinedOutput(); err != nil {
		panic(string(out))
	}
	racedetector.HaltPrograms()
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const attemptsCap = 4 // of a job, by the settings

// settingsText are the shared settings, with slow start in seconds, attemptsCap and idle timeout to be filled in.
const settingsText = `{"categories":[
 {"name":"score","deadlineS":5,"objectiveS":0.05,"repeat":"retryable","windowS":5,"worth":3},
 {"name":"charge","deadlineS":5,"dedupScope":"cell","objectiveS":0.05,"repeat":"dedup","windowS":7.5,"worth":10},
 {"name":"once","deadlineS":5,"objectiveS":0.05,"repeat":"fragile","worth":10}],
 "failureDomains":["milano","torino"],"kinds":["two-core"],"familyInfo":{"tellsStart":true,"reportX0":"free slots"},
 "guarantees":{"answerSlackS":0.016,"askWithinS":10,"coldS":%g,"coldShare":0.34,"drainGraceS":0.3,"fallMultiple":3,"fallS":2},
 "limits":{"attemptsCap":%d,"connIdleS":%g,"connectTimeoutS":0.25,"mayCancel":true,"mayProbe":true,"parallelTries":true,
  "retryAfter":true,"maxRetryAfterS":2},
 "me":0,"membershipMode":"pushed","nInstances":1,"report":{"fields":["utilization","backlog","outstanding","x0"],"via":"piggyback"},
 "tickS":0.004,"zone":0}`

// harness is a dispatcher process on loopback sockets among scripted peers.
type harness struct {
	t                 *testing.T
	addr              string // of the HTTP front
	console           string // the second address
	cmd               *exec.Cmd
	log               *lockedBuffer
	mu                sync.Mutex     // guards lines, watches, changed and calls
	config            map[string]any // of the configuration file
	path              string         // of the configuration file
	lines             []string       // of discovery, since the start
	watches           []string       // queries of the watches
	changed           chan struct{}  // closed and replaced when lines has one more
	retryAfter        atomic.Int32   // seconds; above 0, discovery rejects watches with it
	fragmented        atomic.Bool    // discovery writes byte by byte
	unresponsive      atomic.Bool    // discovery accepts watches and sends nothing
	resetting         atomic.Bool    // discovery resets the connections of watches
	discovery         *httptest.Server
	client            *http.Client
	calls             int           // jobs requested by requestJob
	callbacksInFlight *atomic.Int64 // waits for their answers
	kills             *kills
}

// lockedBuffer is a buffer for a process to write to while a test reads it.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// options configure a harness; the zero value has defaults.
type options struct {
	sockets   int      // descriptors of the process; 1024 if 0
	connIdle  float64  // seconds that an idle connection to a runner is kept; 60 if 0
	cold      float64  // seconds of a runner's slow start; 9 if 0
	args      []string // further flags
	console   bool     // has a second address
	inherit   *os.File // clients' listening socket; nil: the process binds its own
	listen    string   // address of inherit
	tempDir   string   // $TMPDIR
	startOnly bool     // start returns before the process serves
	name      string   // n0 if empty
	memory    int      // MB; 192 if 0
	single    bool     // no hedged requests
}

// settingsOf returns the shared settings of a harness.
func settingsOf(o options) string {
	text := fmt.Sprintf(settingsText, o.cold, attemptsCap, o.connIdle)
	if o.single {
		text = strings.Replace(text, `"parallelTries":true`, `"parallelTries":false`, 1)
	}
	return text
}

// startHarness starts a dispatcher with the runners of targets in its initial list.
func startHarness(t *testing.T, o options, targets ...string) *harness {
	t.Helper()
	w := &harness{
		t:                 t,
		log:               &lockedBuffer{},
		changed:           make(chan struct{}),
		client:            &http.Client{Timeout: 20 * time.Second},
		callbacksInFlight: &atomic.Int64{},
		kills:             &kills{},
	}
	w.discovery = httptest.NewServer(http.HandlerFunc(w.watch))
	t.Cleanup(w.discovery.CloseClientConnections)
	w.addr = o.listen
	if w.addr == "" {
		w.addr = freeAddr(t)
	}
	if o.tempDir == "" {
		o.tempDir = t.TempDir()
	}
	o.sockets = cmp.Or(o.sockets, 1024)
	o.cold = cmp.Or(o.cold, 9)
	o.connIdle = cmp.Or(o.connIdle, 60)
	o.name = cmp.Or(o.name, "n0")
	w.config = map[string]any{
		"name":      o.name,
		"listen":    w.addr,
		"discovery": strings.TrimPrefix(w.discovery.URL, "http://"),
		"seed":      "8c1f30d27a5be964",
		"limits":    map[string]any{"cores": 1, "memory_mb": cmp.Or(o.memory, 192), "sockets": o.sockets},
		"known":     json.RawMessage(`{"rev":1,"all":true,"targets":[` + strings.Join(targets, ",") + `]}`),
		"settings":  json.RawMessage(settingsOf(o)),
	}
	w.start(o)
	return w
}

// start runs one process of the dispatcher and waits until it serves.
func (h *harness) start(o options) {
	t := h.t
	t.Helper()
	if o.console {
		h.console = freeAddr(t)
		h.config["console"] = h.console
	}
	h.path = filepath.Join(t.TempDir(), "config.json")
	h.configure()
	h.cmd = exec.Command(program, append([]string{"-config", h.path, "-log", "debug"}, o.args...)...)
	h.cmd.Stderr = h.log
	h.cmd.Env = append(os.Environ(), "ROUTER_DISCOVERY="+strings.TrimPrefix(h.discovery.URL, "http://"), "TMPDIR="+o.tempDir)
	if o.inherit != nil {
		h.cmd.ExtraFiles = []*os.File{nil, nil, o.inherit} // descriptor 5
		h.cmd.Env = append(h.cmd.Env, "ROUTER_FD=5")
	}
	if err := h.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		h.kill()
		if racedetector.Enabled && racedetector.FoundIn(h.log.String()) {
			t.Error("the race detector found a race in the dispatcher")
		}
		if t.Failed() {
			t.Log(h.log)
		}
	})
	if o.startOnly {
		return
	}
	h.awaitLog("serving", "server: serving")
	h.eventually("healthy", func() bool {
		r, err := h.client.Get("http://" + h.addr + "/_health")
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == 200
	})
	h.kills.down.Store(false)
}

// kills tells callbacks whether the test has killed the process that they go to.
type kills struct {
	count atomic.Int64
	down  atomic.Bool // killed, and no other process serves yet
}

// kill kills the process once callbacks in flight are answered.
func (h *harness) kill() {
	h.awaitCallbacks()
	h.kills.down.Store(true)
	h.kills.count.Add(1)
	h.cmd.Process.Kill()
	h.cmd.Wait()
}

// A runner may make its callback once the test has killed the process: that is no failure of the test.
func TestCallbackAfterKill(t *testing.T) {
	w := startHarness(t, options{})
	w.kill()
	w.reportResult("late", "s-1", `"state":"done","result":"ok"`)
}

// startSuccessor starts another process of the dispatcher, which takes over from h's.
func (h *harness) startSuccessor(o options) *harness {
	h.t.Helper()
	successor := &harness{
		t:                 h.t,
		addr:              h.addr,
		log:               &lockedBuffer{},
		config:            maps.Clone(h.config),
		discovery:         h.discovery,
		client:            h.client,
		callbacksInFlight: h.callbacksInFlight,
		kills:             h.kills,
		calls:             1 << 20,
	}
	successor.start(o)
	return successor
}

// configure writes the configuration file with changes: names and values in turn.
func (h *harness) configure(changes ...any) {
	h.t.Helper()
	for i := 0; i < len(changes); i += 2 {
		h.config[changes[i].(string)] = changes[i+1]
	}
	text, err := json.Marshal(h.config)
	if err != nil {
		h.t.Fatal(err)
	}
	if err := os.WriteFile(h.path, text, 0o600); err != nil {
		h.t.Fatal(err)
	}
}

// awaitLog waits until the process's log contains a text; what says in words what is awaited.
func (h *harness) awaitLog(what, text string) {
	h.t.Helper()
	h.eventually(what, func() bool { return strings.Contains(h.log.String(), text) })
}

// reload makes the process read its configuration again, and waits for a log message that contains word.
func (h *harness) reload(word string) {
	h.t.Helper()
	before := strings.Count(h.log.String(), word)
	h.cmd.Process.Signal(syscall.SIGHUP)
	h.eventually(word, func() bool { return strings.Count(h.log.String(), word) > before })
}

// freeAddr returns an address that nobody listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := receivers.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// eventually waits until ok, for as long as a slow machine may need: no assertion depends on how fast something happens.
func (h *harness) eventually(what string, ok func() bool) {
	h.t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			h.t.Fatalf("never came: %s", what)
		}
	}
}

// watch serves discovery: it writes the lines so far and each further one when it is added.
func (h *harness) watch(rw http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.watches = append(h.watches, r.URL.RawQuery)
	h.mu.Unlock()
	if after := h.retryAfter.Load(); after > 0 {
		rw.Header().Set("Retry-After", fmt.Sprint(after))
		rw.WriteHeader(503)
		return
	}
	if h.unresponsive.Load() {
		<-r.Context().Done()
		return
	}
	if h.resetting.Load() {
		reset(rw)
		return
	}
	for at := 0; ; {
		h.mu.Lock()
		lines, changed := h.lines[at:], h.changed
		at = len(h.lines)
		h.mu.Unlock()
		for _, piece := range h.fragments(strings.Join(append(lines, ""), "\n")) {
			io.WriteString(rw, piece)
			rw.(http.Flusher).Flush()
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
			io.WriteString(rw, "\n")
		case <-r.Context().Done():
			return
		}
	}
}

// reset closes the connection of a request so that its client gets a reset.
func reset(rw http.ResponseWriter) {
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// fragments splits a text as its sender writes it: in one piece, or byte by byte.
func (h *harness) fragments(text string) []string {
	if !h.fragmented.Load() {
		return []string{text}
	}
	return strings.Split(text, "")
}

// sendDiscoveryLine makes discovery write a line.
func (h *harness) sendDiscoveryLine(line string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lines = append(h.lines, line)
	close(h.changed)
	h.changed = make(chan struct{})
}

// awaitCallbacks waits until callbacks in flight are answered: a client may have its answer before the runner whose
// callback brought it has read that the callback was accepted.
func (h *harness) awaitCallbacks() {
	for end := time.Now().Add(5 * time.Second); h.callbacksInFlight.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// postCallback makes a callback for a job: rest is what it says besides the job's id and the worker that has it.
func postCallback(client *http.Client, addr, id, from, rest string) (*http.Response, error) {
	body := fmt.Sprintf(`{"id":%q,"from":%q,%s}`, id, from, rest)
	return client.Post("http://"+addr+"/_jobs/news", "application/json", strings.NewReader(body))
}

// reportResult makes a callback and checks that it was accepted, unless the test kills the process meanwhile: the runner of a
// hedged attempt may report after the test has got its answer from another one.
func (h *harness) reportResult(id, from, rest string) {
	h.t.Helper()
	h.callbacksInFlight.Add(1)
	defer h.callbacksInFlight.Add(-1)
	killsBefore := h.kills.count.Load()
	r, err := postCallback(http.DefaultClient, h.addr, id, from, rest)
	if err != nil && (h.kills.down.Load() || h.kills.count.Load() != killsBefore) {
		return
	}
	if err != nil {
		h.t.Errorf("call-back: %v", err)
		return
	}
	r.Body.Close()
	if r.StatusCode != 204 {
		h.t.Errorf("call-back answered %d", r.StatusCode)
	}
}

// replyWith returns a runner's handler that accepts a job and reports a result by callback.
func (h *harness) replyWith(uid, result string) func(int, http.ResponseWriter, *http.Request) {
	return func(_ int, rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Call-Id")
		rw.WriteHeader(202)
		rw.(http.Flusher).Flush()
		go h.reportResult(id, uid, fmt.Sprintf(`"state":"done","result":%q`, result))
	}
}

// requestJob submits a job and returns status, body and header of its answer.
func (h *harness) requestJob(class string, budget int) (status int, body string, header http.Header) {
	return h.requestJobAs(h.nextJobID(), class, budget)
}

// nextJobID returns an id that no other job has.
func (h *harness) nextJobID() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls++
	return fmt.Sprintf("%016x", h.calls)
}

// requestJobAs is requestJob with an id of nextJobID.
func (h *harness) requestJobAs(id, class string, budget int) (status int, body string, header http.Header) {
	req, _ := http.NewRequest("POST", "http://"+h.addr+"/"+class+"/7f3a", strings.NewReader("payload"))
	for name, value := range map[string]string{
		"X-Call-Id":       id,
		"X-Call-Class":    class,
		"X-Budget-Ms":     fmt.Sprint(budget),
		"Idempotency-Key": "key-" + id,
		"X-Call-Info":     "slots=1,memory=0.5",
	} {
		req.Header.Set(name, value)
	}
	r, err := h.client.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return r.StatusCode, string(text), r.Header
}

// sendRaw sends bytes and returns what comes back until the connection ends.
func (h *harness) sendRaw(text string) string {
	h.t.Helper()
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		h.t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(c, text)
	got, _ := io.ReadAll(bufio.NewReader(c))
	return string(got)
}

// terminate sends SIGTERM and returns a channel that receives the exit.
func (h *harness) terminate() chan error {
	exit := make(chan error, 1)
	h.cmd.Process.Signal(syscall.SIGTERM)
	go func() { exit <- h.cmd.Wait() }()
	return exit
}
