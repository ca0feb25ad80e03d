package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"cinderroad/internal/dispatcher/requestaudit"
)

// requestAuditCommand returns the command that compares request logs with the metrics that a receiver has got.
func requestAuditCommand() *cobra.Command {
	var logs, received []string
	c := &cobra.Command{
		Use:   "audit",
		Short: "Compare request logs with the metrics that a receiver has stored, by class and verdict",
		Long: `Compare request logs with the metrics that a receiver has stored.

For each dispatcher, class and verdict, the number of lines in the logs must equal the growth of the counter. Logs are those of
[request_log] of the operator's file; rotated files (FILE.1, FILE.2) must be given, too. Metrics are files of Graphite's plaintext
lines (PATH VALUE TIME) or of collectd's PUTVAL lines. The exit status is 1 if the two differ.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			comparison := requestaudit.New()
			if err := readFiles(logs, comparison.ReadRequestLog); err != nil {
				return err
			}
			if err := readFiles(received, comparison.ReadMetrics); err != nil {
				return err
			}
			if err := comparison.WriteTable(c.OutOrStdout()); err != nil {
				return err
			}
			if n := requestaudit.TotalDifference(comparison.Compare()); n > 0 {
				return fmt.Errorf("audit: %d answers differ", n)
			}
			if comparison.MalformedCount > 0 {
				return fmt.Errorf("audit: %d malformed records", comparison.MalformedCount)
			}
			if comparison.LogLines == 0 || comparison.MetricPoints == 0 {
				return errors.New("audit: no records to compare")
			}
			return nil
		},
	}
	c.Flags().StringArrayVar(&logs, "log", nil, "request log `FILE`; may be repeated")
	c.Flags().StringArrayVar(&received, "received", nil, "`FILE` of metrics that a receiver has stored; may be repeated")
	for _, name := range []string{"log", "received"} {
		if err := c.MarkFlagRequired(name); err != nil {
			panic(err)
		}
	}
	return c
}

// readFiles opens one file after the other and passes it to read, until the first error.
func readFiles(paths []string, read func(name string, r io.Reader) error) error {
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("audit: %w", err)
		}
		err = read(path, f)
		f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}
