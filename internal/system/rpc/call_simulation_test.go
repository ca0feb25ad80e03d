package rpc

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	netrpc "net/rpc"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	simulationSeeds  = 60
	simulatedCallers = 6
	callsPerCaller   = 20 // of each caller
	maxCallTimeout   = 400 * time.Millisecond
	noSequence       = 1 << 40
	deadlineSlack    = time.Millisecond // within which a call must return after its deadline
)

// callSimulation checks what must hold for calls whatever the peer does: a reply belongs to its call, nothing is sent twice,
// a call reported as not sent did not arrive, and every call returns by its deadline.
type callSimulation struct {
	mutex      sync.Mutex
	random     *rand.Rand
	received   map[string]int  // by text: how often it arrived
	rejected   map[string]bool // texts that the server answered by an error
	unsent     []string        // texts that the client reports as not sent
	outcomes   map[string]int
	violations []string
}

func (sim *callSimulation) recordViolation(format string, args ...any) {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

func (sim *callSimulation) draw(n int) int {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	return sim.random.IntN(n)
}

func (sim *callSimulation) durationUpTo(most time.Duration) time.Duration {
	return time.Duration(sim.draw(int(most)))
}

// faultyServer serves one connection as a faulty process does.
type faultyServer struct {
	sim         *callSimulation
	socket      net.Conn
	decoder     *gob.Decoder
	mutex       sync.Mutex
	encoder     *gob.Encoder
	lastReplied uint64 // sequence number of a call
}

func (s *faultyServer) serve() {
	defer s.socket.Close()
	for {
		var request netrpc.Request
		var argument EchoRequest
		if s.decoder.Decode(&request) != nil || s.decoder.Decode(&argument) != nil {
			return
		}
		s.sim.mutex.Lock()
		s.sim.received[argument.Text]++
		s.sim.mutex.Unlock()
		if !s.respond(&request, argument.Text) {
			return
		}
	}
}

// reply sends a reply for a sequence number.
func (s *faultyServer) reply(sequence uint64, failure, text string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_ = s.encoder.Encode(&netrpc.Response{Seq: sequence, Error: failure})
	if failure != "" {
		_ = s.encoder.Encode(struct{}{})
		return
	}
	_ = s.encoder.Encode(&EchoReply{Text: text})
	s.lastReplied = sequence
}

// respond draws how the server responds to a call; false: it closes the connection.
func (s *faultyServer) respond(request *netrpc.Request, text string) bool {
	whole := "echo " + text
	switch s.sim.draw(16) {
	case 0: // no reply
	case 1:
		s.reply(request.Seq, "", whole)
		s.reply(request.Seq, "", "a second answer")
	case 2:
		s.reply(request.Seq+1000, "", "an answer to nobody")
		s.reply(request.Seq, "", whole)
	case 3:
		s.sim.mutex.Lock()
		s.sim.rejected[text] = true
		s.sim.mutex.Unlock()
		s.reply(request.Seq, "refused "+text, "")
	case 4:
		return false
	case 5:
		s.mutex.Lock()
		defer s.mutex.Unlock()
		_, _ = s.socket.Write([]byte("\x07 no gob"))
		return false
	case 6:
		s.mutex.Lock()
		last := s.lastReplied
		s.mutex.Unlock()
		s.reply(last, "", "a late second answer")
		s.reply(request.Seq, "", whole)
	case 7: // the server reads slowly
		time.Sleep(s.sim.durationUpTo(maxCallTimeout / 4))
		s.reply(request.Seq, "", whole)
	default: // replies in any order, many too late
		go func() {
			time.Sleep(s.sim.durationUpTo(maxCallTimeout * 3 / 2))
			s.reply(request.Seq, "", whole)
		}()
	}
	return true
}

// pipeConn is one end of a connection in memory. Its writes never block: in a synctest bubble time stops while a
// goroutine waits for a mutex, as those of net/rpc do behind a write.
type pipeConn struct{ in, out *pipeBuffer }

// pipeBuffer is one direction of a connection, for one reader.
type pipeBuffer struct {
	mutex     sync.Mutex
	bytes     []byte
	ended     bool
	available chan struct{}
}

func newPipe() (near, far net.Conn) {
	there, back := &pipeBuffer{available: make(chan struct{}, 1)}, &pipeBuffer{available: make(chan struct{}, 1)}
	return &pipeConn{in: back, out: there}, &pipeConn{in: there, out: back}
}

func (b *pipeBuffer) wake() {
	select {
	case b.available <- struct{}{}:
	default:
	}
}

func (b *pipeBuffer) end() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ended = true
	b.wake()
}

