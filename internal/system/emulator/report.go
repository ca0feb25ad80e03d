package emulator

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"cinderroad/internal/testkit/checker"
	"cinderroad/internal/testkit/client"
	"cinderroad/internal/testkit/fakeplatform"
	"cinderroad/internal/testkit/runner"
)

// Report is the result of an emulation.
type Report struct {
	Clients          client.Stats
	Runners          []runner.Stats
	Platform         fakeplatform.Stats
	RepeatedRequests int // requests that were sent to another runner after a first one
	Processes        []ProcessReport
	Violations       []checker.Violation
	RunnerErrors     []error                  // of replacements that did not start; the system has to bear that they are missing
	CutRequests      map[checker.CutCause]int // that a runner had got
	SlowedSamples    int                      // of machines that waited for a processor; rules with a bound in time did not hold for them
	LogDir           string                   // directory of the logs; empty: it was removed
}

// ProcessReport is the result of a process.
type ProcessReport struct {
	Machine        string
	Program        string
	PeakMB         float64 // resident memory, over all incarnations
	Starts         int
	UnexpectedEnds int
	RestartError   error // why the platform could not start it again; nil: it did
}

// Failed reports whether a rule was broken, or a process ended unexpectedly or could not be started again.
func (r *Report) Failed() bool {
	for _, p := range r.Processes {
		if p.UnexpectedEnds > 0 || p.RestartError != nil {
			return true
		}
	}
	return len(r.Violations) > 0
}

// Limits of valid requests that may be answered with a client error: maxClientErrors in all, and beyond these one in
// clientErrorsDivisor calls.
const (
	maxClientErrors     = 5
	clientErrorsDivisor = 500
)

// buildReport collects the results, after everything has been stopped.
func (e *emulation) buildReport() *Report {
	report := &Report{
		Clients:          e.clients.Stats(),
		Runners:          e.runnerStats,
		Platform:         e.platform.Stats(),
		RepeatedRequests: e.checker.Retries(),
	}
	clientErrors := 0
	for _, route := range report.Clients.Routes {
		clientErrors += route.ClientErrors
	}
	if clientErrors > maxClientErrors+report.Clients.Calls/clientErrorsDivisor {
		e.checker.Report(checker.ValidRequestDenied, "%d of %d calls were answered with a 3xx or 4xx", clientErrors, report.Clients.Calls)
	}
	for _, s := range report.Runners {
		if s.SlowStartViolations > 0 {
			e.checker.Report(checker.SlowStartOverload, "a cold runner was sent %d requests in a second", s.SlowStartPeak)
		}
	}
	for _, p := range e.processes {
		report.Processes = append(report.Processes, ProcessReport{
			Machine:        p.machine.name,
			Program:        string(p.program),
			PeakMB:         p.peakMB(),
			Starts:         p.starts,
			UnexpectedEnds: p.unexpectedEnds,
			RestartError:   p.restartError,
		})
	}
	report.CutRequests = e.checker.CutRequests()
	report.SlowedSamples = e.slowdown.count()
	report.RunnerErrors = e.runners.startErrors()
	report.Violations = e.checker.Finish()
	return report
}

// Print writes the report as tables, followed by a line for each broken rule.
func (r *Report) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "route\tcalls\tin time\tlate\trejected\tfailed\tclient errors\tfirst p50\tp95\tp99\t")
	for i := range r.Clients.Routes {
		tally := &r.Clients.Routes[i]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t\n",
			tally.Name, tally.Calls, tally.InTime, tally.Late, tally.Rejected, tally.Failed, tally.ClientErrors,
			tally.LatencyQuantile(0.5).Round(time.Millisecond),
			tally.LatencyQuantile(0.95).Round(time.Millisecond),
			tally.LatencyQuantile(0.99).Round(time.Millisecond))
	}
	fmt.Fprintln(table, "\t\t\t\t\t\t\t\t\t\t")
	fmt.Fprintln(table, "machine\tprogram\tpeak MB\tstarts\town ends\t")
	for _, p := range r.Processes {
		fmt.Fprintf(table, "%s\t%s\t%.1f\t%d\t%d\t\n", p.Machine, p.Program, p.PeakMB, p.Starts, p.UnexpectedEnds)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	r.printTotals(out)
	for _, p := range r.Processes {
		if p.RestartError != nil {
			fmt.Fprintf(out, "%s on %s was not started again: %v\n", p.Program, p.Machine, p.RestartError)
		}
	}
	for _, err := range r.RunnerErrors {
		fmt.Fprintf(out, "a runner was not replaced: %v\n", err)
	}
	for _, violation := range r.Violations {
		fmt.Fprintln(out, violation)
	}
	if r.LogDir != "" {
		fmt.Fprintf(out, "logs=%s\n", r.LogDir)
	}
	return nil
}

func (r *Report) printTotals(out io.Writer) {
	var total runner.Stats
	for _, stats := range r.Runners {
		total.Requests += stats.Requests
		total.Rejected += stats.Rejected
		total.Misdirected += stats.Misdirected
		total.ConnectionsAccepted += stats.ConnectionsAccepted
		total.ConnectionsReset += stats.ConnectionsReset
		total.HealthChecks += stats.HealthChecks
		total.FaultsInjected += stats.FaultsInjected
		total.Engine.PrefilledTokens += stats.Engine.PrefilledTokens
		total.Engine.Preemptions += stats.Engine.Preemptions
	}
	fmt.Fprintf(out,
		"runner_requests=%d rejected=%d misdirected=%d connections=%d connections_reset=%d health_checks=%d "+
			"faults=%d prefilled=%d preempted=%d\n",
		total.Requests, total.Rejected, total.Misdirected,
		total.ConnectionsAccepted, total.ConnectionsReset,
		total.HealthChecks, total.FaultsInjected,
		total.Engine.PrefilledTokens, total.Engine.Preemptions)
	fmt.Fprintf(out,
		"retries=%d repeats=%d connect_failures=%d lookups=%d failed_lookups=%d statuses=%v "+
			"platform_calls=%d platform_rejected=%d left=%d cut=%v slowed_samples=%d violations=%d\n",
		r.Clients.Retries, r.RepeatedRequests, r.Clients.ConnectFailures,
		r.Clients.Lookups, r.Clients.FailedLookups, r.Clients.Statuses,
		r.Platform.Calls, r.Platform.Throttled, r.Clients.Left, r.CutRequests, r.SlowedSamples, len(r.Violations))
}
