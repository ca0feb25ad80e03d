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

// Report is what became of a day.
type Report struct {
	Clients          client.Tally
	Runners          []runner.Stats
	Platform         fakeplatform.Stats
	RepeatedRequests int // requests that a runner was sent although another had been
	Processes        []ProcessReport
	Breaches         []checker.Breach
	LogDir           string // of logs, if it is kept
}

// ProcessReport is what became of a process.
type ProcessReport struct {
	Machine, Program       string
	PeakMB                 float64 // resident, of the largest of its lives
	Starts, UnexpectedEnds int
}

// Failed says whether a rule was broken or a process has ended by itself.
func (r *Report) Failed() bool {
	for _, p := range r.Processes {
		if p.UnexpectedEnds > 0 {
			return true
		}
	}
	return len(r.Breaches) > 0
}

// Bounds of requests that may be denied.
const (
	maxDenied     = 5
	deniedDivisor = 500 // one in so many
)

func (e *emulation) buildReport() *Report {
	report := &Report{Clients: e.clients.Tally(), Runners: e.runnerStats, Platform: e.platform.Stats(), RepeatedRequests: e.checker.Repeats()}
	denied := 0
	for _, route := range report.Clients.Routes {
		denied += route.Denied
	}
	if denied > maxDenied+report.Clients.Calls/deniedDivisor {
		e.checker.Break(checker.Denied, "%d of %d calls were answered with a 3xx or 4xx", denied, report.Clients.Calls)
	}
	for _, s := range report.Runners {
		if s.ColdBroken > 0 {
			e.checker.Break(checker.Failback, "a cold runner was sent %d requests in a second", s.ColdWorst)
		}
	}
	for _, p := range e.processes {
		report.Processes = append(report.Processes, ProcessReport{Machine: p.machine.name, Program: string(p.program),
			PeakMB: p.peakMB(),
			Starts: p.starts, UnexpectedEnds: p.unexpectedEnds})
	}
	report.Breaches = e.checker.Close()
	return report
}

// Print writes the report as tables.
func (r *Report) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "route\tcalls\tin time\tlate\trefused\tfailed\tdenied\tfirst p50\tp95\tp99\t")
	for i := range r.Clients.Routes {
		t := &r.Clients.Routes[i]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t\n", t.Name, t.Calls, t.InTime, t.Late, t.Refused,
			t.Failed, t.Denied,
			t.First(0.5).Round(time.Millisecond), t.First(0.95).Round(time.Millisecond), t.First(0.99).Round(time.Millisecond))
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
	for _, b := range r.Breaches {
		fmt.Fprintln(out, b)
	}
	if r.LogDir != "" {
		fmt.Fprintf(out, "logs=%s\n", r.LogDir)
	}
	return nil
}

func (r *Report) printTotals(out io.Writer) {
	var s runner.Stats
	for _, one := range r.Runners {
		s.Requests += one.Requests
		s.Rejected += one.Rejected
		s.Misplaced += one.Misplaced
		s.Connected += one.Connected
		s.TurnedAway += one.TurnedAway
		s.Probes += one.Probes
		s.Faults += one.Faults
		s.Machine.Prefilled += one.Machine.Prefilled
		s.Machine.Preemptions += one.Machine.Preemptions
	}
	fmt.Fprintf(out,
		"runner_requests=%d rejected=%d misplaced=%d connections=%d connections_reset=%d probes=%d "+
			"faults=%d prefilled=%d preempted=%d\n",
		s.Requests, s.Rejected, s.Misplaced, s.Connected, s.TurnedAway, s.Probes, s.Faults, s.Machine.Prefilled,
		s.Machine.Preemptions)
	fmt.Fprintf(out,
		"retries=%d repeats=%d unreached=%d lookups=%d failed_lookups=%d statuses=%v "+
			"cloud_calls=%d cloud_refused=%d breaches=%d\n",
		r.Clients.Retries, r.RepeatedRequests, r.Clients.Unreached, r.Clients.Lookups, r.Clients.FailedLookups, r.Clients.Statuses,
		r.Platform.Calls, r.Platform.Refused, len(r.Breaches))
}
