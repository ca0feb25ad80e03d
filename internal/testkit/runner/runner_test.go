package runner

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"cinderroad/internal/testkit/answer"
	"cinderroad/internal/testkit/checker"
	"cinderroad/internal/testkit/engine"
)

// testTimeout bounds what should take milliseconds.
const testTimeout = 20 * time.Second

func engineOptions() engine.Options {
	return engine.Options{
		MaxRunning:         4,
		MaxQueued:          4,
		MemoryTokens:       1000,
		StepTime:           time.Millisecond,
		PrefillTokensPerMS: 100,
		EventTokens:        2,
	}
}

func startRunner(t *testing.T, alter func(*Options)) *Runner {
	t.Helper()
	server, err := engine.New(engineOptions())
	if err != nil {
		t.Fatal(err)
	}
	options := Options{
		Runner:      checker.Runner{ID: "i-1", Service: "llm", Zone: "a", Region: "r"},
		Address:     "127.0.0.1:0",
		Engine:      server,
		EventTokens: 2,
		Models:      []Model{{Name: "m", Version: 3}},
		HealthPath:  "/health",
	}
	if alter != nil {
		alter(&options)
	}
	r, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func plainServer(o *Options) {
	o.Engine, _ = engine.NewWorkers(1, 1)
	o.EventTokens = 0
	o.BodyBytes = 100
}

// caller is a connection to a runner.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, r *Runner) *caller {
	t.Helper()
	c, err := net.Dial("tcp", r.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return &caller{c, bufio.NewReader(c)}
}

// ask sends a request and reads the head of the answer.
func (c *caller) ask(method, path string, headers ...string) (*http.Response, error) {
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n%s\r\nx", method, path,
		strings.Join(append(headers, ""), "\r\n"))
	return http.ReadResponse(c.reader, nil)
}

func (c *caller) mustAsk(t *testing.T, headers ...string) *http.Response {
	t.Helper()
	resp, err := c.ask("POST", "/a/b", headers...)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

func events(t *testing.T, body io.Reader) (list []answer.Event, err error) {
	t.Helper()
	lines := bufio.NewReader(body)
	id := ""
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			return list, nil
		}
		if err != nil {
			return list, err
		}
		line = strings.TrimSuffix(line, "\n")
		if rest, found := strings.CutPrefix(line, "id: "); found {
			id = rest
		}
		if rest, found := strings.CutPrefix(line, "data: "); found {
			event, err := answer.ParseEvent(id, rest)
			if err != nil {
				t.Fatal(err)
			}
			list = append(list, event)
		}
	}
}

const prompt = "X-Model: m\r\nX-Token-Counts: 30,12\r\nX-Prompt-Start: a:20,b:10"

func TestStreamAnswer(t *testing.T) {
	r := startRunner(t, nil)
	resp := dial(t, r).mustAsk(t, "X-Try-Id: 1", prompt, "X-Wanted-Server: i-1")
	seal, err := answer.ParseSeal(resp.Header.Get(answer.HeaderSeal))
	if err != nil || seal.AttemptID != "1" || !seal.Stream {
		t.Fatalf("seal %+v: %v", seal, err)
	}
	if resp.Header.Get(answer.HeaderAttemptID) != "1" || resp.Header.Get(answer.HeaderVersions) != "3" {
		t.Errorf("head: %v", resp.Header)
	}
	list, err := events(t, resp.Body)
	if err != nil || len(list) != seal.Size {
		t.Fatalf("%d events of %d: %v", len(list), seal.Size, err)
	}
	for i, event := range list {
		if event.Index != i+1 || event.Total != seal.Size || event.ExecutionID != seal.ExecutionID {
			t.Errorf("event %d is %+v", i+1, event)
		}
	}
}

func TestStreamResumption(t *testing.T) {
	r := startRunner(t, nil)
	complete, err := events(t, dial(t, r).mustAsk(t, "X-Try-Id: 1", prompt).Body)
	if err != nil {
		t.Fatal(err)
	}
	rest, err := events(t, dial(t, r).mustAsk(t, "X-Try-Id: 2", prompt, "Last-Event-Id: 2").Body)
	if err != nil || len(rest) != len(complete)-2 || rest[0].Index != 3 || rest[0].Total != len(complete) {
		t.Errorf("after 2 of %d events came %+v: %v", len(complete), rest, err)
	}
}

