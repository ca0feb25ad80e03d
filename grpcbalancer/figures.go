package grpcbalancer

import (
	"strconv"

	"cinderroad/internal/dispatcher/telemetry"
)

// MetricOptions turn a Dispatcher's figures on.
type MetricOptions struct {
	// Zones and Kinds name them by the numbers that Server has; those without a name go by their number.
	Zones, Kinds []string
	// MaxServers is how many servers have figures of their own at one time, at most.
	MaxServers int
}

// Metric is one figure of a Dispatcher, under the name that the daemon has for it, such as classes.charge.answers.in_time.
type Metric struct {
	Name    string
	Counter bool // a total since New that only grows; else the value of now, or over the time since the last Figures
	Value   float64
}

// Metrics returns all figures that have a value, and begins a new period: latencies are of the time since the call before.
// None without Options.Figures. Whoever sends them on keeps the time.
func (d *Dispatcher) Metrics() (figures []Metric) {
	d.withLock(func() {
		if d.metrics == nil {
			return
		}
		p := d.metrics.Close(0, 0)
		r := p.Read()
		for s, v, ok := r.Next(); ok; s, v, ok = r.Next() {
			figures = append(figures, Metric{s.Name, s.Kind == telemetry.Counter, v})
		}
	})
	return figures
}

// enableMetrics has the core's books kept.
func (d *Dispatcher) enableMetrics(o *MetricOptions) {
	set := &d.options.Settings
	var classes []string
	for _, c := range set.Classes {
		classes = append(classes, c.Name)
	}
	kinds := o.Kinds
	for _, c := range set.Classes {
		for len(kinds) <= c.Kind {
			kinds = append(kinds[:len(kinds):len(kinds)], strconv.Itoa(len(kinds)))
		}
	}
	zones := o.Zones
	for len(zones) < set.Zones {
		zones = append(zones[:len(zones):len(zones)], strconv.Itoa(len(zones)))
	}
	d.metrics = telemetry.New(telemetry.Options{Settings: *set, Classes: classes, Zones: zones, Kinds: kinds, Nodes: o.MaxServers,
		Standing: d.core.WorkerStatus, Now: d.Now})
	d.core.Observer = d.metrics
}
