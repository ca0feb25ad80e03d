package eventloop

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Datagrams come and go; a longer one than anybody may send is seen to be so; an address that is taken is refused by the
// system's own error; a socket may be closed by what it took.
func TestUDPSocket(t *testing.T) {
	loop := newLoop(t, 10)
	any := netip.MustParseAddrPort("127.0.0.1:0")
	var got []int
	var a, b *UDPSocket
	a, err := loop.ListenUDP(any, func(d []byte) {
		if got = append(got, len(d)); len(got) == 3 {
			a.Close()
			a.Close()
			loop.At(loop.Now()+0.05, loop.Stop)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if b, err = loop.ListenUDP(any, func([]byte) { t.Error("nobody sent it") }); err != nil {
		t.Fatal(err)
	}
	if _, err := loop.ListenUDP(a.Addr(), func([]byte) {}); !errors.Is(err, unix.EADDRINUSE) {
		t.Errorf("an address that is taken: %v", err)
	}
	loop.Defer(func() {
		for _, n := range []int{0, 100, 5000, 7} { // the last one comes when nobody is there
			if err := b.SendTo(a.Addr(), make([]byte, n)); err != nil {
				t.Error(err)
			}
		}
	})
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
	if len(got) != 3 || got[0] != 0 || got[1] != 100 || got[2] != maxDatagramBytes {
		t.Errorf("took datagrams of %v bytes", got)
	}
	if loop.OpenSockets() != 0 {
		t.Errorf("%d sockets count as clients'", loop.OpenSockets())
	}
}

// A turn that comes late is told of before anything else in it: before posted work, before what has come, before deadlines.
func TestLateWakeup(t *testing.T) {
	loop := newLoop(t, 10)
	loop.LateWakeupSeconds = 0.2
	var order []string
	loop.OnLateWakeup = func(late float64) {
		if late < 0.2 || late > 25 {
			t.Errorf("%v s late", late)
		}
		order = append(order, "slept")
	}
	loop.At(loop.Now()+0.01, func() {
		loop.Post(func() { order = append(order, "posted") })
		loop.At(loop.Now()+0.01, func() {
			order = append(order, "deadline")
			loop.Stop()
		})
		time.Sleep(400 * time.Millisecond) // as if the process had been stopped
	})
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
	if len(order) < 3 || order[0] != "slept" {
		t.Errorf("order %v", order)
	}
}