func TestRejectedRequests(t *testing.T) {
	r := startRunner(t, nil)
	for _, test := range []struct {
		name, headers string
		status        int
		notRun        string
	}{
		{"for another runner", "X-Try-Id: 1\r\nX-Wanted-Server: i-2", 421, ""},
		{"for another version", "X-Try-Id: 1\r\nExpect-Version: 4", 421, ""},
		{"without an id", prompt, 400, "1"},
		{"larger than the memory", "X-Try-Id: 2\r\nX-Token-Counts: 2000,1\r\nX-Prompt-Start: a:2000", 503, "1"},
		{"too late", "X-Try-Id: 3\r\nX-Time-Left-Ms: 0\r\n" + prompt, 503, "1"},
	} {
		resp := dial(t, r).mustAsk(t, test.headers)
		if resp.StatusCode != test.status || resp.Header.Get(answer.HeaderNotRun) != test.notRun {
			t.Errorf("%s: %d, not run %q", test.name, resp.StatusCode, resp.Header.Get(answer.HeaderNotRun))
		}
	}
}

func TestPlainAnswer(t *testing.T) {
	r := startRunner(t, plainServer)
	resp := dial(t, r).mustAsk(t, "X-Try-Id: 7")
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	seal, err := answer.ParseSeal(resp.Header.Get(answer.HeaderSeal))
	if err != nil || seal.CheckBody("7", body) != nil {
		t.Errorf("seal: %v, %v", err, seal.CheckBody("7", body))
	}
}

func TestHealthAndReport(t *testing.T) {
	r := startRunner(t, nil)
	r.BeginSlowStart(testTimeout)
	c := dial(t, r)
	resp, err := c.ask("GET", "/health")
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("health: %v %+v", err, resp)
	}
	if resp.Header.Get(answer.HeaderServerID) != "i-1" || resp.Header.Get(answer.HeaderSlowStart) == "" {
		t.Fatalf("health: %+v", resp)
	}
	resp, err = c.ask("GET", "/-/report")
	if err != nil {
		t.Fatal(err)
	}
	var got reportBody
	err = json.NewDecoder(resp.Body).Decode(&got)
	validSize := got.CacheSize == 992 || got.CacheSize == 1000 // whole blocks, or all
	if err != nil || !validSize || got.Models[0].Name != "m" {
		t.Errorf("report: %v %+v", err, got)
	}
	r.Drain()
	resp, err = dial(t, r).ask("GET", "/health")
	if err != nil || resp.StatusCode != 503 || !resp.Close {
		t.Errorf("health of one that drains: %v %+v", err, resp)
	}
}

// faultCheck checks what a caller gets from a runner with a fault: the answer, or the error instead of one.
type faultCheck func(t *testing.T, c *caller, resp *http.Response, err error)

// wantAnswer makes a check of an answer whose head must have arrived.
func wantAnswer(check func(t *testing.T, c *caller, resp *http.Response)) faultCheck {
	return func(t *testing.T, c *caller, resp *http.Response, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		check(t, c, resp)
	}
}

// wantNoAnswer makes a check that there is no answer; complaint is the failure otherwise.
func wantNoAnswer(complaint string) faultCheck {
	return func(t *testing.T, _ *caller, _ *http.Response, err error) {
		t.Helper()
		if err == nil {
			t.Error(complaint)
		}
	}
}

func checkTruncatedStream(t *testing.T, _ *caller, resp *http.Response) {
	t.Helper()
	if list, err := events(t, resp.Body); err == nil || len(list) == 0 {
		t.Errorf("%d events, %v", len(list), err)
	}
}

func checkTruncatedBody(t *testing.T, _ *caller, resp *http.Response) {
	t.Helper()
	if _, err := io.ReadAll(resp.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("body ended with %v", err)
	}
}

