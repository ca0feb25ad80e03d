package rpc

import (
	"context"
	"errors"
	"net"
	"net/netip"
	netrpc "net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const testTimeout = 60 * time.Second

// EchoRequest is the argument of the tests' calls.
type EchoRequest struct {
	Text string
	Wait bool // until the test releases it
}

// EchoReply is the reply of the tests' calls.
type EchoReply struct{ Text string }

var echoCall = Declare[EchoRequest, EchoReply]("Test.Echo")

// echoServer answers echoCall.
type echoServer struct {
	address  netip.AddrPort
	calls    atomic.Int64
	released chan struct{}
	stop     func()
}

func newEchoServer(t *testing.T, address string, limits ServerLimits) *echoServer {
	t.Helper()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &echoServer{address: netip.MustParseAddrPort(listener.Addr().String()), released: make(chan struct{})}
	registry := NewRegistry()
	echoCall.Handle(registry, server.echo)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		if err := Serve(ctx, listener, registry, limits); err != nil {
			t.Error(err)
		}
	}()
	server.stop = sync.OnceFunc(func() {
		cancel()
		<-served
	})
	t.Cleanup(server.stop)
	return server
}

func (s *echoServer) echo(ctx context.Context, request *EchoRequest) (*EchoReply, error) {
	s.calls.Add(1)
	if request.Text == "fail" {
		return nil, errors.New("failed as asked")
	}
	if request.Wait {
		select {
		case <-s.released:
		case <-ctx.Done():
		}
	}
	return &EchoReply{Text: request.Text}, nil
}

func newTestClient(t *testing.T, address netip.AddrPort, options ClientOptions) *Client {
	t.Helper()
	if options.CallTimeout == 0 {
		options.CallTimeout = testTimeout
	}
	client := NewClient(address, options)
	t.Cleanup(client.Close)
	return client
}

func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for " + what)
		}
		<-ticker.C
	}
}

func TestInvoke(t *testing.T) {
	server := newEchoServer(t, "127.0.0.1:0", ServerLimits{})
	client := newTestClient(t, server.address, ClientOptions{})
	for _, text := range []string{"a", "", "b"} {
		reply, err := echoCall.Invoke(context.Background(), client, &EchoRequest{Text: text})
		if err != nil || reply.Text != text {
			t.Fatal(reply, err)
		}
	}
	_, err := echoCall.Invoke(context.Background(), client, &EchoRequest{Text: "fail"})
	var remote *RemoteError
	if !errors.As(err, &remote) || remote.Message != "failed as asked" {
		t.Fatal(err)
	}
	if _, err := echoCall.Invoke(context.Background(), client, &EchoRequest{Text: "after"}); err != nil {
		t.Fatal(err)
	}
}

// TestNetRPCClient calls with net/rpc's own client: the protocol on the wire is that of net/rpc.
func TestNetRPCClient(t *testing.T) {
	server := newEchoServer(t, "127.0.0.1:0", ServerLimits{})
	client, err := netrpc.Dial("tcp", server.address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	var reply EchoReply
	if err := client.Call("Test.Echo", &EchoRequest{Text: "a"}, &reply); err != nil || reply.Text != "a" {
		t.Fatal(reply, err)
	}
	if err := client.Call("Test.Missing", &EchoRequest{}, &reply); err == nil {
		t.Fatal("a missing call was answered")
	}
}

func TestConcurrentCalls(t *testing.T) {
	server := newEchoServer(t, "127.0.0.1:0", ServerLimits{})
	client := newTestClient(t, server.address, ClientOptions{})
	held := make(chan error, 1)
	go func() {
		_, err := echoCall.LongPoll(context.Background(), client, testTimeout, &EchoRequest{Text: "held", Wait: true})
		held <- err
	}()
	waitUntil(t, "the first call", func() bool { return server.calls.Load() == 1 })
	if _, err := echoCall.Invoke(context.Background(), client, &EchoRequest{Text: "a"}); err != nil {
		t.Fatal(err)
	}
	close(server.released)
	if err := <-held; err != nil {
		t.Fatal(err)
	}
}

func TestCallTimeoutDropsSilentConnection(t *testing.T) {
	server := newEchoServer(t, "127.0.0.1:0", ServerLimits{})
	client := newTestClient(t, server.address, ClientOptions{})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := echoCall.Invoke(ctx, client, &EchoRequest{Wait: true})
	var broken *NoReplyError
	if !errors.As(err, &broken) || !errors.Is(err, context.DeadlineExceeded) {
		t.Fatal(err)
	}
	client.mutex.Lock()
	live := client.connection
	client.mutex.Unlock()
	if live != nil {
		t.Error("a silent connection was kept")
	}
	if _, err := echoCall.Invoke(context.Background(), client, &EchoRequest{Text: "a"}); err != nil {
		t.Fatal(err)
	}
}

func TestUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	listener.Close()
	client := newTestClient(t, address, ClientOptions{DialBackoff: time.Millisecond})
	var unreachable *UnreachableError
	if _, err := echoCall.Invoke(context.Background(), client, &EchoRequest{}); !errors.As(err, &unreachable) {
		t.Fatal(err)
	}
	if err := echoCall.Send(context.Background(), client, &EchoRequest{}); !errors.As(err, &unreachable) {
		t.Fatal(err)
	}
}

