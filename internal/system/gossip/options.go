package gossip

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/processconfig"
)

// Role is what a member does. Its values are sent on the wire.
type Role string

// The roles.
const (
	Edge    Role = "edge"    // an agent, beside a proxy
	Control Role = "control" // a control replica
)

// Serving says whether a member's process takes work from clients.
type Serving string

// The values of Serving, as sent on the wire.
const (
	Starting   Serving = "starting"
	ServingNow Serving = "serving"
	Stopping   Serving = "stopping"
)

// Options configure a Memberlist.
type Options struct {
	Node    string
	Role    Role
	Zone    string
	Zones   map[string]string // region of each zone
	Version string            // version of the program
	Front   string            // address at which clients reach this process, if known at the start

	Listen      netip.AddrPort   // UDP address, at which others reach this process; port 0: any free port
	Seeds       []netip.AddrPort // gossip addresses through which to join
	ControlPort uint16           // RPC port of control replicas
	AgentPort   uint16           // RPC port of agents

	ProbeInterval time.Duration // between probes; shorter detects failures sooner at more traffic; 0: DefaultProbeInterval
	DeadProxyTTL  time.Duration // time that a dead edge counts as a proxy that may be sending; 0: DefaultDeadProxyTTL
	Log           *zap.Logger   // nil: none
	OnChange      func()        // called on the receiving goroutine after the view changed; must not block

	generation uint64 // number of this run of the process; 0: by the time of day
}

// FromSettings returns the options of a process on a machine.
func FromSettings(settings *processconfig.Settings, role Role) Options {
	port := settings.Port(processconfig.GossipPort)
	return Options{
		Node:        settings.Node,
		Role:        role,
		Zone:        settings.Zone,
		Zones:       settings.Zones,
		Listen:      netip.AddrPortFrom(settings.IP, port),
		Seeds:       SeedAddresses(settings),
		ControlPort: settings.Port(processconfig.ControlRPCPort),
		AgentPort:   settings.Port(processconfig.AgentRPCPort),
	}
}

// SeedAddresses returns the gossip addresses of the settings' seeds.
func SeedAddresses(settings *processconfig.Settings) []netip.AddrPort {
	port := settings.Port(processconfig.GossipPort)
	addresses := make([]netip.AddrPort, 0, len(settings.SeedNodes))
	for _, seed := range settings.SeedNodes {
		addresses = append(addresses, netip.AddrPortFrom(seed.Addr(), port))
	}
	return addresses
}
