package receivers

import (
	"net"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
)

// TestFreeAddressWhileProcessesStart: a process that is being started holds copies of all descriptors until it executes
// its program. No address may be returned whose port such a copy still occupies.
func TestFreeAddressWhileProcessesStart(t *testing.T) {
	const starters, addresses = 4, 1000
	// Before the first start of a process the os package tries once, outside of the lock that address.go relies on,
	// whether the kernel has descriptors for processes.
	if err := exec.Command("/bin/true").Run(); err != nil {
		t.Fatal(err)
	}
	var stop atomic.Bool
	var started sync.WaitGroup
	for range starters {
		started.Go(func() {
			for !stop.Load() {
				if err := exec.Command("/bin/true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for range addresses {
		address, err := FreeAddress()
		if err != nil {
			t.Error(err)
			break
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Errorf("an address that was said to be free: %v", err)
			break
		}
		listener.Close()
	}
	stop.Store(true)
	started.Wait()
}