// Read waits for bytes or the end.
func (c *pipeConn) Read(p []byte) (int, error) {
	for {
		c.in.mutex.Lock()
		n := copy(p, c.in.bytes)
		c.in.bytes = c.in.bytes[n:]
		ended := c.in.ended
		c.in.mutex.Unlock()
		switch {
		case n > 0:
			return n, nil
		case ended:
			c.in.wake()
			return 0, io.EOF
		}
		<-c.in.available
	}
}

// Write adds bytes.
func (c *pipeConn) Write(p []byte) (int, error) {
	c.out.mutex.Lock()
	defer c.out.mutex.Unlock()
	if c.out.ended {
		return 0, io.ErrClosedPipe
	}
	c.out.bytes = append(c.out.bytes, p...)
	c.out.wake()
	return len(p), nil
}

// Close ends both directions.
func (c *pipeConn) Close() error {
	c.in.end()
	c.out.end()
	return nil
}

// LocalAddr implements net.Conn and is not used.
func (c *pipeConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn and is not used.
func (c *pipeConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline implements net.Conn and does nothing.
func (c *pipeConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn and does nothing.
func (c *pipeConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn and does nothing: writes never block.
func (c *pipeConn) SetWriteDeadline(time.Time) error { return nil }

// handle answers the calls of a real server's connection.
func (sim *callSimulation) handle(ctx context.Context, request *EchoRequest) (*EchoReply, error) {
	sim.mutex.Lock()
	sim.received[request.Text]++
	sim.mutex.Unlock()
	timer := time.NewTimer(sim.durationUpTo(maxCallTimeout * 3 / 2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if sim.draw(8) == 0 {
		sim.mutex.Lock()
		sim.rejected[request.Text] = true
		sim.mutex.Unlock()
		return nil, errors.New("refused " + request.Text)
	}
	return &EchoReply{Text: "echo " + request.Text}, nil
}

// open connects to a faulty server or to one of this package, or fails.
func (sim *callSimulation) open(ctx context.Context, s *server) (net.Conn, error) {
	time.Sleep(sim.durationUpTo(20 * time.Millisecond))
	if sim.draw(6) == 0 {
		return nil, io.ErrClosedPipe
	}
	near, far := newPipe()
	if sim.draw(3) == 0 {
		s.serveConnection(far)
		if sim.draw(2) == 0 {
			time.AfterFunc(sim.durationUpTo(2*maxCallTimeout), func() { far.Close() })
		}
		return near, ctx.Err()
	}
	scripted := &faultyServer{
		sim:         sim,
		socket:      far,
		decoder:     gob.NewDecoder(far),
		encoder:     gob.NewEncoder(far),
		lastReplied: noSequence,
	}
	go scripted.serve()
	return near, ctx.Err()
}

// call makes one call and checks its outcome.
func (sim *callSimulation) call(client *Client, text string) {
	span := time.Millisecond + sim.durationUpTo(maxCallTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	if sim.draw(8) == 0 { // the caller cancels
		time.AfterFunc(sim.durationUpTo(span), cancel)
	}
	began := time.Now()
	reply, err := sim.invoke(ctx, client, &EchoRequest{Text: text}, span)
	if took := time.Since(began); took > span+deadlineSlack {
		sim.recordViolation("%s returned after %v, its bound is %v", text, took, span)
	}
	sim.check(text, reply, err)
}

// invoke makes a call in one of the ways.
func (sim *callSimulation) invoke(ctx context.Context, client *Client, request *EchoRequest, span time.Duration) (*EchoReply, error) {
	switch sim.draw(3) {
	case 0:
		return echoCall.LongPoll(ctx, client, span, request)
	case 1:
		patience := ReceiveTimeouts{FirstByte: span / 2, Idle: span / 4, Total: span}
		return echoCall.InvokeWhileReceiving(ctx, client, patience, request)
	}
	return echoCall.Invoke(ctx, client, request)
}

func (sim *callSimulation) check(text string, reply *EchoReply, err error) {
	var remote *RemoteError
	var unreachable *UnreachableError
	var lost *NoReplyError
	outcome := "other"
	switch {
	case err == nil:
		outcome = "answered"
		if reply.Text != "echo "+text {
			sim.recordViolation("%s is answered by %q", text, reply.Text)
		}
	case errors.As(err, &remote):
		outcome = "rejected"
		if remote.Message != "refused "+text {
			sim.recordViolation("%s fails by %q", text, remote.Message)
		}
	case errors.As(err, &unreachable):
		outcome = "unsent"
	case errors.As(err, &lost):
		outcome = "broken"
	default:
		sim.recordViolation("%s fails by %v", text, err)
	}
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	sim.outcomes[outcome]++
	if outcome == "rejected" && !sim.rejected[text] {
		sim.violations = append(sim.violations, text+" failed though no handler rejected it")
	}
	if outcome == "unsent" {
		sim.unsent = append(sim.unsent, text)
	}
}

// checkEnd checks what must hold in the end.
func (sim *callSimulation) checkEnd() {
	for text, count := range sim.received {
		if count > 1 {
			sim.violations = append(sim.violations, fmt.Sprintf("%s arrived %d times", text, count))
		}
	}
	for _, text := range sim.unsent {
		if sim.received[text] > 0 {
			sim.violations = append(sim.violations, text+" arrived though it was reported as not sent")
		}
	}
}

// run runs the simulation.
func (sim *callSimulation) run() {
	registry := NewRegistry()
	echoCall.Handle(registry, sim.handle)
	limits := ServerLimits{}
	limits.setDefaults()
	s := &server{registry: registry, limits: limits, connections: make(map[*serverCodec]struct{})}
	client := NewClient(netip.AddrPort{}, ClientOptions{DialBackoff: 10 * time.Millisecond})
	client.dialTransport = func(ctx context.Context) (net.Conn, error) { return sim.open(ctx, s) }
	var callers sync.WaitGroup
	for caller := range simulatedCallers {
		callers.Go(func() {
			for call := range callsPerCaller {
				sim.call(client, fmt.Sprintf("%d-%d", caller, call))
				time.Sleep(sim.durationUpTo(maxCallTimeout / 4))
			}
		})
	}
	callers.Wait()
	client.Close()
	registry.cancelHandlers()
	s.closeAll()
	time.Sleep(4 * maxCallTimeout) // late replies find no caller
}

// TestCallModel runs faulty servers in virtual time; MODEL_SEED=N runs one seed. Events of the same virtual time may
// run in any order.
func TestCallModel(t *testing.T) {
	first, count := uint64(0), uint64(simulationSeeds)
	if text := os.Getenv("MODEL_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		first = seed
		count = 1
	}
	outcomes := map[string]int{}
	for seed := first; seed < first+count; seed++ {
		synctest.Test(t, func(t *testing.T) {
			m := &callSimulation{
				random:   rand.New(rand.NewPCG(seed, 6)),
				received: map[string]int{},
				rejected: map[string]bool{},
				outcomes: map[string]int{},
			}
			m.run()
			m.mutex.Lock()
			defer m.mutex.Unlock()
			m.checkEnd()
			for _, text := range m.violations {
				t.Errorf("MODEL_SEED=%d: %s", seed, text)
			}
			for outcome, n := range m.outcomes {
				outcomes[outcome] += n
			}
		})
	}
	t.Log(outcomes)
	if count > 1 && (outcomes["answered"] == 0 || outcomes["rejected"] == 0 || outcomes["unsent"] == 0 || outcomes["broken"] == 0) {
		t.Errorf("some outcome never occurred: %v", outcomes)
	}
}

// TestHandlerWithoutReply: a handler that fails without a text, or returns nothing, must not look like one that has
// replied.
func TestHandlerWithoutReply(t *testing.T) {
	registry := NewRegistry()
	for _, s := range []*service[EchoRequest, EchoReply]{
		{registry: registry, handler: func(context.Context, *EchoRequest) (*EchoReply, error) { return nil, errors.New("") }},
		{registry: registry, handler: func(context.Context, *EchoRequest) (*EchoReply, error) { return nil, nil }},
	} {
		if err := s.Call(&EchoRequest{}, &EchoReply{}); err == nil || err.Error() == "" {
			t.Errorf("the call ends by %v", err)
		}
	}
}
