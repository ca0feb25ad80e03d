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
	modelSeeds   = 60
	modelCallers = 6
	modelCalls   = 20 // of each caller
	longestCall  = 400 * time.Millisecond
	noSequence   = 1 << 40
	modelSlack   = time.Millisecond // past its deadline, in which a call has to return
)

// callModel holds what must be true of calls whatever the other side does: an answer belongs to its call, nothing is sent
// twice, what is said not to have been sent was not, and every call returns by its deadline.
type callModel struct {
	mutex    sync.Mutex
	random   *rand.Rand
	received map[string]int
	refused  map[string]bool // that the server answered by an error
	unsent   []string        // that the client says it has not sent
	outcomes map[string]int
	broken   []string
}

func (m *callModel) breaks(format string, args ...any) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.broken = append(m.broken, fmt.Sprintf(format, args...))
}

func (m *callModel) draw(n int) int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.random.IntN(n)
}

func (m *callModel) upTo(most time.Duration) time.Duration { return time.Duration(m.draw(int(most))) }

// scriptedServer serves one connection as a process in trouble does.
type scriptedServer struct {
	model   *callModel
	socket  net.Conn
	decoder *gob.Decoder
	mutex   sync.Mutex
	encoder *gob.Encoder
	last    uint64 // sequence number of a call that was answered
}

func (s *scriptedServer) serve() {
	defer s.socket.Close()
	for {
		var request netrpc.Request
		var argument EchoRequest
		if s.decoder.Decode(&request) != nil || s.decoder.Decode(&argument) != nil {
			return
		}
		s.model.mutex.Lock()
		s.model.received[argument.Text]++
		s.model.mutex.Unlock()
		if !s.react(&request, argument.Text) {
			return
		}
	}
}

// answer sends an answer to a sequence number.
func (s *scriptedServer) answer(sequence uint64, failure, text string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_ = s.encoder.Encode(&netrpc.Response{Seq: sequence, Error: failure})
	if failure != "" {
		_ = s.encoder.Encode(struct{}{})
		return
	}
	_ = s.encoder.Encode(&EchoReply{Text: text})
	s.last = sequence
}

// react draws what the server does with a call; false: it ends the connection.
func (s *scriptedServer) react(request *netrpc.Request, text string) bool {
	whole := "echo " + text
	switch s.model.draw(16) {
	case 0: // silence
	case 1:
		s.answer(request.Seq, "", whole)
		s.answer(request.Seq, "", "a second answer")
	case 2:
		s.answer(request.Seq+1000, "", "an answer to nobody")
		s.answer(request.Seq, "", whole)
	case 3:
		s.model.mutex.Lock()
		s.model.refused[text] = true
		s.model.mutex.Unlock()
		s.answer(request.Seq, "refused "+text, "")
	case 4:
		return false
	case 5:
		s.mutex.Lock()
		defer s.mutex.Unlock()
		_, _ = s.socket.Write([]byte("\x07 no gob"))
		return false
	case 6:
		s.mutex.Lock()
		last := s.last
		s.mutex.Unlock()
		s.answer(last, "", "a late second answer")
		s.answer(request.Seq, "", whole)
	case 7: // read slowly
		time.Sleep(s.model.upTo(longestCall / 4))
		s.answer(request.Seq, "", whole)
	default: // in any order, many too late
		go func() {
			time.Sleep(s.model.upTo(longestCall * 3 / 2))
			s.answer(request.Seq, "", whole)
		}()
	}
	return true
}

// modelConn is one end of a connection in memory. Its writes do not wait: in a bubble time stands still while a goroutine
// waits for a mutex, as those of net/rpc do behind a write.
type modelConn struct{ in, out *modelBuffer }

// modelBuffer is one direction, for one reader.
type modelBuffer struct {
	mutex sync.Mutex
	bytes []byte
	ended bool
	more  chan struct{}
}

func newModelPipe() (near, far net.Conn) {
	there, back := &modelBuffer{more: make(chan struct{}, 1)}, &modelBuffer{more: make(chan struct{}, 1)}
	return &modelConn{in: back, out: there}, &modelConn{in: there, out: back}
}

func (b *modelBuffer) wake() {
	select {
	case b.more <- struct{}{}:
	default:
	}
}

func (b *modelBuffer) end() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ended = true
	b.wake()
}

// Read waits for bytes or the end.
func (c *modelConn) Read(p []byte) (int, error) {
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
		<-c.in.more
	}
}

