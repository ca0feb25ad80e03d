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
	leastEvery       = 1    // seconds
	mostEvery        = 3600 // seconds
	leastMemoryBytes = 4096
	leastSpoolBytes  = 64 << 10
	mostNodes        = 20000
)

func (t *Telemetry) check(wrong sectionError) error {
	if err := checkSeconds(&t.IntervalSeconds, DefaultIntervalSeconds, leastEvery, mostEvery); err != nil {
		return wrong("every_s", err)
	}
	if t.MemoryBytes == 0 {
		t.MemoryBytes = DefaultMemoryBytes
	}
	if t.MemoryBytes < leastMemoryBytes {
		return wrong("memory_bytes", fmt.Errorf("%d is below %d", t.MemoryBytes, leastMemoryBytes))
	}
	if t.SpoolBytes == 0 {
		t.SpoolBytes = DefaultSpoolBytes
	}
	if t.SpoolBytes < leastSpoolBytes {
		return wrong("spool_bytes", fmt.Errorf("%d is below %d", t.SpoolBytes, leastSpoolBytes))
	}
	if t.NodeSeries == nil {
		nodes := DefaultNodeSeries
		t.NodeSeries = &nodes
	}
	if *t.NodeSeries < 0 || *t.NodeSeries > mostNodes {
		return wrong("node_series", fmt.Errorf("%d is not within 0 and %d nodes", *t.NodeSeries, mostNodes))
	}
	return nil
}
