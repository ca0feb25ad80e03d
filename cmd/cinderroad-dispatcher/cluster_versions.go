package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cinderroad/internal/dispatcher/cluster"
)

// versionsCommand returns the command that lists which versions each member holds.
func (client *consoleClient) versionsCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "versions",
		Short: "List the versions of list, settings, operator's file and program at each member, oldest first",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := client.status(client.console)
			if err != nil {
				return err
			}
			if client.asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(byListVersion(s.Members))
			}
			return printVersions(c.OutOrStdout(), s)
		},
	}
	c.Flags().BoolVar(&client.asJSON, "json", false, "print the members as JSON, oldest first")
	return c
}

// byListVersion sorts members by source, epoch and revision of their list. Those without a known version come first.
func byListVersion(members []cluster.Member) []cluster.Member {
	out := slices.Clone(members)
	slices.SortStableFunc(out, func(x, y cluster.Member) int {
		if x.ListVersion == nil || y.ListVersion == nil {
			return cmp.Compare(min(1, len(formatListVersion(x))), min(1, len(formatListVersion(y))))
		}
		return cmp.Or(
			cmp.Compare(x.ListVersion.Source, y.ListVersion.Source),
			cmp.Compare(x.ListVersion.Epoch, y.ListVersion.Epoch),
			cmp.Compare(x.ListVersion.Revision, y.ListVersion.Revision),
		)
	})
	return out
}

// formatListVersion returns the version of a member's list; empty if it is not known.
func formatListVersion(member cluster.Member) string {
	if member.ListVersion == nil {
		return ""
	}
	return formatVersion(member.ListVersion.Source, member.ListVersion.Epoch, member.ListVersion.Revision)
}

// formatVersion returns a version as SOURCE/REVISION, with #EPOCH after the source for any epoch but the first.
func formatVersion(source string, epoch uint64, revision int64) string {
	if epoch > 0 {
		return fmt.Sprintf("%s#%d/%d", source, epoch, revision)
	}
	return fmt.Sprintf("%s/%d", source, revision)
}

// printVersions writes a table of what each member holds, and the restrictions that the asked dispatcher applies.
func printVersions(out io.Writer, status *cluster.Status) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tSTATE\tLIST\tBEHIND\tSINCE\tSETTINGS\tOPERATOR\tEXCLUDED\tPROGRAM")
	for _, member := range byListVersion(status.Members) {
		behind, since := "-", "-"
		if member.ListVersion != nil {
			behind = fmt.Sprint(listLag(member, status.Members))
			since = time.Since(time.UnixMilli(member.ListVersionMS)).Round(time.Second).String()
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			member.Name,
			member.State,
			cmp.Or(formatListVersion(member), "-"),
			behind,
			since,
			cmp.Or(member.Version["settings"], "-"),
			cmp.Or(member.Version["operator"], "-"),
			cmp.Or(member.Version["excluded"], "-"),
			cmp.Or(member.Version["program"], "-"))
	}
	for _, restriction := range status.Restrictions {
		fmt.Fprintf(table, "\n%s withholds %s: %s says that it is %s at version %d\n",
			status.Self, restriction.Worker, restriction.From, restriction.State, restriction.Revision)
	}
	return table.Flush()
}

// listLag returns how many versions the list of member, which must be known, is behind the newest list that compares with it.
func listLag(member cluster.Member, members []cluster.Member) int64 {
	lag := int64(0)
	for _, other := range members {
		if other.ListVersion == nil {
			continue
		}
		if by, ok := member.ListVersion.Lag(*other.ListVersion); ok {
			lag = max(lag, by)
		}
	}
	return lag
}