// Write adds bytes.
func (c *modelConn) Write(p []byte) (int, error) {
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
func (c *modelConn) Close() error {
	c.in.end()
	c.out.end()
	return nil
}

// LocalAddr is of no use.
func (c *modelConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr is of no use.
func (c *modelConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline is of no use.
func (c *modelConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline is of no use.
func (c *modelConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline is of no use: writes do not wait.
func (c *modelConn) SetWriteDeadline(time.Time) error { return nil }

// handle answers calls of a real server's connection.
func (m *callModel) handle(ctx context.Context, request *EchoRequest) (*EchoReply, error) {
	m.mutex.Lock()
	m.received[request.Text]++
	m.mutex.Unlock()
	timer := time.NewTimer(m.upTo(longestCall * 3 / 2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if m.draw(8) == 0 {
		m.mutex.Lock()
		m.refused[request.Text] = true
		m.mutex.Unlock()
		return nil, errors.New("refused " + request.Text)
	}
	return &EchoReply{Text: "echo " + request.Text}, nil
}

// open makes a connection to a process in trouble, or to a server of this package; or none comes up.
func (m *callModel) open(ctx context.Context, s *server) (net.Conn, error) {
	time.Sleep(m.upTo(20 * time.Millisecond))
	if m.draw(6) == 0 {
		return nil, io.ErrClosedPipe
	}
	near, far := newModelPipe()
	if m.draw(3) == 0 {
		s.admit(far)
		if m.draw(2) == 0 {
			time.AfterFunc(m.upTo(2*longestCall), func() { far.Close() })
		}
		return near, ctx.Err()
	}
	scripted := &scriptedServer{model: m, socket: far, decoder: gob.NewDecoder(far), encoder: gob.NewEncoder(far),
		last: noSequence}
	go scripted.serve()
	return near, ctx.Err()
}

// call makes one call and looks at how it ends.
func (m *callModel) call(client *Client, text string) {
	span := time.Millisecond + m.upTo(longestCall)
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	if m.draw(8) == 0 { // the caller loses interest
		time.AfterFunc(m.upTo(span), cancel)
	}
	began := time.Now()
	reply, err := m.make(ctx, client, &EchoRequest{Text: text}, span)
	if took := time.Since(began); took > span+modelSlack {
		m.breaks("%s returns after %v, its bound is %v", text, took, span)
	}
	m.check(text, reply, err)
}

// make makes a call in one of the ways.
func (m *callModel) make(ctx context.Context, client *Client, request *EchoRequest, span time.Duration) (*EchoReply, error) {
	switch m.draw(3) {
	case 0:
		return echoCall.LongPoll(ctx, client, span, request)
	case 1:
		patience := ReceiveTimeouts{FirstByte: span / 2, Idle: span / 4, Total: span}
		return echoCall.InvokeWhileReceiving(ctx, client, patience, request)
	}
	return echoCall.Invoke(ctx, client, request)
}

func (m *callModel) check(text string, reply *EchoReply, err error) {
	var remote *RemoteError
	var unreachable *UnreachableError
	var lost *NoReplyError
	outcome := "other"
	switch {
	case err == nil:
		outcome = "answered"
		if reply.Text != "echo "+text {
			m.breaks("%s is answered by %q", text, reply.Text)
		}
	case errors.As(err, &remote):
		outcome = "refused"
		if remote.Message != "refused "+text {
			m.breaks("%s fails by %q", text, remote.Message)
		}
	case errors.As(err, &unreachable):
		outcome = "unsent"
	case errors.As(err, &lost):
		outcome = "broken"
	default:
		m.breaks("%s fails by %v", text, err)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.outcomes[outcome]++
	if outcome == "refused" && !m.refused[text] {
		m.broken = append(m.broken, text+" fails though nobody refused it")
	}
	if outcome == "unsent" {
		m.unsent = append(m.unsent, text)
	}
}

// settle checks what must be true in the end.
func (m *callModel) settle() {
	for text, count := range m.received {
		if count > 1 {
			m.broken = append(m.broken, fmt.Sprintf("%s arrives %d times", text, count))
		}
	}
	for _, text := range m.unsent {
		if m.received[text] > 0 {
			m.broken = append(m.broken, text+" arrives though it is said not to have been sent")
		}
	}
}

// play runs the model over one seed.
func (m *callModel) play() {
	registry := NewRegistry()
	echoCall.Handle(registry, m.handle)
	limits := ServerLimits{}
	limits.complete()
	s := &server{registry: registry, limits: limits, open: make(map[*serverCodec]struct{})}
	client := NewClient(netip.AddrPort{}, ClientOptions{DialBackoff: 10 * time.Millisecond})
	client.open = func(ctx context.Context) (net.Conn, error) { return m.open(ctx, s) }
	var callers sync.WaitGroup
	for caller := range modelCallers {
		callers.Go(func() {
			for call := range modelCalls {
				m.call(client, fmt.Sprintf("%d-%d", caller, call))
				time.Sleep(m.upTo(longestCall / 4))
			}
		})
	}
	callers.Wait()
	client.Close()
	registry.cancel()
	s.closeAll()
	time.Sleep(4 * longestCall) // late answers find nobody
}

// TestCallModel plays scripted processes in virtual time; MODEL_SEED=N plays one seed. What runs at the same virtual time
// may run in any order.
func TestCallModel(t *testing.T) {
	first, count := uint64(0), uint64(modelSeeds)
	if text := os.Getenv("MODEL_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		first, count = seed, 1
	}
	outcomes := map[string]int{}
	for seed := first; seed < first+count; seed++ {
		synctest.Test(t, func(t *testing.T) {
			m := &callModel{random: rand.New(rand.NewPCG(seed, 6)), received: map[string]int{}, refused: map[string]bool{},
				outcomes: map[string]int{}}
			m.play()
			m.mutex.Lock()
			defer m.mutex.Unlock()
			m.settle()
			for _, text := range m.broken {
				t.Errorf("MODEL_SEED=%d: %s", seed, text)
			}
			for outcome, n := range m.outcomes {
				outcomes[outcome] += n
			}
		})
	}
	t.Log(outcomes)
	if count > 1 && (outcomes["answered"] == 0 || outcomes["refused"] == 0 || outcomes["unsent"] == 0 || outcomes["broken"] == 0) {
		t.Error("nothing was shown")
	}
}

// A handler that fails without a text, or gives nothing, must not look like one that has answered.
func TestHandlerWithoutAnswer(t *testing.T) {
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
