// Package environment reads the settings that the platform hands to each process of the system: who it is, where it
// listens, what it may use, and the bounds that hold for it. The file is JSON; fields that are not known are ignored.
package processconfig

import (
	"net/netip"
	"time"
)

// PathVariable is the environment variable that holds the path of the settings file.
const PathVariable = "CINDERROAD_SETTINGS"

// Settings describe one process and its machine.
type Settings struct {
	Node             string            // name of the machine, unique in the system
	Role             string            // name of the role in the deploy file
	MachineClass     string            // "edge" or "core"
	ServesRoles      []string          // "edge", "control_plane", "directory"
	IP               netip.Addr        // address of the machine
	Zone, Region     string            // where the machine stands
	Zones            map[string]string // region of each zone
	ListenOn         Listen
	FreePorts        PortRange
	SeedNodes        []netip.AddrPort // control addresses of up to three machines; hints only
	FirstBoot        bool             // true only at the very first start of the whole system
	CountsAsLoss     bool             // the machine is one of those whose loss Survive counts
	Limits           Limits
	StateDir         string // folder that outlives the process; empty: there is no disk
	SurvivableLosses SurvivableLosses
	Timing           Timing
	CloudAPI         CloudAPI
}

// Listen holds the addresses that the process serves; one that it does not serve is the zero value.
type Listen struct {
	Front, Ready, Control, Directory netip.AddrPort
}

// PortRange is the range of ports, both ends included, that processes of the system use among themselves.
type PortRange struct{ First, Last uint16 }

// Ports within FreePorts, as offsets from its first one.
const (
	ControlRPCPort = 0 // TCP on the machine's address: control replicas, to one another and to agents
	GossipPort     = 1 // UDP on the machine's address: membership
	AgentFeedPort  = 2 // TCP on loopback: agent to proxy
	AgentRPCPort   = 3 // TCP on the machine's address: agents to one another
	ProxyPort      = 4 // UDP on the machine's address: proxies to one another
)

// Port is the port with the given offset from the first free one.
func (s *Settings) Port(offset uint16) uint16 { return s.FreePorts.First + offset }

// AgentFeedAddress is where the agent serves the proxy of its machine: 127.0.0.1, or the machine's own address if that is a
// loopback address itself, since several machines on one host would share 127.0.0.1.
func (s *Settings) AgentFeedAddress() netip.AddrPort {
	address := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	if s.IP.IsLoopback() {
		address = s.IP
	}
	return netip.AddrPortFrom(address, s.Port(AgentFeedPort))
}

// Limits are what the process may use.
type Limits struct {
	CPUFraction float64 // of one core
	RAMMB       int
	OpenFiles   int
	LinkMbps    float64
	StorageMB   int
}

// LinkBytesPerSecond is what the machine's link carries in a direction; 0: no bound is known.
func (l *Limits) LinkBytesPerSecond() float64 { return l.LinkMbps * 1e6 / 8 }

// SurvivableLosses says what may be lost at once while every guarantee still holds.
type SurvivableLosses struct{ Machines, Zones, Regions int }

// Timing holds the bounds of the deployment; a field that the file lacks has the default given by Parse.
type Timing struct {
	SeedLag, ReuseAfter, InTouch, AckWithin, CatchUp, DrainWithin, GracePeriod, LostSlack time.Duration
	ConfigWithin, GoBack, Stretch, Evacuate, Recovery, Pass, TTLMax                       time.Duration
	RetryRatio                                                                            float64       // retries for each request
	RetryWindow                                                                           time.Duration // in which they are counted
	RetryExtra                                                                            float64       // retries beyond the ratio, over all proxies
	SlowStartRateFactor                                                                   float64       // multiple of a service's cold rate that a runner bears
	SlowStartRateAllowance                                                                float64       // requests a second beyond that
}

// CloudAPI is the platform's list of runners.
type CloudAPI struct {
	Address        netip.AddrPort
	CallsPerSecond float64       // calls a second, over the whole system
	MaxLag         time.Duration // how old the list may be
}
