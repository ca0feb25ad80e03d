package main

import (
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
