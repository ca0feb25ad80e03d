package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cinderroad/internal/dispatcher/cluster"
)

// membersCommand returns the command that lists the members, once or again and again.
func (client *consoleClient) membersCommand() *cobra.Command {
	watch := false
	every := time.Second
	c := &cobra.Command{
		Use:   "members",
		Short: "List the members in the view of one dispatcher",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for {
				s, err := client.status(client.console)
				if err != nil && !watch {
					return err
				}
				if watch && !client.asJSON {
					fmt.Fprint(c.OutOrStdout(), "\x1b[H\x1b[2J")
				}
				if err != nil { // under --watch the dispatcher may come back
					fmt.Fprintln(c.ErrOrStderr(), err)
				} else if err := client.printMembers(c.OutOrStdout(), s); err != nil {
					return err
				}
				if !watch {
					return nil
				}
				time.Sleep(every)
			}
		},
	}
	c.Flags().BoolVar(&client.asJSON, "json", false, "print the answer of the dispatcher as JSON")
	c.Flags().BoolVar(&watch, "watch", false, "repeat until interrupted")
	c.Flags().DurationVar(&every, "every", every, "interval of --watch")
	return c
}

// printMembers writes a view of the cluster as a table, or as JSON.
func (client *consoleClient) printMembers(out io.Writer, status *cluster.Status) error {
	if client.asJSON {
		return json.NewEncoder(out).Encode(status)
	}
	convergence := "settled"
	if !status.Converged {
		convergence = "not settled"
	}
	fmt.Fprintf(out, "fleet %s as %s holds it: %s, digest %s, %s\n",
		status.Cluster, status.Self, status.String(), status.Digest, convergence)
	fmt.Fprintf(out, "cold workers are shared among %d (%s, part %v)\n\n",
		status.Share.Instances, status.Share.Reason, status.Share.Fraction)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tSTATE\tFOR\tSERVING\tZONE\tADDRESS\tCONSOLE\tINC\tPROGRAM")
	for _, member := range status.Members {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n",
			member.Name,
			member.State,
			time.Since(time.UnixMilli(member.SinceMS)).Round(time.Second),
			cmp.Or(member.Serving, "-"),
			cmp.Or(member.Zone, "-"),
			member.Address,
			cmp.Or(member.Console, "-"),
			member.Incarnation,
			cmp.Or(member.Version["program"], "-"))
	}
	return table.Flush()
}
