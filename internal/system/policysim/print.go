package policysim

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Print writes results as two tables: one line for each policy, and one for each class of each policy.
func Print(out io.Writer, results []*Result) error {
	if err := printPolicies(out, results); err != nil {
		return err
	}
	fmt.Fprintln(out)
	return printClasses(out, results)
}

func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
}

func printPolicies(out io.Writer, results []*Result) error {
	const kilo = 1000
	table := newTable(out)
	fmt.Fprintln(table,
		"policy\tshare\t+-\tworst 1 s\tworst 5 s\tshared k read\tagain k\town k\tpreempted\trejected\tsends\trepeats\t"+
			"cross-region\tcold worst\tcold over\trefusals\t")
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%.4f\t%.4f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t\n",
			r.Policy, r.ValueShare, r.ValueShareDeviation, r.WorstSecondShare, r.WorstFiveSecondsShare,
			r.SharedPrefilled/kilo, r.SharedPrefilledAgain/kilo, r.OwnPrefilled/kilo,
			r.Preemptions, r.RejectedByRunners, r.Attempts, r.Retries,
			r.CrossRegionAttempts, r.SlowStartWorstRate, r.SlowStartExcess, r.Rejections)
	}
	return table.Flush()
}

func printClasses(out io.Writer, results []*Result) error {
	table := newTable(out)
	fmt.Fprintln(table,
		"policy\tclass\tcalls\tin time\tlate\trefused\tfailed\tworth\tlargest 10% in time\tserved\t"+
			"next 20% in time\tserved\tfirst p50\tp95\tp99\t")
	for _, r := range results {
		for _, c := range r.Classes {
			fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%v\t%v\t%v\t\n",
				r.Policy, c.Name, c.Calls, c.InTimeShare, c.Late, c.Rejected, c.Failed,
				ratio(c.ValueEarned, c.ValueDue),
				c.LargestInTime, c.LargestServed, c.LargeInTime, c.LargeServed,
				c.FirstEventP50.Round(time.Millisecond),
				c.FirstEventP95.Round(time.Millisecond),
				c.FirstEventP99.Round(time.Millisecond))
		}
	}
	return table.Flush()
}