func TestRedialAfterServerRestart(t *testing.T) {
	server := newEchoServer(t, "127.0.0.1:0", ServerLimits{})
	client := newTestClient(t, server.address, ClientOptions{DialBackoff: time.Millisecond})
	if _, err := echoCall.Invoke(context.Background(), client, &EchoRequest{Text: "a"}); err != nil {
		t.Fatal(err)
	}
	server.stop()
	if _, err := echoCall.Invoke(context.Background(), client, &EchoRequest{Text: "a"}); err == nil {
		t.Fatal("a stopped server answered")
	}
	newEchoServer(t, server.address.String(), ServerLimits{})
	waitUntil(t, "an answer of the new server", func() bool {
		_, err := echoCall.Invoke(context.Background(), client, &EchoRequest{Text: "a"})
		return err == nil
	})
}

func TestMaxPendingSends(t *testing.T) {
	server := newEchoServer(t, "127.0.0.1:0", ServerLimits{})
	client := newTestClient(t, server.address, ClientOptions{MaxPendingSends: 3})
	for range 3 {
		if err := echoCall.Send(context.Background(), client, &EchoRequest{Wait: true}); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := echoCall.Send(ctx, client, &EchoRequest{}); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatal(err)
	}
	close(server.released)
	for range 20 {
		if err := echoCall.Send(context.Background(), client, &EchoRequest{}); err != nil {
			t.Fatal(err)
		}
	}
	waitUntil(t, "all sends", func() bool { return server.calls.Load() == 23 })
}

func TestMaxCallsPerConnection(t *testing.T) {
	server := newEchoServer(t, "127.0.0.1:0", ServerLimits{MaxCallsPerConnection: 2})
	client := newTestClient(t, server.address, ClientOptions{})
	var all sync.WaitGroup
	for range 5 {
		all.Add(1)
		go func() {
			defer all.Done()
			if _, err := echoCall.Invoke(context.Background(), client, &EchoRequest{Wait: true}); err != nil {
				t.Error(err)
			}
		}()
	}
	waitUntil(t, "two calls", func() bool { return server.calls.Load() == 2 })
	close(server.released)
	all.Wait()
}

func TestMaxRequestBytes(t *testing.T) {
	server := newEchoServer(t, "127.0.0.1:0", ServerLimits{MaxRequestBytes: 64 << 10})
	client := newTestClient(t, server.address, ClientOptions{})
	var broken *NoReplyError
	_, err := echoCall.Invoke(context.Background(), client, &EchoRequest{Text: string(make([]byte, 1<<20))})
	if !errors.As(err, &broken) || server.calls.Load() != 0 {
		t.Fatal(err, server.calls.Load())
	}
	for range 10 { // the limit applies to each request
		request := EchoRequest{Text: string(make([]byte, 32<<10))}
		if _, err := echoCall.Invoke(context.Background(), client, &request); err != nil {
			t.Fatal(err)
		}
	}
}

func TestMaxConnections(t *testing.T) {
	server := newEchoServer(t, "127.0.0.1:0", ServerLimits{MaxConnections: 1})
	first := newTestClient(t, server.address, ClientOptions{})
	second := newTestClient(t, server.address, ClientOptions{DialBackoff: time.Millisecond})
	if _, err := echoCall.Invoke(context.Background(), first, &EchoRequest{}); err != nil {
		t.Fatal(err)
	}
	if _, err := echoCall.Invoke(context.Background(), second, &EchoRequest{}); err == nil {
		t.Fatal("a second connection was served")
	}
	first.Close()
	waitUntil(t, "a free place", func() bool {
		_, err := echoCall.Invoke(context.Background(), second, &EchoRequest{})
		return err == nil
	})
}

