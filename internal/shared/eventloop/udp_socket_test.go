package eventloop

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Datagrams are sent and received; one that is too long arrives recognizably truncated; an address in use is
// rejected with the system's own error; a handler may close its socket.
func TestUDPSocket(t *testing.T) {
	loop := newLoop(t, 10)
	any := netip.MustParseAddrPort("127.0.0.1:0")
	var got []int
	var socket, b *UDPSocket
	socket, err := loop.ListenUDP(any, func(d []byte) {
		if got = append(got, len(d)); len(got) == 3 {
			socket.Close()
			socket.Close()
			loop.At(loop.Now()+0.05, loop.Stop)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if b, err = loop.ListenUDP(any, func([]byte) { t.Error("unexpected datagram") }); err != nil {
		t.Fatal(err)
	}
	if _, err := loop.ListenUDP(socket.Addr(), func([]byte) {}); !errors.Is(err, unix.EADDRINUSE) {
		t.Errorf("an address in use: %v", err)
	}
	loop.Defer(func() {
		for _, n := range []int{0, 100, 5000, 7} { // nobody receives the last one
			if err := b.SendTo(socket.Addr(), make([]byte, n)); err != nil {
				t.Error(err)
			}
		}
	})
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
	if len(got) != 3 || got[0] != 0 || got[1] != 100 || got[2] != maxDatagramBytes {
		t.Errorf("received datagrams of %v bytes", got)
	}
	if loop.OpenSockets() != 0 {
		t.Errorf("%d sockets count toward the limit", loop.OpenSockets())
	}
}

// A datagram that arrives during a long iteration is dated after it was sent, not at the start of the iteration.
func TestDatagramIsDatedAfterItWasSent(t *testing.T) {
	const handlingTime = 20 * time.Millisecond
	loop := newLoop(t, 10)
	var socket *UDPSocket
	var received []float64
	socket, err := loop.ListenUDP(netip.MustParseAddrPort("127.0.0.1:0"), func([]byte) {
		if received = append(received, loop.Now()); len(received) == 2 {
			loop.Stop()
			return
		}
		time.Sleep(handlingTime)
		if err := socket.SendTo(socket.Addr(), nil); err != nil { // it is received within this iteration
			t.Error(err)
			loop.Stop()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	loop.Defer(func() {
		if err := socket.SendTo(socket.Addr(), nil); err != nil {
			t.Error(err)
		}
	})
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
	if len(received) != 2 || received[1]-received[0] < handlingTime.Seconds() {
		t.Errorf("the datagrams were received at %v: the second one was sent %v after the first", received, handlingTime)
	}
}
