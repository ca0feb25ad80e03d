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

func clusterAuditCommand() *cobra.Command {
	rules, asJSON, plot := auditlog.DefaultRules, false, ""
	c := &cobra.Command{Use: "audit FILE…", Short: "Audit the ledgers and request logs of many dispatchers; status 1 if a rule was broken", Args: cobra.MinimumNArgs(1),
		Long: `Audit the ledgers and request logs of many dispatchers, in any order, rotated ones among them.

Sets their clocks right against each other and tells when each took up which version of the list, who was late and why, what was
sent by an old list, and which rules were broken: a send to a worker after its sender was told that it gets nothing new, a send out of the lease.
What is missing in the files is told, and the rest is read.`,
		RunE: func(c *cobra.Command, files []string) error {
			r, err := auditFiles(rules, files, c.ErrOrStderr())
			if err != nil {
				return err
			}
			if plot != "" {
				f, err := os.Create(plot)
				if err != nil {
					return fmt.Errorf("fleet: %w", err)
				}
				if err := errors.Join(r.Plot(f), f.Close()); err != nil {
					return fmt.Errorf("fleet: %w", err)
				}
			}
			if asJSON {
				err = json.NewEncoder(c.OutOrStdout()).Encode(r)
			} else {
				err = printAudit(c.OutOrStdout(), r)
			}
			if err == nil && len(r.Violations) > 0 {
				err = errViolations
			}
			return err
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "all that was found, as JSON")
	c.Flags().StringVar(&plot, "plot", "", "`FILE` for a plot of when each member took each version up, as SVG")
	c.Flags().Float64Var(&rules.Grace, "grace", rules.Grace, "`SECONDS` after a drain was told for which new work may still start")
	c.Flags().Float64Var(&rules.StragglerDelay, "late", rules.StragglerDelay, "`SECONDS` after the first from which a member that takes a version up counts as late")
	return c
}

// auditFiles audits files, and writes to warn which lines and files it skips.
func auditFiles(rules auditlog.Rules, files []string, warn io.Writer) (*auditlog.Report, error) {
	file, skipped := "", 0
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
		switch skipped++; {
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
