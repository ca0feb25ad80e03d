package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cinderroad/internal/dispatcher/cluster"
)

const (
	requestTimeout   = 3 * time.Second // for a member to answer at its second address
	maxResponseBytes = 8 << 20         // bytes of an answer
)

// consoleClient is who the fleet's commands ask.
type consoleClient struct {
	console string
	asJSON  bool
}

func fleetCommand() *cobra.Command {
	a := &consoleClient{}
	c := &cobra.Command{Use: "fleet", Short: "What the dispatchers hold of one another", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	c.PersistentFlags().StringVar(&a.console, "console", os.Getenv("ROUTER_CONSOLE"), "second `ADDRESS` of a dispatcher; $ROUTER_CONSOLE is the default")
	c.AddCommand(a.membersCommand(), a.versionsCommand(), a.checkCommand(), a.goneCommand(), a.orderCommand(true), a.orderCommand(false), fleetAuditCommand())
	return c
}

func (client *consoleClient) membersCommand() *cobra.Command {
	watch, every := false, time.Second
	c := &cobra.Command{Use: "members", Short: "List the members as one dispatcher holds them", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for {
				s, err := client.status(client.console)
				if err != nil && !watch {
					return err
				}
				if watch && !client.asJSON {
					fmt.Fprint(c.OutOrStdout(), "\x1b[H\x1b[2J")
				}
				if err != nil { // it may be back
					fmt.Fprintln(c.ErrOrStderr(), err)
				} else if err := client.printMembers(c.OutOrStdout(), s); err != nil {
					return err
				}
				if !watch {
					return nil
				}
				time.Sleep(every)
			}
		}}
	c.Flags().BoolVar(&client.asJSON, "json", false, "as the dispatcher answers it")
	c.Flags().BoolVar(&watch, "watch", false, "again and again, until stopped")
	c.Flags().DurationVar(&every, "every", every, "pause of --watch")
	return c
}

func (client *consoleClient) printMembers(to io.Writer, s *cluster.Status) error {
	if client.asJSON {
		return json.NewEncoder(to).Encode(s)
	}
	settled := "settled"
	if !s.Converged {
		settled = "not settled"
	}
	fmt.Fprintf(to, "fleet %s as %s holds it: %s, digest %s, %s\n", s.Cluster, s.Self, s.String(), s.Digest, settled)
	fmt.Fprintf(to, "cold workers are shared among %d (%s, part %v)\n\n", s.Share.Instances, s.Share.Reason, s.Share.Fraction)
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NAME\tSTATE\tFOR\tSERVING\tZONE\tADDRESS\tCONSOLE\tINC\tPROGRAM")
	for _, m := range s.Members {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n", m.Name, m.State, time.Since(time.UnixMilli(m.SinceMS)).Round(time.Second),
			cmp.Or(m.Serving, "-"), cmp.Or(m.Zone, "-"), m.Address, cmp.Or(m.Console, "-"), m.Incarnation, cmp.Or(m.Version["program"], "-"))
	}
	return t.Flush()
}

func (client *consoleClient) versionsCommand() *cobra.Command {
	c := &cobra.Command{Use: "versions", Short: "Who holds which version of discovery's list, settings, operator's file and program; the oldest first", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := client.status(client.console)
			if err != nil {
				return err
			}
			if client.asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(byListVersion(s.Members))
			}
			return printVersions(c.OutOrStdout(), s)
		}}
	c.Flags().BoolVar(&client.asJSON, "json", false, "the members as the dispatcher answers them, the oldest first")
	return c
}

// byListVersion orders members by what they hold: sources together, within one the older version first; those that have told none come
// first of all.
func byListVersion(members []cluster.Member) []cluster.Member {
	out := slices.Clone(members)
	slices.SortStableFunc(out, func(x, y cluster.Member) int {
		if x.ListVersion == nil || y.ListVersion == nil {
			return cmp.Compare(min(1, len(formatListVersion(x))), min(1, len(formatListVersion(y))))
		}
		return cmp.Or(cmp.Compare(x.ListVersion.Source, y.ListVersion.Source), cmp.Compare(x.ListVersion.Epoch, y.ListVersion.Epoch), cmp.Compare(x.ListVersion.Revision, y.ListVersion.Revision))
	})
	return out
}

