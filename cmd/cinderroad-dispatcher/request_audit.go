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
		Short: "Compare request logs with what a receiver has got, class by class and verdict by verdict",
		Long: `Compare request logs with what a receiver has got.

For each dispatcher, class and verdict, the lines of the logs are counted and the growth of the total is worked out; they must be
equal. A log is as [request_log] of the operator's file writes it, its older files (FILE.1, FILE.2) named, too. What a receiver
has got is a file of lines PATH VALUE TIME, as Graphite takes them, or PUTVAL lines. Ends with status 1 where the two differ.`,
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
				return fmt.Errorf("audit: %d places make no sense", comparison.MalformedCount)
			}
			if comparison.LogLines == 0 || comparison.MetricPoints == 0 {
				return errors.New("audit: nothing was there to compare")
			}
			return nil
		},
	}
	c.Flags().StringArrayVar(&logs, "log", nil, "request log `FILE`; may be there more than once")
	c.Flags().StringArrayVar(&received, "received", nil, "`FILE` of what a receiver has got; may be there more than once")
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
