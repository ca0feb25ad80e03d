package main

import (
	"os"

	"github.com/spf13/cobra"
)

// clusterCommand returns the commands that operate the cluster of dispatchers.
func clusterCommand() *cobra.Command {
	client := &consoleClient{}
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Inspect and operate the cluster of dispatchers",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.PersistentFlags().StringVar(&client.console, "console", os.Getenv("ROUTER_CONSOLE"),
		"`ADDRESS` of the admin server of a dispatcher; default: $ROUTER_CONSOLE")
	c.AddCommand(
		client.membersCommand(),
		client.versionsCommand(),
		client.checkCommand(),
		client.goneCommand(),
		client.shutOutCommand(),
		client.bringBackCommand(),
		clusterAuditCommand(),
	)
	return c
}
