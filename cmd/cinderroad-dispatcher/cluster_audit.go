package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cinderroad/internal/dispatcher/cluster/auditlog"
)

const (
	maxTableRows     = 40 // of a table on a terminal
	maxReportedLines = 5  // lines of a file that are named
)

// errViolations ends the audit with status 1.
var errViolations = errors.New("fleet: a rule was broken")

func fleetAuditCommand() *cobra.Command {
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

// auditFiles audits files, and warns of what is left out.
func auditFiles(rules auditlog.Rules, files []string, warn io.Writer) (*auditlog.Report, error) {
	file, bad := "", 0
	sum := func() {
		if bad > maxReportedLines {
			fmt.Fprintf(warn, "%s: %d lines left out in all\n", file, bad)
		}
	}
	r, err := auditlog.AuditFiles(rules, files, func(name string, line int, err error) {
		if name != file {
			sum()
			file, bad = name, 0
		}
		switch bad++; {
		case line == 0:
			fmt.Fprintf(warn, "not read: %v\n", err)
		case bad <= maxReportedLines:
			fmt.Fprintf(warn, "%s: line %d left out: %v\n", name, line, err)
		}
	})
	sum()
	if errors.Is(err, auditlog.ErrNoEntries) {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return r, err
}

func formatTime(at float64) string {
	return time.UnixMicro(int64(at * 1e6)).UTC().Format("2006-01-02 15:04:05.000")
}

func printAudit(to io.Writer, r *auditlog.Report) error {
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { fmt.Fprintf(t, format+"\n", args...) }
	row("MEMBER\tCLOCK AHEAD\tWITHIN\t")
	for _, o := range r.Clocks {
		if o.Known {
			row("%s\t%.3f s\t%.3f s\t%s", o.Dispatcher, o.Lead, o.Uncertainty, o.Reason)
		} else {
			row("%s\t-\t-\t%s", o.Dispatcher, o.Reason)
		}
	}
	row("\nVERSION\tFIRST AT\tBY\tTAKEN UP\tMEDIAN\tLAST\tBY\tNEVER")
	versions := r.Versions
	if len(versions) > maxTableRows { // those that took longest, in their order
		byLast := slices.Clone(versions)
		slices.SortStableFunc(byLast, func(x, y auditlog.Version) int { return lastAdoptionMillis(y) - lastAdoptionMillis(x) })
		least := max(1, lastAdoptionMillis(byLast[maxTableRows-1]))
		versions = slices.DeleteFunc(slices.Clone(versions), func(v auditlog.Version) bool { return lastAdoptionMillis(v) < least })
		versions = versions[:min(len(versions), maxTableRows)]
	}
	for _, v := range versions {
		median, last, by := "-", "-", "-"
		if n := len(v.Adoptions); n > 0 {
			median, last, by = formatAdoption(v.Adoptions[n/2]), formatAdoption(v.Adoptions[n-1]), v.Adoptions[n-1].Dispatcher
		}
		name := fmt.Sprintf("%s/%d", v.Source, v.Revision)
		if v.Epoch > 0 {
			name = fmt.Sprintf("%s#%d/%d", v.Source, v.Epoch, v.Revision)
		}
		row("%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d", name, formatTime(v.At), v.First, 1+len(v.Adoptions), median, last, by, len(v.Never))
	}
	if n := len(r.Versions) - len(versions); n > 0 {
		row("and %d versions that took no longer; --json tells all", n)
	}
	if len(r.Stragglers) > 0 {
		row("\nLATE\tCAUSE\tVERSIONS\tSINCE\tFOR\tSENDS BY THE OLD LIST")
	}
	for _, s := range r.Stragglers {
		span := fmt.Sprintf("%.3f s", s.Duration)
		if s.Never {
			span += ", to its end"
		}
		row("%s\t%s\t%d to %d\t%s\t%s\t%d", s.Dispatcher, s.Cause, s.Revision, s.LastRevision, formatTime(s.Since), span, s.Attempts)
	}
	if len(r.Violations) > 0 {
		row("\nRULE BROKEN BY\tRULE\tWORKER\tSENDS\tFIRST JOB\tAT\tLATEST AFTER")
	}
	for _, b := range r.Violations {
		row("%s\t%s\t%s\t%d\t%s\t%s\t%.3f s", b.Dispatcher, b.Rule, b.Node, b.Attempts, b.First, formatTime(b.At), b.LatestAfter)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, list := range []struct {
		title string
		lines []string
	}{{"missing", r.Gaps}, {"cannot be told", r.Inconclusive}} {
		for _, line := range list.lines {
			fmt.Fprintf(to, "%s: %s\n", list.title, line)
		}
	}
	_, err := fmt.Fprintf(to, "\n%d sends, %d judged by their marks, %d rules broken\n", r.Attempts, r.Judged, len(r.Violations))
	return err
}

// lastAdoptionMillis is how long the last member took for a version, in milliseconds.
func lastAdoptionMillis(v auditlog.Version) int {
	if len(v.Never) > 0 {
		return 1 << 30
	}
	if n := len(v.Adoptions); n > 0 {
		return int(v.Adoptions[n-1].After * 1000)
	}
	return 0
}

func formatAdoption(t auditlog.Adoption) string {
	text := fmt.Sprintf("%.3f s", t.After)
	if t.Uncertainty >= 0.001 {
		text += fmt.Sprintf(" ±%.3f", t.Uncertainty)
	}
	if t.ByPeer {
		text += " by peers"
	}
	return text
}
