// Package hollow measures what a system of many machines costs its control group and each of its agents: the real
// control processes run as processes of their own, and the real agents of many edge machines together in one process,
// without proxies, on loopback. What it yields are the slopes that capacity is worked out from.
package hollow

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"cinderroad/internal/system/processconfig"
)

// Ports of a machine, as offsets from the first free one.
const (
	controlPort   = 4
	directoryPort = 5
	portSpan      = 6
)

// controlMachines are those of the control group.
const controlMachines = 3

// gracePeriod of all processes: they have nothing to end.
const gracePeriod = time.Second

// Options are a system's.
type Options struct {
	Agents  int
	Zones   int
	Runners int    // on the platform's list
	Routes  int    // of the configuration
	Folder  string // for settings, disks and logs
	// Control is the program and the arguments that run a control process. CINDERROAD_SETTINGS tells it its settings.
	Control []string
}

// settingsFile is what a settings file holds, as far as control processes read it.
type settingsFile struct {
	Node         string            `json:"node"`
	Role         string            `json:"role"`
	MachineClass string            `json:"machine_class"`
	IP           netip.Addr        `json:"ip"`
	Zone         string            `json:"zone"`
	Region       string            `json:"region"`
	Zones        map[string]string `json:"zones"`
	ListenOn     map[string]string `json:"listen_on"`
	FreePorts    [2]uint16         `json:"free_ports"`
	SeedNodes    []string          `json:"seed_nodes"`
	FirstBoot    bool              `json:"first_boot"`
	CountsAsLoss bool              `json:"counts_as_loss"`
	StateDir     string            `json:"state_dir"`
	Survive      surviveFields     `json:"survive"`
	Timing       timingFields      `json:"timing"`
	CloudAPI     cloudFields       `json:"cloud_api"`
}

type surviveFields struct {
	MachineLosses int `json:"machine_losses"`
	Zones         int `json:"zones"`
}

type timingFields struct {
	GracePeriodS float64 `json:"grace_period_s"`
	TTLMaxS      float64 `json:"ttl_max_s"`
}

type cloudFields struct {
	Address  string  `json:"address"`
	RatePerS float64 `json:"rate_per_s"`
	MaxLagMS int     `json:"max_lag_ms"`
}

// world is what all machines of a system have in common.
type world struct {
	options  Options
	first    uint16 // of the free ports
	zones    map[string]string
	platform netip.AddrPort
}

func (w *world) zone(i int) string { return fmt.Sprint("zone-", i%w.options.Zones) }

// controlAddress is the address of a control machine.
func controlAddress(i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 30, 0, byte(i + 1)}) }

// edgeAddress is the address of an edge machine.
func edgeAddress(i int) netip.Addr {
	const machines = 250 // of one byte
	return netip.AddrFrom4([4]byte{127, 30, byte(1 + i/machines), byte(1 + i%machines)})
}

func (w *world) seeds() []string {
	var seeds []string
	for i := range controlMachines {
		seeds = append(seeds, netip.AddrPortFrom(controlAddress(i), w.first+controlPort).String())
	}
	return seeds
}

// settingsOf is the file of a machine.
func (w *world) settingsOf(node, class string, address netip.Addr, zone string) *settingsFile {
	return &settingsFile{
		Node: node, Role: class, MachineClass: class, IP: address, Zone: zone, Region: w.zones[zone], Zones: w.zones,
		ListenOn:  map[string]string{},
		FreePorts: [2]uint16{w.first, w.first + portSpan - 1},
		SeedNodes: w.seeds(),
		FirstBoot: true,
		Survive:   surviveFields{MachineLosses: 1, Zones: 1},
		Timing:    timingFields{GracePeriodS: gracePeriod.Seconds(), TTLMaxS: 1},
		CloudAPI:  cloudFields{Address: w.platform.String(), RatePerS: 100, MaxLagMS: 100},
	}
}

// controlSettings writes the settings of a control machine and returns the file's path.
func (w *world) controlSettings(i int) (string, error) {
	node := fmt.Sprint("core-", i+1)
	folder := filepath.Join(w.options.Folder, node)
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return "", errors.Wrap(err, "folder of a control machine")
	}
	settings := w.settingsOf(node, "core", controlAddress(i), w.zone(i))
	settings.CountsAsLoss, settings.StateDir = true, folder
	settings.ListenOn["control"] = netip.AddrPortFrom(controlAddress(i), w.first+controlPort).String()
	settings.ListenOn["directory"] = netip.AddrPortFrom(controlAddress(i), w.first+directoryPort).String()
	body, err := json.Marshal(settings)
	if err != nil {
		return "", errors.Wrap(err, "settings")
	}
	path := filepath.Join(w.options.Folder, node+".json")
	return path, errors.Wrap(os.WriteFile(path, body, 0o600), "settings")
}

// edgeSettings are those of an edge machine.
func (w *world) edgeSettings(i int) (*processconfig.Settings, error) {
	file := w.settingsOf(fmt.Sprintf("edge-%03d", i+1), "edge", edgeAddress(i), w.zone(i))
	body, err := json.Marshal(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	settings, err := processconfig.Parse(body)
	return settings, errors.Wrap(err, "settings of an edge machine")
}

// freePorts returns the first of a few ports that the control machines have free.
func freePorts() (uint16, error) {
	const tries = 100
	for range tries {
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(controlAddress(0), 0).String())
		if err != nil {
			return 0, errors.Wrap(err, "port")
		}
		first := listener.Addr().(*net.TCPAddr).AddrPort().Port()
		if err := listener.Close(); err != nil {
			return 0, errors.Wrap(err, "port")
		}
		if first < 1<<16-portSpan && allFree(first) {
			return first, nil
		}
	}
	return 0, errors.New("no range of ports is free on all machines")
}

func allFree(first uint16) bool {
	for i := range controlMachines {
		for port := first; port < first+portSpan; port++ {
			listener, err := net.Listen("tcp4", netip.AddrPortFrom(controlAddress(i), port).String())
			if err != nil {
				return false
			}
			if listener.Close() != nil {
				return false
			}
		}
	}
	return true
}
