package server

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"cinderroad/internal/dispatcher/telemetry"
)

// Describe writes the configuration that is in force, a line an entry.
func (c *Config) Describe(w io.Writer) error {
	if _, err := c.clusterOptions(); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(name string, format string, values ...any) {
		fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, values...))
	}
	c.describeServing(line)
	c.describeMetrics(line)
	c.describeCluster(line)
	if log := c.Operator.RequestLog; log != nil {
		line("request log", "%s, %d bytes, %d older files", log.Path, log.MaxBytes, *log.KeepFiles)
	} else {
		line("request log", "off")
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("check: %w", err)
	}
	return nil
}

// describeServing describes the fronts, discovery and the shared settings.
func (c *Config) describeServing(line func(name, format string, values ...any)) {
	line("configuration", "%s", c.path)
	line("name", "%s", c.Name)
	line("listen", "%s", cmp.Or(c.Listen, "off"))
	line("discovery", "%s", cmp.Or(c.Discovery, "off"))
	line("admin server", "%s", cmp.Or(c.Console, "off"))
	line("limits", "%d sockets, %d MB", c.Limits.Sockets, c.Limits.MemoryMB)
	line("classes", "%s", strings.Join(c.classNames(), ", "))
	line("data centres", "%s", strings.Join(c.dispatcherSettings.FailureDomains, ", "))
	line("known nodes", "%d", len(c.Known.Entries))
	if c.gearman != nil {
		line("gearman", "%s, %d functions", c.gearman.Listen, len(c.gearman.Functions))
	} else {
		line("gearman", "off")
	}
	line("operator's file", "%s", cmp.Or(c.Operator.Path(), "none"))
}

// describeMetrics describes where metrics go.
func (c *Config) describeMetrics(line func(name, format string, values ...any)) {
	operator := c.Operator
	settings := operator.Telemetry
	for _, g := range operator.Graphite {
		line("graphite", "%s, %s, paths begin %s.%s, confirm %s, patience %v s",
			g.ParsedAddress, g.Protocol, g.Prefix, telemetry.SanitizeName(c.Name), g.Confirm, g.TimeoutSeconds)
	}
	for _, d := range operator.Collectd {
		if d.Socket != "" {
			line("collectd", "%s, patience %v s", d.Socket, d.TimeoutSeconds)
		} else {
			line("collectd", "%s over UDP, security %s %s", d.ParsedAddress, d.Security, d.Username)
		}
	}
	if len(operator.Graphite)+len(operator.Collectd) == 0 {
		line("metrics", "not sent")
	} else {
		line("metrics", "every %v s, at most %d bytes buffered, series of at most %d nodes",
			settings.IntervalSeconds, settings.MemoryBytes, *settings.NodeSeries)
	}
	line("spool", "%s", cmp.Or(settings.SpoolDir, "off: totals restart at 0 with each start"))
}

// describeCluster describes the membership of the cluster.
func (c *Config) describeCluster(line func(name, format string, values ...any)) {
	fleet := c.Operator.Cluster
	if fleet == nil {
		line("fleet", "off")
		return
	}
	completeness := "all dispatchers are members"
	if !*fleet.Complete {
		completeness = "not all dispatchers are members: nInstances is the minimum"
	}
	seeds := cmp.Or(strings.Join(fleet.Seeds, ", "), "none")
	line("fleet", "%s as %s, %s over UDP, advertised as %s, seeds %s, a probe every %v s, %s",
		fleet.Name, c.Name, fleet.ParsedBind, fleet.ParsedAdvertise, seeds, fleet.ProbeIntervalSeconds, completeness)
	line("lease", "expires %v s after the last update of discovery", fleet.LeaseSeconds)
	line("ledger", "%s", cmp.Or(fleet.AuditLogPath, "off: neither a request log nor a ledger file is configured"))
}