func checkExtraAnswer(t *testing.T, c *caller, resp *http.Response) {
	t.Helper()
	io.Copy(io.Discard, resp.Body)
	if extra, err := http.ReadResponse(c.reader, nil); err != nil || extra.Header.Get(answer.HeaderAttemptID) != "1" {
		t.Errorf("extra: %v", err)
	}
}

func checkStaleAnswer(t *testing.T, c *caller, resp *http.Response) {
	t.Helper()
	io.Copy(io.Discard, resp.Body)
	next, err := c.ask("POST", "/a/b", "X-Try-Id: 2")
	if err != nil || next.Header.Get(answer.HeaderAttemptID) != "1" {
		t.Errorf("the next answer: %v", err)
	}
}

func TestFaults(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults Faults
		alter  func(*Options)
		check  faultCheck
	}{
		{"broken off stream", Faults{Truncate: 1}, nil, wantAnswer(checkTruncatedStream)},
		{"broken off body", Faults{Truncate: 1}, plainServer, wantAnswer(checkTruncatedBody)},
		{"extra", Faults{ExtraBytes: 1}, plainServer, wantAnswer(checkExtraAnswer)},
		{"extra late", Faults{StaleAnswer: 1}, plainServer, wantAnswer(checkStaleAnswer)},
		{"garbage", Faults{Garbage: 1}, plainServer, wantNoAnswer("garbage was an answer")},
		{"reset", Faults{Reset: 1}, plainServer, wantNoAnswer("an answer came")},
		{"close", Faults{Close: 1}, plainServer, wantNoAnswer("an answer came")},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := startRunner(t, test.alter)
			r.SetFaults(test.faults)
			c := dial(t, r)
			resp, err := c.ask("POST", "/a/b", "X-Try-Id: 1", prompt)
			test.check(t, c, resp, err)
		})
	}
}

func TestNoAnswerFault(t *testing.T) {
	r := startRunner(t, plainServer)
	r.SetFaults(Faults{NoAnswer: 1})
	c := dial(t, r)
	fmt.Fprint(c, "POST /a HTTP/1.1\r\nHost: h\r\nX-Try-Id: 1\r\nContent-Length: 0\r\n\r\n")
	waitFor(t, func() bool { return r.Stats().Engine.Running == 0 && r.Stats().Requests == 1 })
	c.Close()
}

// waitFor waits for a state.
func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(testTimeout); !ok(); <-tick.C {
		if time.Now().After(end) {
			t.Fatal("the state did not come")
		}
	}
}

func TestDisconnectCancelsTask(t *testing.T) {
	r := startRunner(t, func(o *Options) {
		options := engineOptions()
		options.MemoryTokens = 1 << 30
		options.StepTime = 10 * time.Millisecond
		o.Engine, _ = engine.New(options)
	})
	c := dial(t, r)
	c.mustAsk(t, "X-Try-Id: 1", "X-Token-Counts: 10,1000000", "X-Prompt-Start: a:10")
	c.Close()
	waitFor(t, func() bool { return r.Stats().Engine.Running == 0 })
}

func TestMaxConns(t *testing.T) {
	r := startRunner(t, func(o *Options) { o.MaxConns = 1 })
	if _, err := dial(t, r).ask("GET", "/health"); err != nil {
		t.Fatal(err)
	}
	if c, err := net.Dial("tcp", r.Address().String()); err == nil { // else the reset came at once
		defer c.Close()
		c.SetDeadline(time.Now().Add(testTimeout))
		if _, err := (&caller{c, bufio.NewReader(c)}).ask("GET", "/health"); err == nil {
			t.Error("a second connection was served")
		}
	}
	if r.Stats().ConnectionsReset != 1 {
		t.Errorf("%+v", r.Stats())
	}
}

func TestCrashAndHang(t *testing.T) {
	r := startRunner(t, nil)
	c := dial(t, r)
	if _, err := c.ask("GET", "/health"); err != nil {
		t.Fatal(err)
	}
	r.Crash()
	if _, err := c.ask("GET", "/health"); err == nil {
		t.Error("a crashed runner answers")
	}
	hung := startRunner(t, nil)
	c = dial(t, hung)
	hung.Hang()
	fmt.Fprint(c, "GET /health HTTP/1.1\r\nHost: h\r\n\r\n")
	waitFor(t, func() bool { return hung.Stats().Unanswered == 1 })
	hung.Close()
	if _, err := http.ReadResponse(c.reader, nil); err == nil {
		t.Error("a dark runner answers")
	}
}

