package emulator

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"cinderroad/internal/testkit/engine"
)

// settings is the settings file of a process, in the form that package processconfig reads. The types there say what the
// fields mean that a process reads; the others are in the files of a platform, too, and have no effect.
type settings struct {
	Node         string            `json:"node"`
	Role         string            `json:"role"`
	MachineClass string            `json:"machine_class"`
	ServesRoles  []string          `json:"serves_roles"`
	IP           netip.Addr        `json:"ip"`
	Zone         string            `json:"zone"`
	Region       string            `json:"region"`
	Zones        map[string]string `json:"zones"`
	ListenOn     map[string]string `json:"listen_on"`
	FreePorts    [2]uint16         `json:"free_ports"`
	SeedNodes    []string          `json:"seed_nodes"`
	FirstBoot    bool              `json:"first_boot"`
	CountsAsLoss bool              `json:"counts_as_loss"`
	Limits       limits            `json:"limits"`
	StateDir     *string           `json:"state_dir"`
	FoundVia     string            `json:"found_via"`
	EntryKind    string            `json:"entry_kind"`
	BeatEvery    int               `json:"beat_every_ms"`
	Promises     []string          `json:"promises"`
	Survive      survive           `json:"survive"`
	Timing       timing            `json:"timing"`
	CloudAPI     cloudAPI          `json:"cloud_api"`
}

type limits struct {
	CPUFraction float64 `json:"cpu_fraction"`
	CPUCores    int     `json:"cpu_cores"`
	RAMMB       int     `json:"ram_mb"`
	OpenFiles   int     `json:"open_files"`
	LinkMbps    float64 `json:"link_mbps"`
	StorageMB   int     `json:"storage_mb"`
}

type survive struct {
	MachineLosses int `json:"machine_losses"`
	Zones         int `json:"zones"`
	RegionLosses  int `json:"region_losses"`
}

// timing holds times and rates that the programs and the checks of an emulation have in common.
type timing struct {
	SeedLagS       int     `json:"seed_lag_s"`
	ReuseAfterS    int     `json:"reuse_after_s"`
	InTouchMS      int     `json:"in_touch_ms"`
	AckWithinMS    int     `json:"ack_within_ms"`
	CatchUpS       int     `json:"catch_up_s"`
	DrainWithinMS  int     `json:"drain_within_ms"`
	GracePeriodS   int     `json:"grace_period_s"`
	LostSlackMS    int     `json:"lost_slack_ms"`
	ConfigWithinMS int     `json:"config_within_ms"`
	GoBackMS       int     `json:"go_back_ms"`
	StretchMS      int     `json:"stretch_ms"`
	RetryRatio     float64 `json:"retry_ratio"`
	RetryWindowS   int     `json:"retry_window_s"`
	RetryExtra     float64 `json:"retry_extra"`
	ColdExcess     float64 `json:"cold_excess"`
	ColdSlack      float64 `json:"cold_slack"`
	EvacuateMS     int     `json:"evacuate_ms"`
	RecoveryS      int     `json:"recovery_s"`
	PassMS         int     `json:"pass_ms"`
	AgainS         int     `json:"again_s"`
	TTLMaxS        int     `json:"ttl_max_s"`
	MergeWithinMS  int     `json:"merge_within_ms,omitempty"`
}

type cloudAPI struct {
	Address  string   `json:"address"`
	RatePerS float64  `json:"rate_per_s"`
	Jobs     []string `json:"jobs"`
	MaxLagMS int      `json:"max_lag_ms"`
}

// defaultTiming holds the bounds of the emulated deployment.
var defaultTiming = timing{
	SeedLagS:       3,
	ReuseAfterS:    2,
	InTouchMS:      4000,
	AckWithinMS:    5000,
	CatchUpS:       4,
	DrainWithinMS:  4000,
	GracePeriodS:   8,
	LostSlackMS:    200,
	ConfigWithinMS: 2500,
	GoBackMS:       250,
	StretchMS:      6000,
	RetryRatio:     0.2,
	RetryWindowS:   10,
	RetryExtra:     54,
	ColdExcess:     1.5,
	ColdSlack:      5,
	EvacuateMS:     5000,
	RecoveryS:      12,
	PassMS:         300,
	TTLMaxS:        5,
}

