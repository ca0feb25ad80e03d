package eventloop

import (
	"errors"
	"net/netip"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Datagrams are sent and received; one that is too long arrives recognizably truncated; an address in use is
// rejected with the system's own error; a handler may close its socket.
func TestUDPSocket(t *testing.T) {
	loop := newLoop(t, 10)
	freePort := netip.MustParseAddrPort("127.0.0.1:0")
	var sizes []int // of the received datagrams
	var socket *UDPSocket
	socket, err := loop.ListenUDP(freePort, func(datagram []byte) {
		sizes = append(sizes, len(datagram))
		if len(sizes) == 3 {
			socket.Close()
			socket.Close()
			loop.At(loop.Now()+0.05, loop.Stop)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	sender, err := loop.ListenUDP(freePort, func([]byte) { t.Error("unexpected datagram") })
	if err != nil {
		t.Fatal(err)
	}
	if _, err := loop.ListenUDP(socket.Addr(), func([]byte) {}); !errors.Is(err, unix.EADDRINUSE) {
		t.Errorf("an address in use: %v", err)
	}
	loop.Defer(func() {
		for _, size := range []int{0, 100, 5000, 7} { // nobody receives the last one
			if err := sender.SendTo(socket.Addr(), make([]byte, size)); err != nil {
				t.Error(err)
			}
		}
	})
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
	if want := []int{0, 100, maxDatagramBytes}; !slices.Equal(sizes, want) {
		t.Errorf("received datagrams of %v bytes, want %v", sizes, want)
	}
	if loop.OpenSockets() != 0 {
		t.Errorf("%d sockets count toward the limit", loop.OpenSockets())
	}
}

// runDatagramChain runs a loop until handle, which is called for each datagram, returns false. Before that each datagram is
// followed by another one to the same socket, which is received within the same iteration.
func runDatagramChain(t *testing.T, loop *Loop, handle func() (more bool)) {
	t.Helper()
	var socket *UDPSocket
	send := func() {
		if err := socket.SendTo(socket.Addr(), nil); err != nil {
			t.Error(err)
			loop.Stop()
		}
	}
	socket, err := loop.ListenUDP(netip.MustParseAddrPort("127.0.0.1:0"), func([]byte) {
		if handle() {
			send()
		} else {
			loop.Stop()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	loop.Defer(send)
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
}

// A datagram that arrives during a long iteration is dated after it was sent, not at the start of the iteration.
func TestDatagramIsDatedAfterItWasSent(t *testing.T) {
	const handlingTime = 20 * time.Millisecond
	loop := newLoop(t, 10)
	var received []float64
	runDatagramChain(t, loop, func() (more bool) {
		received = append(received, loop.Now())
		if len(received) == 2 {
			return false
		}
		time.Sleep(handlingTime)
		return true
	})
	if len(received) != 2 || received[1]-received[0] < handlingTime.Seconds() {
		t.Errorf("the datagrams were received at %v: the second one was sent %v after the first", received, handlingTime)
	}
}

// The duration of an iteration includes the handling of all datagrams in it, although Now advances with each of them.
func TestLongestIterationIncludesAllDatagrams(t *testing.T) {
	const handlingTime = 20 * time.Millisecond
	const count = 5
	loop := newLoop(t, 10)
	received := 0
	runDatagramChain(t, loop, func() (more bool) {
		time.Sleep(handlingTime)
		received++
		return received < count
	})
	if longest := loop.TakeIterationStats().Longest; longest < count*handlingTime.Seconds() {
		t.Errorf("the longest iteration took %.3f s, and the handling of its datagrams %v", longest, count*handlingTime)
	}
}
