package emulator

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// ports are the ports of the programs; they are the same on all machines.
type ports struct{ front, ready, control, directory, firstFree uint16 }

// Ports are chosen below those that the kernel assigns itself.
const (
	firstPort    = 12000
	lastPort     = 32000
	portCount    = 4 + freePortCount
	portAttempts = 200
)

// choosePorts chooses consecutive ports that are free on every machine.
func (d *deployment) choosePorts() error {
	for range portAttempts {
		first := uint16(firstPort + rand.IntN(lastPort-firstPort-portCount))
		if d.portsAreFree(first) {
			d.ports = ports{
				front:     first,
				ready:     first + 1,
				control:   first + 2,
				directory: first + 3,
				firstFree: first + 4,
			}
			return nil
		}
	}
	return fmt.Errorf("emulator: no %d ports in a row are free on loopback", portCount)
}

// portsAreFree reports whether portCount ports from the first one on are free on every machine.
func (d *deployment) portsAreFree(first uint16) bool {
	for _, m := range d.machines {
		for port := first; port < first+portCount; port++ {
			l, err := net.Listen("tcp", m.addressWithPort(port).String())
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// freePortCount is the number of ports that each machine reserves for the programs among themselves.
const freePortCount = 8
