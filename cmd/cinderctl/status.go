package main

import (
	"cmp"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"cinderroad/internal/system/control/client"
	"cinderroad/internal/system/control/status"
)

// Limits of the calls to the other control machines, once the first one has responded.
const (
	machineTimeout  = 2 * time.Second
	machineAttempts = 2
)

// What status.Member says of a member that collect has to know.
const (
	controlRole = "control"
	stateLeft   = "left" // it has ended in order
)

type statusCommand struct {
	Members bool `name:"members" help:"List all members, proxies and agents included."`
	One     bool `name:"one" help:"Query one control machine only, not the others that it knows."`
}

// statusReport is the system as its control machines see it.
type statusReport struct {
	Machines    []*status.Control    `json:"machines"`
	Unreachable []unreachableMachine `json:"unreachable"`
}

// unreachableMachine is a control machine that did not respond.
type unreachableMachine struct {
	Address string `json:"address"`
	Problem string `json:"problem"`
}

// Run prints the status of a control machine and of all others that it knows.
func (c *statusCommand) Run(s *session) error {
	apiClient, err := s.client()
	if err != nil {
		return err
	}
	report, err := c.collect(s, apiClient)
	if err != nil {
		return err
	}
	if s.flags.JSON {
		return s.printJSON(report)
	}
	return c.print(s, report)
}

// collect queries the first machine that responds, and then the others that it knows one after the other.
func (c *statusCommand) collect(s *session, apiClient *client.Client) (*statusReport, error) {
	address, first, err := apiClient.Status(s.context)
	if err != nil {
		return nil, err
	}
	report := &statusReport{Machines: []*status.Control{first}, Unreachable: []unreachableMachine{}}
	if c.One {
		return report, nil
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "address of a control machine")
	}
	for _, member := range first.Members {
		if member.Role != controlRole || member.Node == first.Node || member.State == stateLeft {
			continue
		}
		address := net.JoinHostPort(member.Address, port) // all machines of a system use the same ports
		machine := client.Client{
			Addresses:   []string{address},
			Timeout:     min(machineTimeout, s.flags.Within),
			MaxAttempts: machineAttempts,
			Sleep:       s.sleep,
		}
		_, description, err := machine.Status(s.context)
		if err != nil {
			report.Unreachable = append(report.Unreachable, unreachableMachine{Address: address, Problem: err.Error()})
			continue
		}
		report.Machines = append(report.Machines, description)
	}
	slices.SortFunc(report.Machines, func(a, b *status.Control) int { return cmp.Compare(a.Node, b.Node) })
	dropOutdatedFollowers(report.Machines)
	return report, nil
}

// dropOutdatedFollowers keeps each follower only at the machine that it called last: it may have left another one just
// now, which still lists it.
func dropOutdatedFollowers(machines []*status.Control) {
	latest := map[string]int64{}
	for _, machine := range machines {
		for _, follower := range machine.Followers {
			if sinceLastCall, known := latest[follower.Node]; !known || follower.SinceLastCallMS < sinceLastCall {
				latest[follower.Node] = follower.SinceLastCallMS
			}
		}
	}
	for _, machine := range machines {
		machine.Followers = slices.DeleteFunc(machine.Followers, func(follower status.Follower) bool {
			return follower.SinceLastCallMS > latest[follower.Node]
		})
	}
}

// print prints the tables, then the machines that did not respond.
func (c *statusCommand) print(s *session, report *statusReport) error {
	tables := []*table{machinesTable(report), partitionsTable(report), replicasTable(report)}
	if c.Members {
		tables = append(tables, membersTable(report), followersTable(report))
	}
	return s.printTables(tables, report.Unreachable)
}

// printTables prints tables, then the machines that did not respond.
func (s *session) printTables(tables []*table, unreachable []unreachableMachine) error {
	for i, table := range tables {
		if i > 0 {
			if err := s.printLine(""); err != nil {
				return err
			}
		}
		if err := table.print(s.output); err != nil {
			return err
		}
	}
	for _, machine := range unreachable {
		if err := s.printLine("\n%s does not answer: %s", machine.Address, machine.Problem); err != nil {
			return err
		}
	}
	return nil
}