// slowStartFailureFactor is the multiple of its rate at which an emulated runner in slow start crashes.
const slowStartFailureFactor = 4

func (t *timing) slowStart(rate float64) engine.SlowStart {
	return engine.SlowStart{
		Rate:          rate,
		MaxMultiple:   t.ColdExcess,
		Allowance:     t.ColdSlack,
		CrashMultiple: slowStartFailureFactor,
	}
}

// Limits of the emulated platform.
const (
	platformCallsPerSecond = 42
	platformLagMS          = 800 // until its list shows a change
	platformPageSize       = 50  // entries
)

// Limits of a process. A proxy sizes its memory and its connections by them; nothing on the machine enforces them.
const (
	ramMB     = 284
	openFiles = 4096
	diskMB    = 128
)

// diskOf returns the folder that stands for a machine's disk.
func (d *deployment) diskOf(m *machine) string { return filepath.Join(d.workDir, m.name+"-disk") }

// settingsOf returns the settings of a process on a machine.
func (d *deployment) settingsOf(m *machine, p program, firstBoot bool) settings {
	s := settings{
		Node:         m.name,
		Role:         string(p),
		MachineClass: m.class,
		ServesRoles:  []string{},
		IP:           m.ip,
		Zone:         m.zone,
		Region:       d.zones[m.zone],
		Zones:        d.zones,
		ListenOn:     map[string]string{},
		FreePorts: [2]uint16{d.ports.firstFree,
			d.ports.firstFree + freePortCount - 1},
		SeedNodes: d.seedAddresses(),
		FirstBoot: firstBoot,
		FoundVia:  "cloud_api",
		EntryKind: "directory",
		BeatEvery: 1200,
		Promises:  []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places"},
		Limits:    limits{CPUFraction: 1, CPUCores: 1, RAMMB: ramMB, OpenFiles: openFiles, LinkMbps: 1000},
		Survive:   survive{MachineLosses: 1, Zones: 1},
		Timing:    defaultTiming,
		CloudAPI: cloudAPI{
			Address:  d.platformAddress.String(),
			RatePerS: platformCallsPerSecond,
			Jobs:     []string{},
			MaxLagMS: platformLagMS,
		},
	}
	if d.counters {
		s.Promises = append(s.Promises, "apart")
		s.Timing.MergeWithinMS = mergeWithinMS
	}
	switch p {
	case proxy:
		s.ServesRoles = []string{"edge"}
		s.ListenOn["front"] = m.addressWithPort(d.ports.front).String()
		s.ListenOn["ready"] = m.addressWithPort(d.ports.ready).String()
	case control:
		s.ServesRoles = []string{"control_plane", "directory"}
		s.ListenOn["control"] = m.addressWithPort(d.ports.control).String()
		s.ListenOn["directory"] = m.addressWithPort(d.ports.directory).String()
		s.CountsAsLoss = true
		s.Limits.StorageMB = diskMB
		folder := d.diskOf(m)
		s.StateDir = &folder
	}
	return s
}

// writeSettings writes the settings file of a process, and creates its state directory.
func (d *deployment) writeSettings(m *machine, p program, firstBoot bool) (path string, err error) {
	s := d.settingsOf(m, p, firstBoot)
	if s.StateDir != nil {
		if err := os.MkdirAll(*s.StateDir, 0o750); err != nil {
			return "", err
		}
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return "", fmt.Errorf("settings of %s: %w", m.name, err)
	}
	path = filepath.Join(d.workDir, m.name+"-"+string(p)+".json")
	return path, os.WriteFile(path, text, 0o640)
}
