package server

import (
	"fmt"
	"io"
	"strings"

	"cinderroad/internal/dispatcher/telemetry"
	"cinderroad/loadbalancer"
)

// WriteMetricsPage writes the page that lists all series, docs/figures.md.
func WriteMetricsPage(w io.Writer) error {
	var b strings.Builder
	b.WriteString(`# Figures

Made by ` + "`cinderroad-dispatcher figures --page`" + `; a test holds the two equal. What stands in <> varies: ` +
		`a class or a data centre by its name in
the settings, cleaned to letters, digits, _ and -; a slot is a number that nodes hold in turn (see [telemetry](telemetry.md)).

In Graphite a path is the prefix, the dispatcher's name and the name here. In collectd the host is the dispatcher, the plug-in is
cinderroad, the type is derive for counters and gauge for gauges, and the type instance is the name with _ for each dot.

| name | kind | unit | meaning |
|---|---|---|---|
`)
	for _, d := range MetricDocs() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", d.Pattern, d.Kind, d.Unit, d.Help)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// MetricDocs returns the documentation of every series that a dispatcher can report, whatever its configuration.
func MetricDocs() []telemetry.SeriesDoc {
	set := telemetry.New(telemetry.Options{Settings: loadbalancer.Settings{}, MaxNodes: 1})
	addMetrics(nil, set)
	addReportingMetrics(nil, set)
	return set.Docs()
}