// formatListVersion is a version of the list as shown: source, line of descent where there was more than one, version.
func formatListVersion(m cluster.Member) string {
	if m.ListVersion == nil {
		return ""
	}
	if m.ListVersion.Epoch > 0 {
		return fmt.Sprintf("%s#%d/%d", m.ListVersion.Source, m.ListVersion.Epoch, m.ListVersion.Revision)
	}
	return fmt.Sprintf("%s/%d", m.ListVersion.Source, m.ListVersion.Revision)
}

func printVersions(to io.Writer, s *cluster.Status) error {
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NAME\tSTATE\tLIST\tBEHIND\tSINCE\tSETTINGS\tOPERATOR\tEXCLUDED\tPROGRAM")
	for _, m := range byListVersion(s.Members) {
		behind, since := "-", "-"
		if m.ListVersion != nil {
			most := int64(0)
			for _, o := range s.Members {
				if o.ListVersion != nil {
					if by, ok := m.ListVersion.Lag(*o.ListVersion); ok {
						most = max(most, by)
					}
				}
			}
			behind, since = fmt.Sprint(most), time.Since(time.UnixMilli(m.ListVersionMS)).Round(time.Second).String()
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.State, cmp.Or(formatListVersion(m), "-"), behind, since, cmp.Or(m.Version["settings"], "-"),
			cmp.Or(m.Version["operator"], "-"), cmp.Or(m.Version["excluded"], "-"), cmp.Or(m.Version["program"], "-"))
	}
	for _, h := range s.Restrictions {
		fmt.Fprintf(t, "\n%s withholds %s: %s says that it is %s at version %d\n", s.Self, h.Worker, h.From, h.State, h.Revision)
	}
	return t.Flush()
}

func (client *consoleClient) checkCommand() *cobra.Command {
	patience := 10 * time.Second
	c := &cobra.Command{Use: "check", Short: "Ask every member whether it holds the same view; status 1 if one does not",
		Long: `Ask every member whether it holds the same view.

The dispatcher at --console names the members; each that is alive and has a second address is asked there. Views that move are
asked again for as long as --patience says. Names those that disagree or do not answer, and ends with status 1 if there are any.`,
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			for end := time.Now().Add(patience); ; time.Sleep(250 * time.Millisecond) {
				rows, err := client.compareViews()
				if err != nil {
					return err
				}
				bad := slices.ContainsFunc(rows, func(r memberView) bool { return r.problem != "" })
				if bad && time.Now().Before(end) {
					continue
				}
				if err := client.printViews(c.OutOrStdout(), rows); err != nil {
					return err
				}
				if bad {
					return errors.New("fleet: not all members hold one view")
				}
				return nil
			}
		}}
	c.Flags().BoolVar(&client.asJSON, "json", false, "one line of JSON")
	c.Flags().DurationVar(&patience, "patience", patience, "how long views that move are asked again")
	return c
}

// memberView is what came of asking a member.
type memberView struct {
	Name    string `json:"name"`
	Digest  string `json:"digest,omitempty"`
	View    string `json:"view,omitempty"`
	Problem string `json:"wrong,omitempty"`
	problem string
}

func (client *consoleClient) compareViews() ([]memberView, error) {
	first, err := client.status(client.console)
	if err != nil {
		return nil, err
	}
	rows := []memberView{{Name: first.Self, Digest: first.Digest, View: first.String()}}
	if !first.Converged {
		rows[0].problem = "its view is not settled"
	}
	for _, m := range first.Members {
		if m.Name == first.Self || m.State != "alive" && m.State != "suspect" {
			continue
		}
		r := memberView{Name: m.Name}
		switch s, err := client.status(m.Console); {
		case m.Console == "":
			r.problem = "has no second address to be asked at"
		case err != nil:
			r.problem = err.Error()
		case s.Self != m.Name:
			r.problem = "at its address is " + s.Self
		default:
			r.Digest, r.View = s.Digest, s.String()
			if s.Digest != first.Digest {
				r.problem = "disagrees" + describeDifference(first, s)
			}
		}
		rows = append(rows, r)
	}
	for i := range rows {
		rows[i].Problem = rows[i].problem
	}
	return rows, nil
}

