package main

import (
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"cinderroad/internal/dispatcher/server"
)

// metricsCommand returns the command that documents the metrics.
func metricsCommand() *cobra.Command {
	var page bool
	c := &cobra.Command{
		Use:   "figures",
		Short: "List all metrics: name, kind, unit and description",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if page {
				return server.WriteMetricsPage(c.OutOrStdout())
			}
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, d := range server.MetricDocs() {
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", d.Pattern, d.Kind, d.Unit, d.Help)
			}
			return t.Flush()
		},
	}
	c.Flags().BoolVar(&page, "page", false, "print the page docs/figures.md")
	return c
}
