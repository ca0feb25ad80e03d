package main

import (
	"cmp"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cinderroad/internal/system/control/client"
	"cinderroad/internal/system/control/status"
)

// Bounds of how long one control machine is asked for its status, once another one has answered.
const (
	machineTimeout  = 2 * time.Second
	machineAttempts = 2
)

type statusCommand struct {
	Members bool `name:"members" help:"List all members, proxies and agents included."`
	One     bool `name:"one" help:"Ask one control machine only, not the others that it knows."`
}

// statusReport is the system as its control machines see it.
type statusReport struct {
	Machines    []*status.Control    `json:"machines"`
	Unreachable []unreachableMachine `json:"unreachable"`
}

// unreachableMachine is a control machine that did not answer.
type unreachableMachine struct {
	Address string `json:"address"`
	Problem string `json:"problem"`
}

// Run asks a control machine, and then all others that it holds to be there.
func (c *statusCommand) Run(s *session) error {
	caller, err := s.client()
	if err != nil {
		return err
	}
	report, err := c.collect(s, caller)
	if err != nil {
		return err
	}
	if s.flags.JSON {
		return s.printJSON(report)
	}
	return c.print(s, report)
}

func (c *statusCommand) collect(s *session, caller *client.Client) (*statusReport, error) {
	address, first, err := caller.Status(s.context)
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
		if member.Role != "control" || member.Node == first.Node || member.State == "left" {
			continue
		}
		address := net.JoinHostPort(member.Address, port) // all machines of a system use the same ports
		one := client.Client{Addresses: []string{address}, Timeout: min(machineTimeout, s.flags.Within),
			MaxAttempts: machineAttempts, Sleep: s.sleep}
		_, other, err := one.Status(s.context)
		if err != nil {
			report.Unreachable = append(report.Unreachable, unreachableMachine{Address: address, Problem: err.Error()})
			continue
		}
		report.Machines = append(report.Machines, other)
	}
	slices.SortFunc(report.Machines, func(a, b *status.Control) int { return cmp.Compare(a.Node, b.Node) })
	dropOutdatedFollowers(report.Machines)
	return report, nil
}

// dropOutdatedFollowers has each follower stand at the machine alone that it asked last: it may have left another one just now.
func dropOutdatedFollowers(machines []*status.Control) {
	latest := map[string]int64{}
	for _, machine := range machines {
		for _, follower := range machine.Followers {
			if asked, known := latest[follower.Node]; !known || follower.SinceLastCallMS < asked {
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

func (c *statusCommand) print(s *session, report *statusReport) error {
	tables := []*table{machinesTable(report), partitionsTable(report), replicasTable(report)}
	if c.Members {
		tables = append(tables, membersTable(report), followersTable(report))
	}
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
	for _, machine := range report.Unreachable {
		if err := s.printLine("\n%s does not answer: %s", machine.Address, machine.Problem); err != nil {
			return err
		}
	}
	return nil
}

func machinesTable(report *statusReport) *table {
	t := &table{}
	t.add("CONTROL", "RELEASE", "CONFIGURATION", "EVACUATED", "PROXIES", "READY", "FOLLOWERS", "BEHIND", "DISCOVERY")
	for _, machine := range report.Machines {
		behind := 0
		for _, follower := range machine.Followers {
			if follower.Behind {
				behind++
			}
		}
		t.add(machine.Node, shortRelease(machine.Release), strconv.FormatUint(machine.Version, 10),
			orDash(strings.Join(machine.EvacuatedZones, ",")), strconv.Itoa(machine.ActiveProxies), strconv.Itoa(machine.ReadyProxies),
			strconv.Itoa(len(machine.Followers)), strconv.Itoa(behind), discoveryCell(&machine.Discovery))
	}
	return t
}

func discoveryCell(d *status.Discovery) string {
	switch {
	case !d.Holder:
		return "-"
	case !d.ListReceived:
		return "holds it, platform silent"
	}
	return "holds it, list " + milliseconds(d.ListAgeMS) + " old"
}

func partitionsTable(report *statusReport) *table {
	t := &table{}
	t.add("PARTITION", "CONTROL", "ROLE", "TERM", "LEADER", "LEASE", "COMMIT", "APPLIED", "LAST", "ITEMS", "HEARD")
	for _, machine := range report.Machines {
		for i := range machine.Partitions {
			partition := &machine.Partitions[i]
			lease := "-"
			if partition.LeaseMS > 0 {
				lease = milliseconds(partition.LeaseMS)
			}
			t.add(strconv.Itoa(int(partition.Partition)), machine.Node, partition.Role, formatUint(partition.Term),
				leaderName(partition), lease, formatUint(partition.CommitIndex), formatUint(partition.AppliedIndex), formatUint(partition.LastIndex),
				strconv.Itoa(partition.ItemCount), milliseconds(partition.StalenessMS))
		}
	}
	slices.SortStableFunc(t.rows[1:], func(a, b []string) int { return cmp.Compare(a[0], b[0]) })
	return t
}

// leaderName is the name of the machine that leads a partition, as far as its replicas are known.
func leaderName(partition *status.Partition) string {
	for _, replica := range partition.Replicas {
		if replica.Replica == partition.Leader {
			return replica.Node
		}
	}
	return orDash(partition.Leader)
}

// replicasTable lists the members of each partition's group, as the machine with the highest term has them.
func replicasTable(report *statusReport) *table {
	t := &table{}
	t.add("PARTITION", "REPLICA", "CONTROL", "ZONE", "ADDRESS", "KIND")
	newest := map[uint16]*status.Partition{}
	for _, machine := range report.Machines {
		for i := range machine.Partitions {
			partition := &machine.Partitions[i]
			if known := newest[partition.Partition]; known == nil || known.CommitIndex < partition.CommitIndex {
				newest[partition.Partition] = partition
			}
		}
	}
	for _, partition := range newest {
		for _, replica := range partition.Replicas {
			kind := "learner"
			if replica.Voter {
				kind = "voter"
			}
			t.add(strconv.Itoa(int(partition.Partition)), replica.Replica, replica.Node, replica.Zone, replica.Address, kind)
		}
	}
	slices.SortFunc(t.rows[1:], slices.Compare)
	return t
}

func membersTable(report *statusReport) *table {
	t := &table{}
	t.add("MEMBER", "ROLE", "ZONE", "STATE", "FOR", "SERVING", "FRONT", "RELEASE")
	for i := range report.Machines[0].Members {
		member := &report.Machines[0].Members[i]
		t.add(member.Node, orDash(member.Role), orDash(member.Zone), member.State, milliseconds(member.StateAgeMS),
			orDash(member.Serving), orDash(member.FrontAddress), shortRelease(member.Release))
	}
	return t
}

func followersTable(report *statusReport) *table {
	t := &table{}
	t.add("FOLLOWER", "OF", "CONFIGURATION", "IN STEP", "ASKED")
	for _, machine := range report.Machines {
		for _, follower := range machine.Followers {
			inStep := "yes"
			if follower.Behind {
				inStep = "no"
			}
			t.add(follower.Node, machine.Node, "#"+formatUint(follower.ConfigurationIndex), inStep, milliseconds(follower.SinceLastCallMS))
		}
	}
	return t
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

func milliseconds(n int64) string {
	d := time.Duration(n) * time.Millisecond
	if d >= 10*time.Second {
		d = d.Round(time.Second)
	}
	return d.String()
}

// shortRelease is the beginning of a release's name.
func shortRelease(release string) string {
	const length = 12
	return orDash(release[:min(length, len(release))])
}
