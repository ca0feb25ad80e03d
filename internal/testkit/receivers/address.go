package receivers

import (
	"fmt"
	"net"
	"sync"
	"syscall"
)

const (
	firstPort  = 10000 // below the ephemeral ports, which could be given to another process in the meantime
	portBlock  = 2000  // ports in a block
	portBlocks = 10
)

// portRange is the block of ports that this process uses. Its first port stays open to keep other test processes out
// of the block.
var portRange struct {
	sync.Mutex
	guard net.Listener // at the first port; nil: no block was taken yet
	first int          // first port of the block
	next  int          // offset in the block of the port that was tried last
}

// FreeAddress returns a loopback address with a port that is free for TCP and UDP. No two calls return the same one
// within the length of a block, not even in different processes.
func FreeAddress() (string, error) {
	portRange.Lock()
	defer portRange.Unlock()
	if portRange.guard == nil && !takePortBlock() {
		return "", fmt.Errorf("receivers: all %d blocks of ports are taken", portBlocks)
	}
	for range portBlock {
		portRange.next = portRange.next%(portBlock-1) + 1
		address := fmt.Sprintf("127.0.0.1:%d", portRange.first+portRange.next)
		if isFree(address) {
			return address, nil
		}
	}
	return "", fmt.Errorf("receivers: no port is free from %d on", portRange.first)
}

// takePortBlock takes the first block that no other process has; false if there is none. portRange must be locked.
func takePortBlock() bool {
	for block := range portBlocks {
		first := firstPort + block*portBlock
		guard, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			portRange.guard = guard
			portRange.first = first
			return true
		}
	}
	return false
}

// isFree reports whether an address can be bound for TCP and for UDP. No process is started meanwhile: until it executes
// its program it would hold copies of the sockets opened here, which would keep the port occupied after they are closed.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	packets.Close()
	return true
}
