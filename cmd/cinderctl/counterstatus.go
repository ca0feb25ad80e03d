package main

import (
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"

	"cinderroad/internal/system/control/status"
)

type counterStatusCommand struct{}

// counterStatusReport is the state of the counters as the control machines see it.
type counterStatusReport struct {
	Machines    []machineCounters    `json:"machines"`
	Unreachable []unreachableMachine `json:"unreachable"`
}

// machineCounters is the state of the counters at one machine.
type machineCounters struct {
	Node     string           `json:"node"`
	Zone     string           `json:"zone"`
	Counters *status.Counters `json:"counters"` // nil: none are served
}

// Run prints the state of the counters at a control machine and at all others that it knows.
func (c *counterStatusCommand) Run(s *session) error {
	apiClient, err := s.client()
	if err != nil {
		return err
	}
	collected, err := (&statusCommand{}).collect(s, apiClient)
	if err != nil {
		return err
	}
	report := newCounterStatusReport(collected)
	if s.flags.JSON {
		return s.printJSON(report)
	}
	if !slices.ContainsFunc(report.Machines, func(m machineCounters) bool { return m.Counters != nil }) {
		return &rejectedError{message: "no control machine that answers serves counters: the settings' promises must name apart"}
	}
	nodes := nodesByAddress(collected)
	tables := []*table{countersTable(report), vectorsTable(report), counterPeersTable(report, nodes)}
	return s.printTables(tables, report.Unreachable)
}

func newCounterStatusReport(collected *statusReport) *counterStatusReport {
	report := &counterStatusReport{Unreachable: collected.Unreachable}
	for _, machine := range collected.Machines {
		counters := machineCounters{Node: machine.Node, Counters: machine.Counters}
		for i := range machine.Members {
			if machine.Members[i].Node == machine.Node {
				counters.Zone = machine.Members[i].Zone
			}
		}
		report.Machines = append(report.Machines, counters)
	}
	return report
}

// nodesByAddress returns the names of the control machines by the IP address of each, without a port.
func nodesByAddress(collected *statusReport) map[string]string {
	nodes := map[string]string{}
	for _, machine := range collected.Machines {
		for i := range machine.Members {
			if member := &machine.Members[i]; member.Role == controlRole && member.State != stateLeft {
				nodes[member.Address] = member.Node
			}
		}
	}
	return nodes
}

// countersTable has a row for each control machine that responded.
func countersTable(report *counterStatusReport) *table {
	t := &table{}
	t.add("CONTROL", "ZONE", "ORIGIN", "READS", "DISK", "OPERATIONS", "ENTRIES", "LIMIT", "UNSYNCED", "PENDING", "NEEDED")
	for _, machine := range report.Machines {
		counters := machine.Counters
		if counters == nil {
			t.add(machine.Node, orDash(machine.Zone), "-", "not served", "-", "-", "-", "-", "-", "-", "-")
			continue
		}
		t.add(
			machine.Node,
			orDash(machine.Zone),
			orDash(counters.Origin),
			readsCell(counters),
			diskCell(counters),
			strconv.Itoa(counters.Operations),
			strconv.Itoa(counters.Entries),
			strconv.Itoa(counters.MaxEntries),
			strconv.Itoa(counters.UnsyncedEntries),
			strconv.Itoa(counters.PendingAdds),
			strconv.Itoa(counters.NeededMachines)+" in "+strconv.Itoa(counters.NeededZones),
		)
	}
	return t
}

func readsCell(counters *status.Counters) string {
	switch {
	case !counters.Running:
		return "starting"
	case counters.CatchingUp:
		return "catching up"
	}
	return "yes"
}

func diskCell(counters *status.Counters) string {
	if counters.DiskFault != "" {
		return "failed: " + counters.DiskFault
	}
	return "ok"
}

// vectorsTable has a row for each origin, and a column with the highest sequence number at each machine.
func vectorsTable(report *counterStatusReport) *table {
	t := &table{}
	heading := []string{"ORIGIN", "OWNER"}
	owners := map[string]string{}
	origins := map[string]bool{}
	for _, machine := range report.Machines {
		if machine.Counters == nil {
			continue
		}
		heading = append(heading, "AT "+machine.Node)
		owners[machine.Counters.Origin] = machine.Node
		for origin := range machine.Counters.Vector {
			origins[origin] = true
		}
	}
	t.add(heading...)
	for _, origin := range slices.Sorted(maps.Keys(origins)) {
		row := []string{origin, orDash(owners[origin])}
		for _, machine := range report.Machines {
			if machine.Counters != nil {
				row = append(row, formatUint(machine.Counters.Vector[origin]))
			}
		}
		t.add(row...)
	}
	return t
}

// counterPeersTable has a row for each peer of each machine.
func counterPeersTable(report *counterStatusReport, nodes map[string]string) *table {
	t := &table{}
	t.add("CONTROL", "PEER", "ZONE", "REACHABLE", "LAST REPLY", "LACKS", "AHEAD", "LAG BY ORIGIN")
	for _, machine := range report.Machines {
		if machine.Counters == nil {
			continue
		}
		for i := range machine.Counters.Peers {
			peer := &machine.Counters.Peers[i]
			reachable, lastReply := "no", "never"
			if peer.Reachable {
				reachable = "yes"
			}
			if peer.Replied {
				lastReply = milliseconds(peer.SinceReplyMS)
			}
			t.add(
				machine.Node,
				peerName(peer, nodes),
				orDash(peer.Zone),
				reachable,
				lastReply,
				formatUint(peer.Lacks),
				formatUint(peer.Ahead),
				lagCell(peer.Lag),
			)
		}
	}
	return t
}

// peerName returns the name of a peer's machine; its address if that is unknown.
func peerName(peer *status.CounterPeer, nodes map[string]string) string {
	if host, _, err := net.SplitHostPort(peer.Address); err == nil && nodes[host] != "" {
		return nodes[host]
	}
	return peer.Address
}

func lagCell(lag map[string]uint64) string {
	var cells []string
	for _, origin := range slices.Sorted(maps.Keys(lag)) {
		cells = append(cells, origin+":"+formatUint(lag[origin]))
	}
	return orDash(strings.Join(cells, " "))
}
