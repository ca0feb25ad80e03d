package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"cinderroad/internal/dispatcher/cluster/auditlog"
)

const (
	maxTableRows     = 40 // of the table of versions
	maxReportedLines = 5  // bad lines of a file that are reported one by one
)

// errViolations ends the command with status 1 after the report is printed.
var errViolations = errors.New("fleet: rules were violated")

const clusterAuditHelp = `Check the audit logs and request logs of many dispatchers, in any order, including rotated files.

Aligns the clocks of the dispatchers and reports when each of them adopted each version of the list, which were late and why, which
attempts were sent by an old list, and which rules were violated: an attempt sent to a worker after the sender had received its drain,
an attempt sent while the sender was out of its lease.
Missing entries are reported, and all others are checked.`

// clusterAuditCommand returns the command that audits the audit logs and request logs of a cluster.
func clusterAuditCommand() *cobra.Command {
	rules := auditlog.DefaultRules
	asJSON := false
	plot := "" // path of a file; empty: none
	c := &cobra.Command{
		Use:   "audit FILE…",
		Short: "Check audit logs and request logs of many dispatchers; exit status 1 if a rule was violated",
		Args:  cobra.MinimumNArgs(1),
		Long:  clusterAuditHelp,
		RunE: func(c *cobra.Command, files []string) error {
			report, err := auditFiles(rules, files, c.ErrOrStderr())
			if err != nil {
				return err
			}
			if plot != "" {
				if err := writePlot(plot, report); err != nil {
					return err
				}
			}
			if asJSON {
				err = json.NewEncoder(c.OutOrStdout()).Encode(report)
			} else {
				err = printAudit(c.OutOrStdout(), report)
			}
			if err == nil && len(report.Violations) > 0 {
				err = errViolations
			}
			return err
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print the whole report as JSON")
	c.Flags().StringVar(&plot, "plot", "", "write a plot of when each member adopted each version to `FILE`, as SVG")
	c.Flags().Float64Var(&rules.Grace, "grace", rules.Grace, "`SECONDS` after a drain was received in which new work may still start")
	c.Flags().Float64Var(&rules.StragglerDelay, "late", rules.StragglerDelay,
		"`SECONDS` after the first member's adoption of a version from which a member counts as late")
	return c
}

// writePlot draws a report into a new file at path.
func writePlot(path string, report *auditlog.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if err := errors.Join(report.Plot(file), file.Close()); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// auditFiles audits files, and writes to warn which lines and files it skips.
func auditFiles(rules auditlog.Rules, files []string, warn io.Writer) (*auditlog.Report, error) {
	file := ""   // that is being read
	skipped := 0 // lines of it
	summarize := func() {
		if skipped > maxReportedLines {
			fmt.Fprintf(warn, "%s: %d lines skipped\n", file, skipped)
		}
	}
	report, err := auditlog.AuditFiles(rules, files, func(name string, line int, err error) {
		if name != file {
			summarize()
			file, skipped = name, 0
		}
		skipped++
		switch {
		case line == 0:
			fmt.Fprintf(warn, "file skipped: %v\n", err)
		case skipped <= maxReportedLines:
			fmt.Fprintf(warn, "%s: line %d skipped: %v\n", name, line, err)
		}
	})
	summarize()
	if errors.Is(err, auditlog.ErrNoEntries) {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return report, err
}
