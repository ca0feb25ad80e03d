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
	mostRows = 40 // of a table on a terminal
	mostBad  = 5  // lines of a file that are named
)

// errBroken ends the audit with status 1.
var errBroken = errors.New("fleet: a rule was broken")

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
			if err == nil && len(r.Broken) > 0 {
				err = errBroken
			}
			return err
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "all that was found, as JSON")
	c.Flags().StringVar(&plot, "plot", "", "`FILE` for a plot of when each member took each version up, as SVG")
	c.Flags().Float64Var(&rules.Grace, "grace", rules.Grace, "`SECONDS` after a drain was told for which new work may still start")
	c.Flags().Float64Var(&rules.Late, "late", rules.Late, "`SECONDS` after the first from which a member that takes a version up counts as late")
	return c
}

// auditFiles audits files, and warns of what is left out.
func auditFiles(rules auditlog.Rules, files []string, warn io.Writer) (*auditlog.Report, error) {
	file, bad := "", 0
	sum := func() {
		if bad > mostBad {
			fmt.Fprintf(warn, "%s: %d lines left out in all\n", file, bad)
		}
	}
	r, err := auditlog.Files(rules, files, func(name string, line int, err error) {
		if name != file {
			sum()
			file, bad = name, 0
		}
		switch bad++; {
		case line == 0:
			fmt.Fprintf(warn, "not read: %v\n", err)
		case bad <= mostBad:
			fmt.Fprintf(warn, "%s: line %d left out: %v\n", name, line, err)
		}
	})
	sum()
	if errors.Is(err, auditlog.ErrNone) {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return r, err
}

func clockOf(at float64) string {
	return time.UnixMicro(int64(at * 1e6)).UTC().Format("2006-01-02 15:04:05.000")
}

func printAudit(to io.Writer, r *auditlog.Report) error {
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { fmt.Fprintf(t, format+"\n", args...) }
	row("MEMBER\tCLOCK AHEAD\tWITHIN\t")
	for _, o := range r.Clocks {
		if o.Known {
			row("%s\t%.3f s\t%.3f s\t%s", o.By, o.Ahead, o.Within, o.Why)
		} else {
			row("%s\t-\t-\t%s", o.By, o.Why)
		}
	}
	row("\nVERSION\tFIRST AT\tBY\tTAKEN UP\tMEDIAN\tLAST\tBY\tNEVER")
	versions := r.Versions
	if len(versions) > mostRows { // those that took longest, in their order
		byLast := slices.Clone(versions)
		slices.SortStableFunc(byLast, func(x, y auditlog.Version) int { return slowest(y) - slowest(x) })
		least := max(1, slowest(byLast[mostRows-1]))
		versions = slices.DeleteFunc(slices.Clone(versions), func(v auditlog.Version) bool { return slowest(v) < least })
		versions = versions[:min(len(versions), mostRows)]
	}
	for _, v := range versions {
		median, last, by := "-", "-", "-"
		if n := len(v.Taken); n > 0 {
			median, last, by = seconds(v.Taken[n/2]), seconds(v.Taken[n-1]), v.Taken[n-1].By
		}
		name := fmt.Sprintf("%s/%d", v.Source, v.Rev)
		if v.Descent > 0 {
			name = fmt.Sprintf("%s#%d/%d", v.Source, v.Descent, v.Rev)
		}
		row("%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d", name, clockOf(v.At), v.First, 1+len(v.Taken), median, last, by, len(v.Never))
	}
	if n := len(r.Versions) - len(versions); n > 0 {
		row("and %d versions that took no longer; --json tells all", n)
	}
	if len(r.Stragglers) > 0 {
		row("\nLATE\tCAUSE\tVERSIONS\tSINCE\tFOR\tSENDS BY THE OLD LIST")
	}
	for _, s := range r.Stragglers {
		span := fmt.Sprintf("%.3f s", s.For)
		if s.Never {
			span += ", to its end"
		}
		row("%s\t%s\t%d to %d\t%s\t%s\t%d", s.By, s.Cause, s.Rev, s.To, clockOf(s.From), span, s.Sends)
	}
	if len(r.Broken) > 0 {
		row("\nRULE BROKEN BY\tRULE\tWORKER\tSENDS\tFIRST JOB\tAT\tLATEST AFTER")
	}
	for _, b := range r.Broken {
		row("%s\t%s\t%s\t%d\t%s\t%s\t%.3f s", b.By, b.Rule, b.Node, b.Sends, b.First, clockOf(b.At), b.Latest)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, list := range []struct {
		title string
		lines []string
	}{{"missing", r.Holes}, {"cannot be told", r.Untold}} {
		for _, line := range list.lines {
			fmt.Fprintf(to, "%s: %s\n", list.title, line)
		}
	}
	_, err := fmt.Fprintf(to, "\n%d sends, %d judged by their marks, %d rules broken\n", r.Sends, r.Judged, len(r.Broken))
	return err
}

// slowest is how long the last member took for a version, in milliseconds.
func slowest(v auditlog.Version) int {
	if len(v.Never) > 0 {
		return 1 << 30
	}
	if n := len(v.Taken); n > 0 {
		return int(v.Taken[n-1].After * 1000)
	}
	return 0
}

func seconds(t auditlog.Taken) string {
	text := fmt.Sprintf("%.3f s", t.After)
	if t.Within >= 0.001 {
		text += fmt.Sprintf(" ±%.3f", t.Within)
	}
	if t.Peer {
		text += " by peers"
	}
	return text
}
