package operatorconfig

import "fmt"

// Telemetry is the section [telemetry]: how often metrics are collected, and how much of them is stored until all
// receivers have them.
type Telemetry struct {
	IntervalSeconds float64 `toml:"every_s"`      // length of a collection interval, the same for all receivers
	MemoryBytes     int     `toml:"memory_bytes"` // of undelivered intervals in memory; the oldest are dropped first
	SpoolDir        string  `toml:"spool_dir"`    // folder that outlives the process; empty: counters restart at 0
	SpoolBytes      int64   `toml:"spool_bytes"`  // of all files in SpoolDir; the oldest are dropped first
	NodeSeries      *int    `toml:"node_series"`  // nodes that may have series of their own; never nil in a checked Config
}

// Defaults of the section [telemetry], as in deploy/operator.toml.
const (
	DefaultIntervalSeconds = 10.0
	DefaultMemoryBytes     = 1 << 20
	DefaultSpoolBytes      = 64 << 20
	DefaultNodeSeries      = 256
)

// Bounds of the section [telemetry].
const (
	minIntervalSeconds = 1
	maxIntervalSeconds = 3600
	minMemoryBytes     = 4096
	minSpoolBytes      = 64 << 10
	maxNodeSeries      = 20000
)

// validate checks the section and applies defaults.
func (t *Telemetry) validate(errorAt keyErrorFunc) error {
	if err := validateSeconds(&t.IntervalSeconds, DefaultIntervalSeconds, minIntervalSeconds, maxIntervalSeconds); err != nil {
		return errorAt("every_s", err)
	}
	if t.MemoryBytes == 0 {
		t.MemoryBytes = DefaultMemoryBytes
	}
	if t.MemoryBytes < minMemoryBytes {
		return errorAt("memory_bytes", fmt.Errorf("%d is below %d", t.MemoryBytes, minMemoryBytes))
	}
	if t.SpoolBytes == 0 {
		t.SpoolBytes = DefaultSpoolBytes
	}
	if t.SpoolBytes < minSpoolBytes {
		return errorAt("spool_bytes", fmt.Errorf("%d is below %d", t.SpoolBytes, minSpoolBytes))
	}
	if t.NodeSeries == nil {
		nodes := DefaultNodeSeries
		t.NodeSeries = &nodes
	}
	if *t.NodeSeries < 0 || *t.NodeSeries > maxNodeSeries {
		return errorAt("node_series", fmt.Errorf("%d is not within 0 and %d nodes", *t.NodeSeries, maxNodeSeries))
	}
	return nil
}
