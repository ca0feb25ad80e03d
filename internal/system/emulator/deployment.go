package emulator

import (
	"fmt"
	"net/netip"
	"slices"

	"cinderroad/internal/system/policysim"
)

// program is the file name of one of the system's programs.
type program string

// The programs.
const (
	proxy   program = "cinderroad-proxy"
	agent   program = "cinderroad-agent"
	control program = "cinderroad-control"
)

// deployment is the machines of an emulation.
type deployment struct {
	workDir         string
	zones           map[string]string // region of each zone
	zoneNames       []string
	machines        []*machine
	ports           ports
	platformAddress netip.AddrPort
	counters        bool // control machines serve replicated counters
}

// machine is an emulated machine.
type machine struct {
	name  string
	class string // edgeClass or coreClass
	zone  string
	ip    netip.Addr
}

func (m *machine) addressWithPort(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.ip, port) }

// Classes of machines.
const (
	edgeClass = "edge"
	coreClass = "core"
)

// coreMachineCount is the number of machines that run control processes.
const coreMachineCount = 3

// planDeployment places core machines and edge machines in the zones in turn, and chooses ports for them.
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

// addMachine adds the i-th machine of a class. Those of zone n have the addresses 127.0.n.x.
func (d *deployment) addMachine(class string, i int) {
	zone := i % len(d.zoneNames)
	host := byte(1 + 2*(i/len(d.zoneNames)))
	if class == edgeClass {
		host++
	}
	d.machines = append(d.machines, &machine{
		name:  fmt.Sprintf("%s-%d", class, i+1),
		class: class,
		zone:  d.zoneNames[zone],
		ip:    netip.AddrFrom4([4]byte{127, 0, byte(zone + 1), host}),
	})
}

// machinesOfClass returns the machines of a class.
func (d *deployment) machinesOfClass(class string) []*machine {
	return slices.DeleteFunc(slices.Clone(d.machines), func(m *machine) bool { return m.class != class })
}

// seedAddresses returns the control addresses that the settings of every process name.
func (d *deployment) seedAddresses() (addresses []string) {
	for _, m := range d.machinesOfClass(coreClass) {
		addresses = append(addresses, m.addressWithPort(d.ports.control).String())
	}
	return addresses
}

// directories returns the directory addresses, those in the given zone first.
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
