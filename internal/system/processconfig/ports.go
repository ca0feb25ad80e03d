package processconfig

import (
	"math"
	"net/netip"

	"cinderroad/internal/system/jsonfield"
)

// PortRange is a range of ports, both ends included.
type PortRange struct{ First, Last uint16 }

// Ports of the processes of the system among themselves, as offsets from the first port of Settings.FreePorts.
const (
	ControlRPCPort = 0 // TCP on the machine's address: control replicas, to one another and to agents
	GossipPort     = 1 // UDP on the machine's address: membership
	AgentFeedPort  = 2 // TCP on loopback: agent to proxy
	AgentRPCPort   = 3 // TCP on the machine's address: agents to one another
	ProxyPort      = 4 // UDP on the machine's address: proxies to one another
)

// Port returns the port with an offset from the first free one.
func (s *Settings) Port(offset uint16) uint16 { return s.FreePorts.First + offset }

// AgentFeedAddress returns the address at which the agent serves the proxy of its machine: 127.0.0.1, or the machine's
// own address if that is a loopback address, since several machines on one host would otherwise share 127.0.0.1.
func (s *Settings) AgentFeedAddress() netip.AddrPort {
	address := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	if s.IP.IsLoopback() {
		address = s.IP
	}
	return netip.AddrPortFrom(address, s.Port(AgentFeedPort))
}

// readPort reads an element of the range: the first and the last port.
func (p *PortRange) readPort(index int, value jsonfield.Value) {
	port, ok := value.Int()
	if !ok {
		return
	}
	if port < 1 || port > math.MaxUint16 {
		value.AddProblem("must be a port, 1 to 65535")
		return
	}
	switch index {
	case 0:
		p.First = uint16(port)
	case 1:
		p.Last = uint16(port)
	}
}
