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
var errViolations = errors.New("fleet: a rule was broken")

const clusterAuditHelp = `Audit the ledgers and request logs of many dispatchers, in any order, rotated ones among them.

Sets their clocks right against each other and tells when each took up which version of the list, who was late and why, what was
sent by an old list, and which rules were broken: a send to a worker after its sender was told that it gets nothing new, ` +
	`a send out of the lease.
What is missing in the files is told, and the rest is read.`

// clusterAuditCommand returns the command that audits the audit logs and request logs of a cluster.
func clusterAuditCommand() *cobra.Command {
	rules := auditlog.DefaultRules
	asJSON := false
	plot := "" // path of a file; empty: none
	c := &cobra.Command{
		Use:   "audit FILE…",
		Short: "Audit the ledgers and request logs of many dispatchers; status 1 if a rule was broken",
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
	c.Flags().BoolVar(&asJSON, "json", false, "all that was found, as JSON")
	c.Flags().StringVar(&plot, "plot", "", "`FILE` for a plot of when each member took each version up, as SVG")
	c.Flags().Float64Var(&rules.Grace, "grace", rules.Grace, "`SECONDS` after a drain was told for which new work may still start")
	c.Flags().Float64Var(&rules.StragglerDelay, "late", rules.StragglerDelay,
		"`SECONDS` after the first from which a member that takes a version up counts as late")
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
			fmt.Fprintf(warn, "%s: %d lines left out in all\n", file, skipped)
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
			fmt.Fprintf(warn, "not read: %v\n", err)
		case skipped <= maxReportedLines:
			fmt.Fprintf(warn, "%s: line %d left out: %v\n", name, line, err)
		}
	})
	summarize()
	if errors.Is(err, auditlog.ErrNoEntries) {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return report, err
}