// TestWriteTimeout reads no replies: the connection is closed, and others are served meanwhile.
func TestWriteTimeout(t *testing.T) {
	server := newEchoServer(t, "127.0.0.1:0", ServerLimits{WriteTimeout: 50 * time.Millisecond})
	socket, err := net.Dial("tcp4", server.address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	stopped := newStream(socket, 1<<30, testTimeout)
	large := string(make([]byte, 1<<20))
	served := make(chan struct{})
	go func() {
		defer close(served)
		for i := uint64(0); ; i++ {
			if stopped.write(&netrpc.Request{ServiceMethod: "Test.Echo", Seq: i}, &EchoRequest{Text: large}) != nil {
				return
			}
		}
	}()
	client := newTestClient(t, server.address, ClientOptions{})
	if _, err := echoCall.Invoke(context.Background(), client, &EchoRequest{Text: "a"}); err != nil {
		t.Fatal(err)
	}
	<-served
}

func TestClose(t *testing.T) {
	server := newEchoServer(t, "127.0.0.1:0", ServerLimits{})
	client := newTestClient(t, server.address, ClientOptions{})
	held := make(chan error, 1)
	go func() {
		_, err := echoCall.Invoke(context.Background(), client, &EchoRequest{Wait: true})
		held <- err
	}()
	waitUntil(t, "the call", func() bool { return server.calls.Load() == 1 })
	client.Close()
	if err := <-held; err == nil {
		t.Fatal("the call of a closed client succeeded")
	}
	if _, err := echoCall.Invoke(context.Background(), client, &EchoRequest{}); err == nil {
		t.Fatal("a closed client called")
	}
}

func BenchmarkInvoke(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	registry := NewRegistry()
	echoCall.Handle(registry, func(_ context.Context, request *EchoRequest) (*EchoReply, error) {
		return &EchoReply{Text: request.Text}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go Serve(ctx, listener, registry, ServerLimits{})
	client := NewClient(netip.MustParseAddrPort(listener.Addr().String()), ClientOptions{})
	defer client.Close()
	request := EchoRequest{Text: string(make([]byte, 200))}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := echoCall.Invoke(context.Background(), client, &request); err != nil {
			b.Fatal(err)
		}
	}
}

// TestServeWaitsForHandlers: Serve returns after the handlers that its end has ended.
func TestServeWaitsForHandlers(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	registry := NewRegistry()
	entered := make(chan struct{})
	var ended atomic.Bool
	echoCall.Handle(registry, func(ctx context.Context, _ *EchoRequest) (*EchoReply, error) {
		close(entered)
		<-ctx.Done()
		ended.Store(true)
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithCancel(context.Background())
	client := newTestClient(t, netip.MustParseAddrPort(listener.Addr().String()), ClientOptions{})
	called := make(chan error, 1)
	go func() {
		_, err := echoCall.Invoke(context.Background(), client, &EchoRequest{})
		called <- err
	}()
	go func() {
		<-entered
		cancel()
	}()
	if err := Serve(ctx, listener, registry, ServerLimits{}); err != nil {
		t.Fatal(err)
	}
	if !ended.Load() {
		t.Error("Serve has returned before a handler")
	}
	<-called
}

// TestServeLeavesHandlerThatHangs: a handler that does not heed its context keeps Serve no longer than handlerStopTimeout.
func TestServeLeavesHandlerThatHangs(t *testing.T) {
	release := make(chan struct{})
	hang := Declare[EchoRequest, EchoReply]("Test.Hang")
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	registry := NewRegistry()
	ctx, cancel := context.WithCancel(context.Background())
	hang.Handle(registry, func(context.Context, *EchoRequest) (*EchoReply, error) {
		cancel()
		<-release
		return nil, errors.New("released")
	})
	client := newTestClient(t, netip.MustParseAddrPort(listener.Addr().String()), ClientOptions{})
	called := make(chan error, 1)
	go func() {
		_, err := hang.Invoke(context.Background(), client, &EchoRequest{})
		called <- err
	}()
	if err := Serve(ctx, listener, registry, ServerLimits{}); err != nil {
		t.Fatal(err)
	}
	close(release)
	<-called
}

// TestCloseWaitsForDial: Close ends a dial in progress and waits for it.
func TestCloseWaitsForDial(t *testing.T) {
	client := NewClient(netip.MustParseAddrPort("127.0.0.1:1"), ClientOptions{DialTimeout: testTimeout})
	dialing := make(chan struct{})
	var ended atomic.Bool
	client.dialTransport = func(ctx context.Context) (net.Conn, error) {
		close(dialing)
		<-ctx.Done()
		ended.Store(true)
		return nil, ctx.Err()
	}
	called := make(chan error, 1)
	go func() {
		_, err := echoCall.Invoke(context.Background(), client, &EchoRequest{})
		called <- err
	}()
	<-dialing
	client.Close()
	if !ended.Load() {
		t.Error("Close has returned before the dial")
	}
	if err := <-called; err == nil {
		t.Error("the call of a closed client succeeded")
	}
}
