package admission

import (
	"net/netip"
	"testing"

	"cinderroad/internal/shared/eventloop"
)

// newTestLimiter returns a limiter of a process with a socket limit and a memory limit.
func newTestLimiter(t *testing.T, sockets, memoryMB int) *Limiter {
	t.Helper()
	loop, err := eventloop.NewLoop(sockets)
	if err != nil {
		t.Fatal(err)
	}
	return New(loop, memoryMB)
}

// TestJobMemory checks that open jobs get the bytes of their share and none beyond, and what a job that ended had.
func TestJobMemory(t *testing.T) {
	const memoryMB = 16
	limiter := newTestLimiter(t, 100, memoryMB)
	share := memoryMB << 20 * 12 / 100
	if !limiter.ReserveJob(share-10) || !limiter.ReserveJob(10) {
		t.Fatal("the share is not all given out")
	}
	if limiter.ReserveJob(1) {
		t.Error("a byte beyond the share was given out")
	}
	if !limiter.ReserveJob(0) {
		t.Error("a job without a body was rejected")
	}
	limiter.ReleaseJob(10)
	if limiter.ReserveJob(11) || !limiter.ReserveJob(10) {
		t.Error("not the bytes of the job that ended were given out again")
	}
}

// TestJobMemoryLowered checks that jobs which are open when the limit is lowered keep their bytes, and that new ones get
// theirs once the others have ended.
func TestJobMemoryLowered(t *testing.T) {
	limiter := newTestLimiter(t, 100, 16)
	const bytes = 1 << 20
	if !limiter.ReserveJob(bytes) {
		t.Fatal("no memory for one job")
	}
	limiter.SetMemory(4)
	if limiter.ReserveJob(1) {
		t.Error("bytes were given out above the lowered limit")
	}
	limiter.ReleaseJob(bytes)
	if !limiter.ReserveJob(4 << 20 * 12 / 100) {
		t.Error("the lowered share is not all given out")
	}
	limiter.SetMemory(0)
	if !limiter.ReserveJob(bytes) {
		t.Error("without a configured limit there is none for one more job")
	}
}

// TestAdmit checks which connections stay: those within the limits, and those for which another one is closed.
func TestAdmit(t *testing.T) {
	const sockets = 100 // 70 for sessions, 50 for one address
	own, other := netip.MustParseAddr("192.0.2.1"), netip.MustParseAddr("192.0.2.2")
	for _, tc := range []struct {
		name      string
		own       int // open connections of the address that connects
		other     int // of another address
		victim    netip.Addr
		admitted  bool
		evictions int
	}{
		{"within the limits", 49, 20, netip.Addr{}, true, 0},
		{"above the limit of an address, another's to close", 50, 0, other, false, 1},
		{"above the limit of an address, its own to close", 50, 0, own, true, 1},
		{"above the limit of all, another's to close", 30, 40, other, true, 1},
		{"above the limit of all, none to close", 30, 40, netip.Addr{}, false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			limiter := newTestLimiter(t, sockets, 0)
			for range tc.own {
				limiter.Register(own)
			}
			for range tc.other {
				limiter.Register(other)
			}
			evictions := 0
			admitted := limiter.Admit(own, func(mayEvict func(netip.Addr) bool) bool {
				evictions++
				return tc.victim.IsValid() && mayEvict(tc.victim)
			})
			if admitted != tc.admitted || evictions != tc.evictions {
				t.Errorf("admitted %v after %d evictions, want %v after %d", admitted, evictions, tc.admitted, tc.evictions)
			}
			if rejected := limiter.Rejected == 1; rejected == tc.admitted {
				t.Errorf("%d connections counted as rejected", limiter.Rejected)
			}
		})
	}
}

// TestUnregister checks that a connection that ended counts no longer, neither in all nor for its address.
func TestUnregister(t *testing.T) {
	limiter := newTestLimiter(t, 100, 0)
	source := netip.MustParseAddr("192.0.2.1")
	never := func(func(netip.Addr) bool) bool { return false }
	for range 1000 {
		if !limiter.Admit(source, never) {
			t.Fatal("a connection was rejected although none is open")
		}
		limiter.Unregister(source)
	}
	if len(limiter.bySource) != 0 {
		t.Errorf("%d addresses are remembered without a connection", len(limiter.bySource))
	}
}
