// Command cinderroad-dispatcher is one dispatcher: it takes jobs from clients, sends each to a backend that the decisions
// of package loadbalancer choose, and gives every job one final answer. Beside that it checks configurations, lists its figures
// and audits them.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

func main() {
	root := command()
	root.SetArgs(normalizeFlags(root, os.Args[1:]))
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "cinderroad-dispatcher:", err)
		os.Exit(1)
	}
}

// command is the command line: a bare call serves.
func command() *cobra.Command {
	s := newServeOptions()
	root := &cobra.Command{Use: "cinderroad-dispatcher", Short: "A dispatcher: every job gets one final answer", Args: cobra.NoArgs,
		SilenceErrors: true, SilenceUsage: true, RunE: s.run}
	serve := &cobra.Command{Use: "serve", Short: "Serve until told to stop; what a bare call does, too", Args: cobra.NoArgs, RunE: s.run}
	check := &cobra.Command{Use: "check", Short: "Read configuration and operator's file, and print what is in force", Args: cobra.NoArgs, RunE: s.check}
	for _, c := range []*cobra.Command{root, serve, check} {
		s.flags(c)
	}
	root.AddCommand(serve, check, figuresCommand(), auditCommand(), fleetCommand(), &cobra.Command{Use: "version", Short: "Print the version",
		Args: cobra.NoArgs, Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), version()) }})
	root.CompletionOptions.HiddenDefaultCmd = true
	return root
}

// normalizeFlags has flags of the first releases, which had one dash, read as those with two.
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

// version is what the build knows of itself.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "cinderroad-dispatcher, of an unknown build"
	}
	text := "cinderroad-dispatcher " + info.Main.Version
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision", "vcs.time", "GOARCH":
			text += " " + s.Value
		}
	}
	return text + " " + info.GoVersion
}
