package operatorconfig

import "fmt"

// Telemetry is how periods are closed and held.
type Telemetry struct {
	IntervalSeconds float64 `toml:"every_s"`
	MemoryBytes     int     `toml:"memory_bytes"`
	SpoolDir        string  `toml:"spool_dir"`
	SpoolBytes      int64   `toml:"spool_bytes"`
	NodeSeries      *int    `toml:"node_series"`
}

// The defaults of telemetry, which deploy/operator.toml tells, too.
const (
	DefaultIntervalSeconds = 10.0 // seconds
	DefaultMemoryBytes     = 1 << 20
	DefaultSpoolBytes      = 64 << 20
	DefaultNodeSeries      = 256 // nodes
)

// Bounds of the keys of telemetry.
const (
	minIntervalSeconds = 1    // seconds
	maxIntervalSeconds = 3600 // seconds
	minMemoryBytes     = 4096
	minSpoolBytes      = 64 << 10
	maxNodeSeries      = 20000
)

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
