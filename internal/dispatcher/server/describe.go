package server

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"cinderroad/internal/dispatcher/telemetry"
)

// Example is a configuration that serves without a discovery: one data centre, two classes.
//
//go:embed example.json
var Example string

var errNoConfig = errors.New(`no configuration: name its file by --config FILE or in $ROUTER_CONFIG. It says who the dispatcher is,
where it listens and finds discovery, and holds the settings that all dispatchers share, as JSON:

` + Example)

// errorAtLine says where in a JSON text an error is, if it tells.
func errorAtLine(path string, text []byte, err error) error {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	offset := int64(-1)
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &kind):
		offset = kind.Offset
	}
	if offset < 0 || offset > int64(len(text)) {
		return fmt.Errorf("config: %s: %w", path, err)
	}
	return fmt.Errorf("config: %s:%d: %w", path, 1+strings.Count(string(text[:offset]), "\n"), err)
}

// Describe writes what is in force.
func (c *Config) Describe(w io.Writer) error {
	if _, err := c.clusterOptions(); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(name string, format string, a ...any) {
		fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, a...))
	}
	or := func(value, none string) string {
		if value == "" {
			return none
		}
		return value
	}
	line("configuration", "%s", c.path)
	line("name", "%s", c.Name)
	line("listen", "%s", or(c.Listen, "off"))
	line("discovery", "%s", or(c.Discovery, "off"))
	line("second address", "%s", or(c.Console, "off"))
	line("limits", "%d sockets, %d MB", c.Limits.Sockets, c.Limits.MemoryMB)
	line("classes", "%s", strings.Join(c.classNames(), ", "))
	line("data centres", "%s", strings.Join(c.dispatcherSettings.FailureDomains, ", "))
	line("known nodes", "%d", len(c.Known.Entries))
	if c.gearman != nil {
		line("gearman", "%s, %d functions", c.gearman.Listen, len(c.gearman.Functions))
	} else {
		line("gearman", "off")
	}
	f := c.Operator
	line("operator's file", "%s", or(f.Path(), "none"))
	for _, g := range f.Graphite {
		line("graphite", "%s, %s, paths begin %s.%s, confirm %s, patience %v s", g.ParsedAddress, g.Protocol, g.Prefix, telemetry.SanitizeName(c.Name), g.Confirm, g.TimeoutSeconds)
	}
	for _, d := range f.Collectd {
		if d.Socket != "" {
			line("collectd", "%s, patience %v s", d.Socket, d.TimeoutSeconds)
		} else {
			line("collectd", "%s over UDP, security %s %s", d.ParsedAddress, d.Security, d.Username)
		}
	}
	if len(f.Graphite)+len(f.Collectd) == 0 {
		line("figures", "go nowhere")
	} else {
		line("figures", "every %v s, %d bytes held in memory, series of %d nodes", f.Telemetry.IntervalSeconds, f.Telemetry.MemoryBytes, *f.Telemetry.NodeSeries)
	}
	line("spool", "%s", or(f.Telemetry.SpoolDir, "off: totals begin at 0 with each start"))
	if m := f.Cluster; m != nil {
		whole := "all dispatchers are members"
		if !*m.Complete {
			whole = "not all dispatchers are members: nInstances is the least"
		}
		line("fleet", "%s as %s, %s over UDP, others reach it at %s, seeds %s, a probe every %v s, %s", m.Name, c.Name, m.ParsedBind, m.ParsedAdvertise,
			or(strings.Join(m.Seeds, ", "), "none"), m.ProbeIntervalSeconds, whole)
		line("lease", "%v s without a word of discovery", m.LeaseSeconds)
		line("ledger", "%s", or(m.AuditLogPath, "off: no request log, and ledger names no file"))
	} else {
		line("fleet", "off")
	}
	if l := f.RequestLog; l != nil {
		line("request log", "%s, %d bytes, %d older files", l.Path, l.MaxBytes, *l.KeepFiles)
	} else {
		line("request log", "off")
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("check: %w", err)
	}
	return nil
}

// WriteMetricsPage writes the page of all series, docs/figures.md.
func WriteMetricsPage(w io.Writer) error {
	var b strings.Builder
	b.WriteString(`# Figures

Made by ` + "`cinderroad-dispatcher figures --page`" + `; a test holds the two equal. What stands in <> varies: a class or a data centre by its name in
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
