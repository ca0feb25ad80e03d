package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// frontPort of a proxy, as an offset from the first free port.
const frontPort = 4

// Traffic is what clients send through a proxy.
type Traffic struct {
	Name     string
	Sessions int           // connections of clients, each with one request at a time
	Pause    time.Duration // of a session between an answer and its next request
	Events   int           // of an answer
	Gap      time.Duration // between events
	Body     int           // bytes of a request
}

// ForwardCost is what a proxy took for its traffic.
type ForwardCost struct {
	Traffic   Traffic
	Window    time.Duration
	Requests  float64 // a second
	Events    float64 // a second
	Failed    int64
	Processor float64 // share of a core
	Anonymous int64   // bytes
	Resident  int64   // bytes
}

// runnerServer answers as all runners of a system.
type runnerServer struct {
	server  *http.Server
	address netip.AddrPort
	events  atomic.Int64 // of an answer
	gap     atomic.Int64 // between events, ns
}

func startRunnerServer() (*runnerServer, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "runners")
	}
	s := &runnerServer{address: listener.Addr().(*net.TCPAddr).AddrPort()}
	s.server = &http.Server{Handler: s}
	go s.server.Serve(listener) //nolint:errcheck // it ends when it is closed
	return s, nil
}

// ServeHTTP answers a request with a stream of events.
func (s *runnerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Server-Id", r.Header.Get("X-Wanted-Server"))
		return
	}
	io.Copy(io.Discard, r.Body) //nolint:errcheck // what is missing shows at the client
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("X-Try-Id", r.Header.Get("X-Try-Id"))
	header.Set("X-Server-Seal", "seal")
	events, gap := s.events.Load(), time.Duration(s.gap.Load())
	first := int64(0)
	if last, err := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64); err == nil {
		first = last + 1 // a stream that is resumed
	}
	for i := first; i < events; i++ {
		if i > first && gap > 0 {
			<-time.After(gap)
		}
		fmt.Fprintf(w, "id: %d\ndata: token token token token\n\n", i)
		w.(http.Flusher).Flush()
	}
}

// Proxy is a running proxy of the system's first edge machine.
type Proxy struct {
	system  *System
	command *exec.Cmd
	log     *os.File
	front   netip.AddrPort
}

// StartProxy runs the program at the path beside the agent of the first edge machine.
func (s *System) StartProxy(path string) (*Proxy, error) {
	p := &Proxy{system: s, front: netip.AddrPortFrom(edgeAddress(0), s.world.first+frontPort)}
	settings := s.world.settingsOf("edge-001", "edge", edgeAddress(0), s.world.zone(0))
	settings.ListenOn["front"] = p.front.String()
	body, err := json.Marshal(settings)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	file := filepath.Join(s.world.options.Folder, "edge-001.json")
	if err := os.WriteFile(file, body, 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	if p.log, err = os.Create(filepath.Join(s.world.options.Folder, "edge-001.log")); err != nil {
		return nil, errors.Wrap(err, "log of the proxy")
	}
	p.command = exec.Command(path)
	p.command.Env = append(os.Environ(), "CINDERROAD_SETTINGS="+file)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p, errors.Wrap(p.command.Start(), "proxy")
}

// Close ends the proxy.
func (p *Proxy) Close() {
	p.command.Process.Kill() //nolint:errcheck // it has ended already
	p.command.Wait()         //nolint:errcheck // it was killed
	p.log.Close()
}

// Serves says whether the proxy has answered a request.
func (p *Proxy) Serves() bool {
	p.system.runnerServer.events.Store(1)
	session, err := p.dial()
	if err != nil {
		return false
	}
	defer session.conn.Close()
	_, err = session.ask(0, 1)
	return err == nil
}

// session is a client's connection.
type session struct {
	conn  net.Conn
	in    *bufio.Reader
	front string
}

func (p *Proxy) dial() (*session, error) {
	const within = 5 * time.Second
	conn, err := net.DialTimeout("tcp4", p.front.String(), within)
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	return &session{conn: conn, in: bufio.NewReader(conn), front: p.front.String()}, nil
}

// ask sends a request and reads its answer. It returns how many events came.
func (s *session) ask(bodyBytes, number int) (events int, err error) {
	const within = 10 * time.Second
	if err := s.conn.SetDeadline(time.Now().Add(within)); err != nil {
		return 0, errors.Wrap(err, "deadline")
	}
	head := fmt.Sprintf("POST /p%d/x HTTP/1.1\r\nHost: host-%d.example\r\nX-Try-Id: %016x\r\nX-Time-Left-Ms: 9000\r\n"+
		"Content-Length: %d\r\n\r\n", number%10, number%10, time.Now().UnixNano(), bodyBytes)
	if _, err := s.conn.Write(append([]byte(head), make([]byte, bodyBytes)...)); err != nil {
		return 0, errors.Wrap(err, "request")
	}
	response, err := http.ReadResponse(s.in, nil)
	if err != nil {
		return 0, errors.Wrap(err, "answer")
	}
	body := bufio.NewScanner(response.Body)
	for body.Scan() {
		if len(body.Bytes()) == 0 {
			events++
		}
	}
	if response.StatusCode != http.StatusOK {
		return 0, errors.Newf("answer %d", response.StatusCode)
	}
	return events, errors.Wrap(body.Err(), "answer")
}

// Measure has clients send the traffic for a while.
func (p *Proxy) Measure(ctx context.Context, traffic Traffic, window time.Duration) (*ForwardCost, error) {
	p.system.runnerServer.events.Store(int64(traffic.Events))
	p.system.runnerServer.gap.Store(int64(traffic.Gap))
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var requests, events, failed atomic.Int64
	var clients sync.WaitGroup
	for i := range traffic.Sessions {
		clients.Go(func() { p.client(ctx, traffic, i, &requests, &events, &failed) })
	}
	const settle = 4 // of the window, one part
	wait(ctx, window/settle)
	before, err := usageOf(p.command.Process.Pid)
	if err != nil {
		return nil, err
	}
	started, r, e := time.Now(), requests.Load(), events.Load()
	wait(ctx, window)
	after, err := usageOf(p.command.Process.Pid)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(started).Seconds()
	cost := &ForwardCost{Traffic: traffic, Window: window, Requests: float64(requests.Load()-r) / seconds,
		Events: float64(events.Load()-e) / seconds, Failed: failed.Load(),
		Processor: (after.Processor - before.Processor).Seconds() / seconds,
		Anonymous: after.Anonymous, Resident: after.Resident}
	stop()
	clients.Wait()
	return cost, nil
}

// client is one session, opened again when it breaks.
func (p *Proxy) client(ctx context.Context, traffic Traffic, number int, requests, events, failed *atomic.Int64) {
	var open *session
	defer func() {
		if open != nil {
			open.conn.Close()
		}
	}()
	wait(ctx, traffic.Pause*time.Duration(number)/time.Duration(traffic.Sessions)) // sessions out of step
	for ctx.Err() == nil {
		if open == nil {
			var err error
			if open, err = p.dial(); err != nil {
				failed.Add(1)
				wait(ctx, traffic.Pause)
				continue
			}
		}
		got, err := open.ask(traffic.Body, number)
		if err != nil {
			failed.Add(1)
			open.conn.Close()
			open = nil
		} else {
			requests.Add(1)
			events.Add(int64(got))
		}
		wait(ctx, traffic.Pause)
	}
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
