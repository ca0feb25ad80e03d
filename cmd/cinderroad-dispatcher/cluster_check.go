package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cinderroad/internal/dispatcher/cluster"
)

const (
	checkInterval       = 250 * time.Millisecond // between two comparisons of views that differ
	maxNamedDifferences = 5
)

// checkCommand returns the command that compares the members' views of the cluster.
func (client *consoleClient) checkCommand() *cobra.Command {
	patience := 10 * time.Second
	c := &cobra.Command{
		Use:   "check",
		Short: "Compare the views of all members; exit status 1 if they differ",
		Long: `Compare the views of all members.

The dispatcher at --console lists the members; each that is alive is queried at its admin server. Views that differ are queried again
until --patience has passed. Lists the members that disagree or do not answer; the exit status is 1 if there are any.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for end := time.Now().Add(patience); ; time.Sleep(checkInterval) {
				views, err := client.compareViews()
				if err != nil {
					return err
				}
				bad := slices.ContainsFunc(views, func(view memberView) bool { return view.Problem != "" })
				if bad && time.Now().Before(end) {
					continue
				}
				if err := client.printViews(c.OutOrStdout(), views); err != nil {
					return err
				}
				if bad {
					return errors.New("fleet: not all members have the same view")
				}
				return nil
			}
		},
	}
	c.Flags().BoolVar(&client.asJSON, "json", false, "print one line of JSON")
	c.Flags().DurationVar(&patience, "patience", patience, "how long views that differ are queried again")
	return c
}

// memberView is the result of asking a member for its view of the cluster.
type memberView struct {
	Name    string `json:"name"`
	Digest  string `json:"digest,omitempty"`
	View    string `json:"view,omitempty"`
	Problem string `json:"wrong,omitempty"` // empty: its view is the same
}

// compareViews asks every member that is alive or suspect, and compares its view with that of the dispatcher at --console.
func (client *consoleClient) compareViews() ([]memberView, error) {
	first, err := client.status(client.console)
	if err != nil {
		return nil, err
	}
	views := []memberView{{Name: first.Self, Digest: first.Digest, View: first.String()}}
	if !first.Converged {
		views[0].Problem = "its view is not settled"
	}
	for _, member := range first.Members {
		canAnswer := member.State == stateAlive || member.State == stateSuspect
		if member.Name == first.Self || !canAnswer {
			continue
		}
		views = append(views, client.compareView(member, first))
	}
	return views, nil
}

// compareView asks a member for its view, and compares that with the first member's.
func (client *consoleClient) compareView(member cluster.Member, first *cluster.Status) memberView {
	view := memberView{Name: member.Name}
	if member.Console == "" {
		view.Problem = "has no second address to be asked at"
		return view
	}
	status, err := client.status(member.Console)
	switch {
	case err != nil:
		view.Problem = err.Error()
	case status.Self != member.Name:
		view.Problem = "at its address is " + status.Self
	default:
		view.Digest = status.Digest
		view.View = status.String()
		if status.Digest != first.Digest {
			view.Problem = "disagrees" + describeDifference(first, status)
		}
	}
	return view
}

// describeDifference names members of which two views differ, at most maxNamedDifferences.
func describeDifference(here, there *cluster.Status) string {
	known := map[string]string{}
	for _, m := range here.Members {
		known[m.Name] = fmt.Sprint(m.State, " ", m.Incarnation)
	}
	var names []string
	for _, m := range there.Members {
		if is := fmt.Sprint(m.State, " ", m.Incarnation); known[m.Name] != is {
			names = append(names, fmt.Sprintf("%s is %s here and %s there", m.Name, cmp.Or(known[m.Name], "not known"), is))
		}
		delete(known, m.Name)
	}
	for name := range known {
		names = append(names, name+" is not known there")
	}
	slices.Sort(names)
	if extra := len(names) - maxNamedDifferences; extra > 0 {
		names = append(names[:maxNamedDifferences], fmt.Sprintf("and %d more", extra))
	}
	return ": " + strings.Join(names, "; ")
}

// printViews writes which members agree, as a table, or as JSON.
func (client *consoleClient) printViews(out io.Writer, views []memberView) error {
	if client.asJSON {
		return json.NewEncoder(out).Encode(views)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, view := range views {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", view.Name, cmp.Or(view.Digest, "-"), cmp.Or(view.View, "-"), cmp.Or(view.Problem, "agrees"))
	}
	return table.Flush()
}
