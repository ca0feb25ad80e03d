package receivers

import (
	"fmt"
	"net"
	"sync"
)

const (
	firstPort  = 10000 // below the ports that the system gives out by itself: one of those could go to somebody else meanwhile
	portBlock  = 2000
	portBlocks = 10
)

// ports are those of this process: a block of them that a socket of ours guards against other test processes.
var ports struct {
	sync.Mutex
	guard net.Listener
	first int
	next  int
}

// FreeAddress is an address on the loopback whose port nobody has, for TCP and for UDP. Two calls, in this process or in another
// that calls it, never get the same one within a block's length.
func FreeAddress() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	if ports.guard == nil {
		for b := range portBlocks {
			first := firstPort + b*portBlock
			if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err == nil {
				ports.guard, ports.first = l, first
				break
			}
		}
		if ports.guard == nil {
			return "", fmt.Errorf("standin: all %d blocks of ports are taken", portBlocks)
		}
	}
	for range portBlock {
		ports.next = ports.next%(portBlock-1) + 1
		addr := fmt.Sprintf("127.0.0.1:%d", ports.first+ports.next)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		l.Close()
		p, err := net.ListenPacket("udp", addr)
		if err != nil {
			continue
		}
		p.Close()
		return addr, nil
	}
	return "", fmt.Errorf("standin: no port is free from %d on", ports.first)
}
