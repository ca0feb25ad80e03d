package main

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"cinderroad/internal/dispatcher/cluster/auditlog"
)

// neverMillis sorts a version that some member never took up before all others.
const neverMillis = 1 << 30

// printAudit writes a report as tables.
func printAudit(out io.Writer, report *auditlog.Report) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { fmt.Fprintf(table, format+"\n", args...) }
	printClocks(row, report)
	printAdoptions(row, report)
	printStragglers(row, report)
	printViolations(row, report)
	if err := table.Flush(); err != nil {
		return err
	}
	for _, list := range []struct {
		title string
		lines []string
	}{{"missing", report.Gaps}, {"cannot be told", report.Inconclusive}} {
		for _, line := range list.lines {
			fmt.Fprintf(out, "%s: %s\n", list.title, line)
		}
	}
	_, err := fmt.Fprintf(out, "\n%d sends, %d judged by their marks, %d rules broken\n",
		report.Attempts, report.Judged, len(report.Violations))
	return err
}

// printClocks writes how the members' clocks differ.
func printClocks(row func(format string, args ...any), report *auditlog.Report) {
	row("MEMBER\tCLOCK AHEAD\tWITHIN\t")
	for _, clock := range report.Clocks {
		if clock.Known {
			row("%s\t%.3f s\t%.3f s\t%s", clock.Dispatcher, clock.Lead, clock.Uncertainty, clock.Reason)
		} else {
			row("%s\t-\t-\t%s", clock.Dispatcher, clock.Reason)
		}
	}
}

// printAdoptions writes when members took each version of the list up.
func printAdoptions(row func(format string, args ...any), report *auditlog.Report) {
	row("\nVERSION\tFIRST AT\tBY\tTAKEN UP\tMEDIAN\tLAST\tBY\tNEVER")
	versions := slowestVersions(report.Versions)
	for _, version := range versions {
		median, last, by := "-", "-", "-"
		if n := len(version.Adoptions); n > 0 {
			slowest := version.Adoptions[n-1]
			median = formatAdoption(version.Adoptions[n/2])
			last = formatAdoption(slowest)
			by = slowest.Dispatcher
		}
		row("%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d",
			formatVersion(version.Source, version.Epoch, version.Revision),
			formatTime(version.At), version.First, 1+len(version.Adoptions),
			median, last, by, len(version.Never))
	}
	if n := len(report.Versions) - len(versions); n > 0 {
		row("and %d versions that took no longer; --json tells all", n)
	}
}

// slowestVersions returns the maxTableRows versions that took longest to reach all members, in the order given.
func slowestVersions(versions []auditlog.Version) []auditlog.Version {
	if len(versions) <= maxTableRows {
		return versions
	}
	byLast := slices.Clone(versions)
	slices.SortStableFunc(byLast, func(x, y auditlog.Version) int { return lastAdoptionMillis(y) - lastAdoptionMillis(x) })
	least := max(1, lastAdoptionMillis(byLast[maxTableRows-1]))
	slowest := slices.DeleteFunc(slices.Clone(versions), func(version auditlog.Version) bool {
		return lastAdoptionMillis(version) < least
	})
	return slowest[:min(len(slowest), maxTableRows)]
}

// printStragglers writes which members took versions up late, and why.
func printStragglers(row func(format string, args ...any), report *auditlog.Report) {
	if len(report.Stragglers) > 0 {
		row("\nLATE\tCAUSE\tVERSIONS\tSINCE\tFOR\tSENDS BY THE OLD LIST")
	}
	for _, straggler := range report.Stragglers {
		span := fmt.Sprintf("%.3f s", straggler.Duration)
		if straggler.Never {
			span += ", to its end"
		}
		row("%s\t%s\t%d to %d\t%s\t%s\t%d",
			straggler.Dispatcher, straggler.Cause, straggler.Revision, straggler.LastRevision,
			formatTime(straggler.Since), span, straggler.Attempts)
	}
}

// printViolations writes which rules were broken.
func printViolations(row func(format string, args ...any), report *auditlog.Report) {
	if len(report.Violations) > 0 {
		row("\nRULE BROKEN BY\tRULE\tWORKER\tSENDS\tFIRST JOB\tAT\tLATEST AFTER")
	}
	for _, violation := range report.Violations {
		row("%s\t%s\t%s\t%d\t%s\t%s\t%.3f s",
			violation.Dispatcher, violation.Rule, violation.Node, violation.Attempts, violation.First,
			formatTime(violation.At), violation.LatestAfter)
	}
}

// lastAdoptionMillis returns how long the last member took to take a version up, in milliseconds: neverMillis if one never did.
func lastAdoptionMillis(version auditlog.Version) int {
	if len(version.Never) > 0 {
		return neverMillis
	}
	if n := len(version.Adoptions); n > 0 {
		return int(version.Adoptions[n-1].After * 1000)
	}
	return 0
}

// formatAdoption returns how long a member took to take a version up, with its uncertainty from 1 ms on.
func formatAdoption(adoption auditlog.Adoption) string {
	text := fmt.Sprintf("%.3f s", adoption.After)
	if adoption.Uncertainty >= 0.001 {
		text += fmt.Sprintf(" ±%.3f", adoption.Uncertainty)
	}
	if adoption.ByPeer {
		text += " by peers"
	}
	return text
}

// formatTime returns a Unix time in seconds as UTC.
func formatTime(at float64) string {
	return time.UnixMicro(int64(at * 1e6)).UTC().Format("2006-01-02 15:04:05.000")
}