func TestSlowStartOverloadCrashes(t *testing.T) {
	r := startRunner(t, func(o *Options) { o.SlowStart = engine.SlowStart{Rate: 1, CrashMultiple: 2} })
	r.BeginSlowStart(testTimeout)
	for i := range 3 {
		resp, err := dial(t, r).ask("POST", "/a/b", fmt.Sprintf("X-Try-Id: %d", i), prompt)
		if (err == nil) != (i < 2) {
			t.Errorf("request %d: %v", i, err)
		}
		if err == nil {
			io.Copy(io.Discard, resp.Body)
		}
	}
	if !r.Stats().Overloaded {
		t.Error("it has not fallen over")
	}
}

func TestParseChunks(t *testing.T) {
	for _, text := range []string{"a", "x:1", "a:", "a:-1", "a:1,,"} {
		if _, err := parseChunks(text); err == nil {
			t.Errorf("%q was read", text)
		}
	}
	parts, err := parseChunks("5c1e07a2:800,91bd3f06:410")
	if err != nil || len(parts) != 2 || parts[0] != (engine.Chunk{ID: 0x5c1e07a2, Tokens: 800}) {
		t.Errorf("%+v, %v", parts, err)
	}
	if !bytes.Contains(unsolicitedAnswer("7"), []byte("X-Try-Id: 7\r\n")) {
		t.Error("the spare answer has no id")
	}
}

// A runner that crashes, hangs or breaks off an answer tells the checker, so that the system is not blamed for the cut.
func TestBrokenAnswersAreReported(t *testing.T) {
	for name, end := range map[string]func(*Runner){"crash": (*Runner).Crash, "hang": (*Runner).Hang, "close": (*Runner).Close} {
		requests, cut := checkerWithCut()
		r := startRunner(t, func(o *Options) { o.Checker = requests })
		end(r)
		if cut(r.ID(), "a"); len(requests.CutRequests()) != 0 {
			t.Errorf("%s: the cut is blamed on the system", name)
		}
	}
	requests, cut := checkerWithCut()
	r := startRunner(t, func(o *Options) { o.Checker = requests })
	r.SetFaults(Faults{Truncate: 1})
	if cut("i-2", "a"); requests.CutRequests()[checker.CutAtDeadline] != 1 {
		t.Error("a cut at a sound runner does not count")
	}
	dial(t, r).ask(http.MethodPost, "/a", answer.HeaderAttemptID+": b", answer.HeaderTokenCounts+": 1,4")
	if cut("i-2", "b"); requests.CutRequests()[checker.CutAtDeadline] != 1 {
		t.Error("an answer that the runner truncates is blamed on the system")
	}
}

// checkerWithCut returns a checker, and a function that reports a request as received by a runner and cut off.
func checkerWithCut() (*checker.Checker, func(runner, id string)) {
	requests := checker.New(checker.Limits{Machines: checker.NewMachines()}, nil)
	for _, id := range []string{"a", "b"} {
		requests.RequestSent(checker.Attempt{ID: id, Method: http.MethodPost, Host: "x", URI: "/a"})
	}
	return requests, func(runner, id string) {
		requests.RequestReceived(checker.ReceivedRequest{Runner: &checker.Runner{ID: runner}, ID: id})
		requests.RequestCut(checker.Cut{ID: id})
	}
}

// A runner that hangs and ends leaves no goroutine that waits for a caller whose request it has not read.
func TestHungRunnerLeavesNoGoroutines(t *testing.T) {
	r := startRunner(t, nil)
	r.Hang()
	before := runtime.NumGoroutine()
	for range 5 {
		c := dial(t, r)
		fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nx")
	}
	waitFor(t, func() bool { return r.Stats().Unanswered == 5 })
	r.Close()
	waitFor(t, func() bool { return runtime.NumGoroutine() <= before })
}
