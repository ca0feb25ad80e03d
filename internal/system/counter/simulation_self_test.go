package counter

import "testing"

// TestLossOfOtherDisksExcusesNothing checks the check of the simulation: an acknowledgement with too few copies is found, whatever disks
// without its operation were lost since the call.
func TestLossOfOtherDisksExcusesNothing(t *testing.T) {
	sim := newScenario(t, 5, Durability{Machines: 3, Zones: 3})
	accepting := sim.machines[0]
	operation := Operation{"only here", "t1", 4}
	call := &clientCall{operation: operation, acceptedAt: sim.now, finished: func() {}}
	accepting.process.calls[1] = call
	accepting.disk.ids[operation.ID] = true
	for _, other := range sim.machines[1:3] {
		other.process.kill(false)
		sim.loseDisk(other)
	}
	sim.acknowledge(accepting.process, 1)
	if sim.failure == "" {
		t.Error("an acknowledgement on one disk of three passes the check")
	}
	sim.failure = ""
}
