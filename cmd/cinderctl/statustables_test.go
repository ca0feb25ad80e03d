package main

import (
	"slices"
	"testing"

	"cinderroad/internal/system/control/status"
)

// TestPartitionsAreInTheOrderOfTheirNumbers: 10 comes after 2.
func TestPartitionsAreInTheOrderOfTheirNumbers(t *testing.T) {
	machine := &status.Control{Node: "core-1"}
	for _, number := range []uint16{10, 2, 0, 1} {
		machine.Partitions = append(machine.Partitions, status.Partition{
			Partition: number,
			Replicas:  []status.Replica{{Replica: "b"}, {Replica: "a"}},
		})
	}
	report := &statusReport{Machines: []*status.Control{machine}}
	for _, tc := range []struct {
		table *table
		want  string
	}{
		{partitionsTable(report), "0 1 2 10"},
		{replicasTable(report), "0a 0b 1a 1b 2a 2b 10a 10b"},
	} {
		got := ""
		for _, row := range tc.table.rows[1:] {
			if got != "" {
				got += " "
			}
			got += row[0]
			if len(row) == 6 { // a replica's
				got += row[1]
			}
		}
		if got != tc.want {
			t.Errorf("%s: %s, want %s", tc.table.rows[0][1], got, tc.want)
		}
	}
}

// TestCountersTable: there is a row for each peer, and no table where no machine serves counters.
func TestCountersTable(t *testing.T) {
	report := &statusReport{Machines: []*status.Control{{Node: "core-1"}}}
	if table := countersTable(report); table != nil {
		t.Errorf("a table without counters: %q", table.rows)
	}
	report.Machines = append(report.Machines, &status.Control{
		Node: "core-2",
		Counters: &status.Counters{
			OperationCount: 7,
			UnsyncedCount:  2,
			Peers: []status.CounterPeer{
				{Address: "10.0.0.1:7660", Zone: "a", Reachable: true, Lag: 3},
				{Address: "10.0.0.3:7660", Zone: "c", Ahead: 4},
			},
		},
	})
	want := [][]string{
		{"core-2", "7", "2", "10.0.0.1:7660", "a", "yes", "3", "0"},
		{"core-2", "7", "2", "10.0.0.3:7660", "c", "no", "0", "4"},
	}
	if rows := countersTable(report).rows[1:]; !slices.EqualFunc(rows, want, slices.Equal) {
		t.Errorf("rows %q, want %q", rows, want)
	}
}
