package grpcbalancer

import (
	"strconv"

	"cinderroad/internal/dispatcher/telemetry"
)

// MetricOptions turn a Dispatcher's metrics on.
type MetricOptions struct {
	// Zones and Kinds are names by the numbers in ServerInfo; those without a name go by their number.
	Zones, Kinds []string
	// MaxServers bounds how many servers have metrics of their own at a time.
	MaxServers int
}

// Metric is one metric of a Dispatcher, under the name that the dispatcher has for it, such as
// classes.charge.answers.in_time.
type Metric struct {
	Name    string
	Counter bool // Value is a total since New; otherwise a current value, or one over the period
	Value   float64
}

// Metrics returns all metrics that have a value, and begins a new period: latencies are of the time since the call before.
// Without Options.Metrics there are none. The caller chooses the period.
func (d *Dispatcher) Metrics() (metrics []Metric) {
	d.withLock(func() {
		if d.metrics == nil {
			return
		}
		period := d.metrics.ClosePeriod(0, 0)
		reader := period.Read()
		for series, value, ok := reader.Next(); ok; series, value, ok = reader.Next() {
			metrics = append(metrics, Metric{series.Name, series.Kind == telemetry.Counter, value})
		}
	})
	return metrics
}

// enableMetrics has the core observed.
func (d *Dispatcher) enableMetrics(options *MetricOptions) {
	settings := &d.options.Settings
	var classes []string
	for _, class := range settings.Classes {
		classes = append(classes, class.Name)
	}
	kinds := options.Kinds
	for _, class := range settings.Classes {
		for len(kinds) <= class.Kind {
			kinds = append(kinds[:len(kinds):len(kinds)], strconv.Itoa(len(kinds)))
		}
	}
	zones := options.Zones
	for len(zones) < settings.Zones {
		zones = append(zones[:len(zones):len(zones)], strconv.Itoa(len(zones)))
	}
	d.metrics = telemetry.New(telemetry.Options{
		Settings:     *settings,
		Classes:      classes,
		Zones:        zones,
		Kinds:        kinds,
		MaxNodes:     options.MaxServers,
		WorkerStatus: d.core.WorkerStatus,
		Now:          d.Now,
	})
	d.core.Observer = d.metrics
}
