// Command cinderroad-dispatcher is one dispatcher: it takes jobs from clients, sends each to a backend that the decisions
// of package loadbalancer choose, and gives every job one final answer. Its subcommands check configurations, list the metrics,
// audit request logs and audit logs, and operate the cluster of dispatchers.
package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"cinderroad/internal/shared/release"
)

func main() {
	root := rootCommand()
	root.SetArgs(normalizeFlags(root, os.Args[1:]))
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "cinderroad-dispatcher:", err)
		os.Exit(1)
	}
}

// rootCommand returns the command line. Without a subcommand it serves.
func rootCommand() *cobra.Command {
	options := &serveOptions{}
	root := &cobra.Command{
		Use:           "cinderroad-dispatcher",
		Short:         "Dispatch jobs to backends; every job gets one final answer",
		Args:          cobra.NoArgs,
		Version:       version(),
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE:          options.run,
	}
	serve := &cobra.Command{
		Use:   "serve",
		Short: "Serve until a stop signal; the default command",
		Args:  cobra.NoArgs,
		RunE:  options.run,
	}
	check := &cobra.Command{
		Use:   "check",
		Short: "Validate configuration and operator's file, and print the effective configuration",
		Args:  cobra.NoArgs,
		RunE:  options.check,
	}
	for _, c := range []*cobra.Command{root, serve, check} {
		options.addFlags(c)
	}
	root.AddCommand(serve, check, metricsCommand(), requestAuditCommand(), clusterCommand(), &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), version()) },
	})
	root.SetVersionTemplate("{{.Version}}\n")
	root.CompletionOptions.HiddenDefaultCmd = true
	return root
}

// normalizeFlags adds a dash to long flags that have one: the first releases had their flags so.
func normalizeFlags(root *cobra.Command, args []string) []string {
	known := map[string]bool{}
	root.Flags().VisitAll(func(f *pflag.Flag) { known[f.Name] = true })
	out := make([]string, len(args))
	for i, arg := range args {
		out[i] = arg
		name, _, _ := strings.Cut(strings.TrimPrefix(arg, "-"), "=")
		if strings.HasPrefix(arg, "-") && known[name] {
			out[i] = "-" + arg
		}
	}
	return out
}

// version returns the release, architecture and Go version of the build.
func version() string {
	return "cinderroad-dispatcher " + release.Name() + " " + runtime.GOARCH + " " + runtime.Version()
}
