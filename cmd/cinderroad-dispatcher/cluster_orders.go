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
)

// States of a member that the commands tell apart, as /api/fleet shows them.
const (
	stateAlive   = "alive"
	stateSuspect = "suspect"
	stateShutOut = "shut-out"
)

// goneCommand returns the command that declares a dead member departed.
func (client *consoleClient) goneCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "gone NAME",
		Short: "Declare a dead member permanently gone, for all members",
		Args:  cobra.ExactArgs(1),
		Long: `Declare a dead member permanently gone.

Use it only if its process is known to have ended: its slow-start quota is given to the others at once.`,
		RunE: func(c *cobra.Command, args []string) error {
			return client.orderMember("/api/fleet/gone", args[0])
		},
	}
}

// memberOrder is what differs between the commands that order a member.
type memberOrder struct {
	use   string
	short string
	path  string // of the call at the admin server
	out   bool   // whether the member is shut out once it has carried out the order
}

// shutOutCommand returns the command that shuts a member out.
func (client *consoleClient) shutOutCommand() *cobra.Command {
	return client.orderCommand(memberOrder{
		use:   "shut-out NAME",
		short: "Order a member to take no new work",
		path:  "/api/fleet/shut-out",
		out:   true,
	})
}

// bringBackCommand returns the command that ends a shut-out.
func (client *consoleClient) bringBackCommand() *cobra.Command {
	return client.orderCommand(memberOrder{
		use:   "bring-back NAME",
		short: "Revoke a shut-out order",
		path:  "/api/fleet/bring-back",
		out:   false,
	})
}

// orderCommand returns the command that gives an order to a member and waits until it is carried out.
func (client *consoleClient) orderCommand(order memberOrder) *cobra.Command {
	patience := 30 * time.Second
	c := &cobra.Command{
		Use:   order.use,
		Short: order.short,
		Args:  cobra.ExactArgs(1),
		Long: order.short + `.

The dispatcher at --console sends the order to the member through the cluster. Waits until the cluster reports the order as applied,
at most as long as --patience says. The exit status is 1 if it is not reported in time; the order remains in force.`,
		RunE: func(c *cobra.Command, args []string) error {
			if err := client.orderMember(order.path, args[0]); err != nil {
				return err
			}
			state, err := client.awaitOrder(args[0], order.out, patience)
			if err == nil {
				fmt.Fprintf(c.OutOrStdout(), "%s is %s\n", args[0], state)
			}
			return err
		},
	}
	c.Flags().DurationVar(&patience, "patience", patience, "how long to wait for the order to be applied")
	return c
}

// orderMember gives an order that concerns a member.
func (client *consoleClient) orderMember(path, name string) error {
	body, err := json.Marshal(map[string]string{"member": name})
	if err != nil {
		return err
	}
	_, err = callConsole(client.console, "PUT", path, string(body))
	return err
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
			return "", fmt.Errorf("fleet: order issued, but %s has not applied it after %v; it remains in force", name, patience)
		}
	}
}
