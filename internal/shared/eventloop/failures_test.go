package eventloop

import (
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"
)

// failingSystem is the kernel, of which one call of an operation fails.
type failingSystem struct {
	*kernel
	operation string
	failAt    int // number of the call that fails, from 1
	err       error
	calls     map[string]int // by operation
}

// fails counts a call and reports whether it is to fail.
func (s *failingSystem) fails(operation string) bool {
	s.calls[operation]++
	return operation == s.operation && s.calls[operation] == s.failAt
}

func (s *failingSystem) Watch(operation, fd int, event unix.EpollEvent) error {
	if s.fails("watch") {
		return s.err
	}
	return s.kernel.Watch(operation, fd, event)
}

func (s *failingSystem) Listen(address netip.AddrPort) (int, error) {
	if s.fails("listen") {
		return -1, s.err
	}
	return s.kernel.Listen(address)
}

func (s *failingSystem) Accept(fd int) (int, error) {
	if s.fails("accept") {
		return -1, s.err
	}
	return s.kernel.Accept(fd)
}

func (s *failingSystem) Connect(address netip.AddrPort) (int, error) {
	if s.fails("connect") {
		return -1, s.err
	}
	return s.kernel.Connect(address)
}

func (s *failingSystem) Read(fd int, b []byte) (int, error) {
	if s.fails("read") {
		return -1, s.err
	}
	return s.kernel.Read(fd, b)
}

func (s *failingSystem) Write(fd int, b []byte) (int, error) {
	if s.fails("write") {
		return -1, s.err
	}
	return s.kernel.Write(fd, b)
}

// TestListenerResumesAfterFailure has the system refuse to watch a listener again that had paused for lack of descriptors: it
// accepts connections all the same, later.
func TestListenerResumesAfterFailure(t *testing.T) {
	system, err := newKernel()
	if err != nil {
		t.Fatal(err)
	}
	// The first calls watch the listener, the client, the listener that pauses, and the client once it is connected; the fifth is
	// to end the pause.
	failing := &failingSystem{kernel: system, operation: "watch", failAt: 5, err: unix.ENOMEM, calls: map[string]int{}}
	loop := NewLoopWithSystem(failing, 100)
	rounds, closed := 1, 0
	listener, err := loop.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(*Conn) Handler {
		return echoHandler{server: true, closed: &closed}
	})
	if err != nil {
		t.Fatal(err)
	}
	loop.Connect(listener.Addr(), echoHandler{rounds: &rounds, closed: &closed, ended: loop.Stop})
	listener.pauseAccepting()
	loop.At(loop.Now()+20, loop.Stop)
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
	if rounds != 0 || failing.calls["watch"] < 6 {
		t.Errorf("%d answers are missing after %d calls", rounds, failing.calls["watch"])
	}
}

// echoHandler is one end of a connection: the server returns what it gets, the client sends again until it has had rounds
// answers.
type echoHandler struct {
	server bool
	rounds *int // answers that the client waits for
	closed *int // connections that have ended
	ended  func()
}

func (h echoHandler) Opened(c *Conn) { c.Write([]byte("ping")) }

func (h echoHandler) Data(c *Conn) {
	received := string(c.Bytes())
	c.Consume(len(received))
	if h.server {
		c.Write([]byte(received))
		return
	}
	if *h.rounds--; *h.rounds > 0 {
		c.Write([]byte("ping"))
		return
	}
	c.Close()
	h.ended()
}

func (h echoHandler) Closed(*Conn, error) {
	*h.closed++
	if !h.server {
		h.ended()
	}
}

// TestFailingSystemCalls has each operation on sockets fail once, at each of its first calls, as it may for lack of
// descriptors or memory, or because the peer has gone. The loop goes on, the connection ends or works, and no descriptor
// stays open.
func TestFailingSystemCalls(t *testing.T) {
	for operation, failures := range map[string][]error{
		"watch":   {unix.ENOMEM, unix.ENOSPC},
		"listen":  {unix.EADDRINUSE, unix.EMFILE},
		"accept":  {unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ECONNABORTED, unix.EINTR},
		"connect": {unix.EMFILE, unix.EADDRNOTAVAIL, unix.ENOBUFS},
		"read":    {unix.ECONNRESET, unix.EINTR, unix.EAGAIN, unix.ETIMEDOUT},
		"write":   {unix.EPIPE, unix.ECONNRESET, unix.EINTR, unix.EAGAIN, unix.ENOBUFS},
	} {
		for _, failure := range failures {
			for failAt := 1; failAt <= 8; failAt++ {
				runEchoWithFailure(t, operation, failAt, failure)
			}
		}
	}
}

// runEchoWithFailure runs a client and a server on a loop of which one call fails.
func runEchoWithFailure(t *testing.T, operation string, failAt int, failure error) {
	t.Helper()
	system, err := newKernel()
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingSystem{kernel: system, operation: operation, failAt: failAt, err: failure, calls: map[string]int{}}
	loop := NewLoopWithSystem(failing, 100)
	timedOut := false
	rounds, closed := 4, 0
	stop := func() { loop.At(loop.Now(), loop.Stop) } // the server sees the end of the connection first
	listener, err := loop.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(*Conn) Handler {
		return echoHandler{server: true, closed: &closed}
	})
	if err != nil {
		if operation != "listen" && operation != "watch" {
			t.Errorf("%s %d, %v: listen: %v", operation, failAt, failure, err)
		}
		loop.closeAll()
		return
	}
	// A client whose connection the server has never accepted waits: that is its own deadline's to end.
	loop.At(loop.Now()+0.2, func() {
		timedOut = true
		loop.Stop()
	})
	loop.Connect(listener.Addr(), echoHandler{rounds: &rounds, closed: &closed, ended: stop})
	if err := loop.Run(); err != nil {
		t.Errorf("%s %d, %v: the loop ended: %v", operation, failAt, failure, err)
	}
	if timedOut {
		t.Errorf("%s %d, %v: %d answers are missing", operation, failAt, failure, rounds)
	}
	if n := loop.OpenSockets(); n != 0 {
		t.Errorf("%s %d, %v: %d sockets are open", operation, failAt, failure, n)
	}
}
