package status

import (
	"encoding/json"
	"testing"

	"cinderroad/internal/compatibility"
)

// newCounters returns the state of counters with a value in every field.
func newCounters() *Counters {
	return &Counters{
		Running:         true,
		CatchingUp:      true,
		DiskFault:       "the disk is full",
		Origin:          "00000000000000a1",
		OriginResets:    1,
		Counters:        2,
		Operations:      30,
		Entries:         31,
		MaxEntries:      1000,
		UnsyncedEntries: 3,
		PendingAdds:     4,
		NeededMachines:  3,
		NeededZones:     2,
		Vector:          map[string]uint64{"00000000000000a1": 20, "00000000000000b2": 8},
		Peers: []CounterPeer{{
			Address:      "10.0.0.2:7660",
			Zone:         "b",
			Origin:       "00000000000000b2",
			Reachable:    true,
			Replied:      true,
			SinceReplyMS: 250,
			Lacks:        5,
			Ahead:        1,
			Lag:          map[string]uint64{"00000000000000a1": 5},
		}},
	}
}

// TestCountersUnchanged compares the names of the fields, which operators' scripts parse, with the recorded ones.
func TestCountersUnchanged(t *testing.T) {
	body, err := json.MarshalIndent(newCounters(), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	compatibility.PackageFolder.Check(t, "counters.json", body)
}

// TestCountersAreAbsentWhereNoneAreServed: a machine without counters says nothing of them.
func TestCountersAreAbsentWhereNoneAreServed(t *testing.T) {
	body, err := json.Marshal(&Control{Node: "core-1"})
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		t.Fatal(err)
	}
	if _, exists := fields["counters"]; exists || len(fields) == 0 {
		t.Errorf("status %s", body)
	}
}
