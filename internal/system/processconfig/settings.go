package processconfig

import (
	"net/netip"
	"slices"
	"time"
)

// Settings describe one process and its machine.
type Settings struct {
	Node             string            // name of the machine, unique in the system
	Role             string            // name of the process's role in the deployment
	MachineClass     string            // "edge" or "core"
	ServesRoles      []string          // roles that the machine serves: "edge", "control_plane", "directory"
	IP               netip.Addr        // address of the machine
	Zone, Region     string            // failure domains of the machine
	Zones            map[string]string // region of each zone
	ListenOn         Listen
	FreePorts        PortRange        // ports for the processes of the system among themselves
	SeedNodes        []netip.AddrPort // control addresses of up to three machines; hints, which may be out of date
	FirstBoot        bool             // true only at the very first start of the system
	CountsAsLoss     bool             // the loss of this machine counts among SurvivableLosses
	Limits           Limits
	StateDir         string // directory that outlives the process; empty: there is no disk
	SurvivableLosses SurvivableLosses
	Timing           Timing
	CloudAPI         CloudAPI
	Promises         []string // what the deployment expects of the system, by names of which most concern others
}

// promiseApart is the promise that counters are served on both sides of a network partition.
const promiseApart = "apart"

// ServesCounters reports whether control machines serve replicated counters.
func (s *Settings) ServesCounters() bool { return slices.Contains(s.Promises, promiseApart) }

// Listen holds the addresses that the process serves. One that it does not serve is the zero value.
type Listen struct {
	Front     netip.AddrPort // requests of clients
	Ready     netip.AddrPort // readiness checks
	Control   netip.AddrPort // the operator's API
	Directory netip.AddrPort // lookups of proxies
}

// Limits are the resources that the process may use; 0: the settings name no limit.
type Limits struct {
	CPUFraction float64 // of one core
	RAMMB       int
	OpenFiles   int
	LinkMbps    float64 // of the machine's network link, in each direction
	StorageMB   int
}

// LinkBytesPerSecond returns the bandwidth of the machine's link in each direction; 0: no limit is known.
func (l *Limits) LinkBytesPerSecond() float64 {
	return l.LinkMbps * 1e6 / 8
}

// SurvivableLosses says how much may be lost at once while every guarantee still holds.
type SurvivableLosses struct{ Machines, Zones, Regions int }

// CloudAPI describes the platform's list of runners.
type CloudAPI struct {
	Address        netip.AddrPort
	CallsPerSecond float64       // that all machines together may make
	MaxLag         time.Duration // greatest age of the list that the platform returns
}
