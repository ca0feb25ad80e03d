// Package emulator plays a deployment of the system on one machine: the real programs as processes on loopback, each
// machine at an address of its own, and stand-ins within the emulator's own process for runners, the platform's list,
// the operator and clients. It serves a short day and tells what became of it.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"

	"cinderroad/internal/system/policysim"
)

// program is one of the system's programs.
type program string

// The programs.
const (
	proxy   program = "cinderroad-proxy"
	agent   program = "cinderroad-agent"
	control program = "cinderroad-control"
)

// freePortCount is how many ports each machine keeps free for the programs.
const freePortCount = 8

// deployment is the machines of a day.
type deployment struct {
	workDir         string
	zones           map[string]string // region of each zone
	zoneNames       []string
	machines        []*machine
	ports           ports
	platformAddress netip.AddrPort
}

// machine is one that programs run on.
type machine struct {
	name, class, zone string
	ip                netip.Addr
}

func (m *machine) addressWithPort(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.ip, port) }

// ports are the same on all machines.
type ports struct{ front, ready, control, directory, firstFree uint16 }

// Classes of machines.
const (
	edgeClass = "edge"
	coreClass = "core"
)

// coreMachineCount is how many machines the core has.
const coreMachineCount = 3

// planDeployment lays out machines: a core over the zones in turn, and edges.
func planDeployment(scenario *policysim.Scenario, edges int, folder string) (*deployment, error) {
	d := &deployment{workDir: folder, zones: make(map[string]string)}
	for _, zone := range scenario.Zones {
		d.zones[zone.Name] = zone.Region
		d.zoneNames = append(d.zoneNames, zone.Name)
	}
	for i := range coreMachineCount {
		d.addMachine(coreClass, i)
	}
	for i := range edges {
		d.addMachine(edgeClass, i)
	}
	return d, d.choosePorts()
}

// addMachine adds the i-th machine of a class; zone n has the addresses 127.0.n.x.
func (d *deployment) addMachine(class string, i int) {
	zone := i % len(d.zoneNames)
	host := byte(1 + 2*(i/len(d.zoneNames)))
	if class == edgeClass {
		host++
	}
	d.machines = append(d.machines, &machine{name: fmt.Sprintf("%s-%d", class, i+1), class: class, zone: d.zoneNames[zone],
		ip: netip.AddrFrom4([4]byte{127, 0, byte(zone + 1), host})})
}

// machinesOfClass returns the machines of a class.
func (d *deployment) machinesOfClass(class string) []*machine {
	return slices.DeleteFunc(slices.Clone(d.machines), func(m *machine) bool { return m.class != class })
}

// seedAddresses are the control addresses that every process is told.
func (d *deployment) seedAddresses() (addresses []string) {
	for _, m := range d.machinesOfClass(coreClass) {
		addresses = append(addresses, m.addressWithPort(d.ports.control).String())
	}
	return addresses
}

// directories are the directory addresses, those of a zone first.
func (d *deployment) directories(zone string) []netip.AddrPort {
	var near, far []netip.AddrPort
	for _, m := range d.machinesOfClass(coreClass) {
		if m.zone == zone {
			near = append(near, m.addressWithPort(d.ports.directory))
		} else {
			far = append(far, m.addressWithPort(d.ports.directory))
		}
	}
	return append(near, far...)
}

// Ports are chosen below those that the kernel gives out by itself.
const (
	firstPort    = 12000
	lastPort     = 32000
	portCount    = 4 + freePortCount
	portAttempts = 200
)

// choosePorts finds a range of ports that are free on every machine.
func (d *deployment) choosePorts() error {
	for range portAttempts {
		first := uint16(firstPort + rand.IntN(lastPort-firstPort-portCount))
		if d.portsAreFree(first) {
			d.ports = ports{front: first, ready: first + 1, control: first + 2, directory: first + 3, firstFree: first + 4}
			return nil
		}
	}
	return fmt.Errorf("emulator: no %d ports in a row are free on loopback", portCount)
}

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