// describeDifference names the members of which two hold different things.
func describeDifference(x, y *cluster.Status) string {
	held := map[string]string{}
	for _, m := range x.Members {
		held[m.Name] = fmt.Sprint(m.State, " ", m.Incarnation)
	}
	var names []string
	for _, m := range y.Members {
		if is := fmt.Sprint(m.State, " ", m.Incarnation); held[m.Name] != is {
			names = append(names, fmt.Sprintf("%s is %s here and %s there", m.Name, cmp.Or(held[m.Name], "not known"), is))
		}
		delete(held, m.Name)
	}
	for name := range held {
		names = append(names, name+" is not known there")
	}
	slices.Sort(names)
	if len(names) > 5 {
		names = append(names[:5], fmt.Sprintf("and %d more", len(names)-5))
	}
	return ": " + strings.Join(names, "; ")
}

func (client *consoleClient) printViews(to io.Writer, rows []memberView) error {
	if client.asJSON {
		return json.NewEncoder(to).Encode(rows)
	}
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", r.Name, cmp.Or(r.Digest, "-"), cmp.Or(r.View, "-"), cmp.Or(r.problem, "agrees"))
	}
	return t.Flush()
}

func (client *consoleClient) goneCommand() *cobra.Command {
	return &cobra.Command{Use: "gone NAME", Short: "Declare that a member held dead has ended for good, for all members", Args: cobra.ExactArgs(1),
		Long: `Declare that a member held dead has ended for good.

Only say so when you know that its process has ended: its share of cold workers is given to the others at once.`,
		RunE: func(c *cobra.Command, args []string) error {
			body, _ := json.Marshal(map[string]string{"member": args[0]})
			_, err := callConsole(client.console, "PUT", "/api/fleet/gone", string(body))
			return err
		}}
}

// orderCommand is the command that shuts a member out, or the one that brings it back.
func (client *consoleClient) orderCommand(out bool) *cobra.Command {
	use, short, path := "shut-out NAME", "Have a member take no new work, wherever it is", "/api/fleet/shut-out"
	if !out {
		use, short, path = "bring-back NAME", "Take a shut-out back", "/api/fleet/bring-back"
	}
	patience := 30 * time.Second
	c := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1),
		Long: short + `.

The order is given to the dispatcher at --console, and reaches the one that it names by whichever members can: waits until the
fleet sees it carried out, for as long as --patience says. Status 1 if that is not seen; the order stands all the same.`,
		RunE: func(c *cobra.Command, args []string) error {
			body, _ := json.Marshal(map[string]string{"member": args[0]})
			if _, err := callConsole(client.console, "PUT", path, string(body)); err != nil {
				return err
			}
			for end := time.Now().Add(patience); ; time.Sleep(100 * time.Millisecond) {
				s, err := client.status(client.console)
				if err != nil {
					return err
				}
				i := slices.IndexFunc(s.Members, func(m cluster.Member) bool { return m.Name == args[0] })
				if i >= 0 && (s.Members[i].State == "shut-out") == out {
					fmt.Fprintf(c.OutOrStdout(), "%s is %s\n", args[0], s.Members[i].State)
					return nil
				}
				if time.Now().After(end) {
					return fmt.Errorf("fleet: the order is given, but %s does not show it after %v; it stands", args[0], patience)
				}
			}
		}}
	c.Flags().DurationVar(&patience, "patience", patience, "how long it is waited for")
	return c
}

// status asks a dispatcher what it holds.
func (client *consoleClient) status(console string) (*cluster.Status, error) {
	text, err := callConsole(console, "GET", "/api/fleet", "")
	if err != nil {
		return nil, err
	}
	s := &cluster.Status{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("fleet: %s: %w", console, err)
	}
	return s, nil
}

// callConsole makes one call at a second address.
func callConsole(console, method, path, body string) ([]byte, error) {
	if console == "" {
		return nil, errors.New("fleet: name a dispatcher's second address by --console ADDRESS or in $ROUTER_CONSOLE")
	}
	q, err := http.NewRequest(method, "http://"+console+path, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	client := http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Do(q)
	if err != nil {
		return nil, fmt.Errorf("fleet: no answer: %w", err)
	}
	defer r.Body.Close()
	text, err := io.ReadAll(io.LimitReader(r.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("fleet: %s: %w", console, err)
	}
	if r.StatusCode != 200 {
		return nil, fmt.Errorf("fleet: %s says no: %s", console, strings.TrimSpace(string(text)))
	}
	return text, nil
}
