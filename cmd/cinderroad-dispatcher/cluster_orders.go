package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"cinderroad/internal/dispatcher/cluster"
)

const (
	orderPollInterval = 100 * time.Millisecond // between two looks whether an order is carried out
	stateShutOut      = "shut-out"             // of a member, as /api/fleet shows it
)

// goneCommand returns the command that declares a dead member departed.
func (client *consoleClient) goneCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "gone NAME",
		Short: "Declare that a member held dead has ended for good, for all members",
		Args:  cobra.ExactArgs(1),
		Long: `Declare that a member held dead has ended for good.

Only say so when you know that its process has ended: its share of cold workers is given to the others at once.`,
		RunE: func(c *cobra.Command, args []string) error {
			body, _ := json.Marshal(map[string]string{"member": args[0]})
			_, err := callConsole(client.console, "PUT", "/api/fleet/gone", string(body))
			return err
		},
	}
}

// orderCommand returns the command that shuts a member out, or the one that ends that.
func (client *consoleClient) orderCommand(out bool) *cobra.Command {
	use := "shut-out NAME"
	short := "Have a member take no new work, wherever it is"
	path := "/api/fleet/shut-out"
	if !out {
		use = "bring-back NAME"
		short = "Take a shut-out back"
		path = "/api/fleet/bring-back"
	}
	patience := 30 * time.Second
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		Long: short + `.

The order is given to the dispatcher at --console, and reaches the one that it names by whichever members can: waits until the
fleet sees it carried out, for as long as --patience says. Status 1 if that is not seen; the order stands all the same.`,
		RunE: func(c *cobra.Command, args []string) error {
			body, _ := json.Marshal(map[string]string{"member": args[0]})
			if _, err := callConsole(client.console, "PUT", path, string(body)); err != nil {
				return err
			}
			state, err := client.awaitOrder(args[0], out, patience)
			if err == nil {
				fmt.Fprintf(c.OutOrStdout(), "%s is %s\n", args[0], state)
			}
			return err
		},
	}
	c.Flags().DurationVar(&patience, "patience", patience, "how long it is waited for")
	return c
}

// awaitOrder waits until the cluster shows a member as out, or as out no more, and returns the member's state then.
func (client *consoleClient) awaitOrder(name string, out bool, patience time.Duration) (state string, err error) {
	for end := time.Now().Add(patience); ; time.Sleep(orderPollInterval) {
		status, err := client.status(client.console)
		if err != nil {
			return "", err
		}
		i := slices.IndexFunc(status.Members, func(member cluster.Member) bool { return member.Name == name })
		if i >= 0 && (status.Members[i].State == stateShutOut) == out {
			return status.Members[i].State, nil
		}
		if time.Now().After(end) {
			return "", fmt.Errorf("fleet: the order is given, but %s does not show it after %v; it stands", name, patience)
		}
	}
}
