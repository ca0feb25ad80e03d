package virtualcluster

import (
	"testing"

	"cinderroad/internal/shared/membership"
)

// newPair returns two nodes that know each other, on a network without faults.
func newPair(t *testing.T) (network *Network, first, second *Node) {
	t.Helper()
	network = New(Options{Seed: 1, Delay: 0.01}, 2)
	first = network.Nodes[0]
	second = network.Nodes[1]
	network.Start(first)
	network.Start(second, first)
	network.Run(network.Now + 10)
	if converged, alive := network.Converged(); !converged || alive != 2 {
		t.Fatalf("converged: %v, alive: %d", converged, alive)
	}
	return network, first, second
}

// TestPausedNode checks that a paused node neither ticks nor handles messages, and afterwards handles those that its
// socket buffered.
func TestPausedNode(t *testing.T) {
	network, first, second := newPair(t)
	network.Pause(second)
	sent := second.Sent
	first.Membership.SetMetadata(network.Now, membership.Metadata{Zone: "other"})
	network.Flush(first)
	network.Run(network.Now + 1)
	if second.Sent != sent || second.Membership.Zone(first.Name) != "z" {
		t.Errorf("a paused node sent %d messages, and knows zone %q", second.Sent-sent, second.Membership.Zone(first.Name))
	}
	network.Resume(second)
	network.Run(network.Now)
	if zone := second.Membership.Zone(first.Name); zone != "other" {
		t.Errorf("the buffered messages were lost: the zone is %q", zone)
	}
}

// TestPausedNodeDropsWhatItsSocketCannotHold checks the bound of the buffer.
func TestPausedNodeDropsWhatItsSocketCannotHold(t *testing.T) {
	network, _, second := newPair(t)
	network.Pause(second)
	for range maxBuffered + 1 {
		network.scheduleMessage(second, &membership.Message{}, network.Now)
	}
	network.Run(network.Now)
	if len(second.buffered) != maxBuffered {
		t.Errorf("%d messages are buffered, at most %d fit", len(second.buffered), maxBuffered)
	}
}

// TestRestartedNodeTicksOnce checks that ticks of a process that was killed do not reach the next one.
func TestRestartedNodeTicksOnce(t *testing.T) {
	network, first, second := newPair(t)
	network.Kill(second)
	network.Start(second, first)
	ticks := 0
	network.AfterEvent = func(*Node) { ticks++ }
	network.Partitioned = func(from, to *Node) bool { return true }
	network.Run(network.Now + 0.05) // messages under way arrive
	ticks = 0
	network.Run(network.Now + 4)
	if ticks < 38 || ticks > 42 { // each node ticks five times a second
		t.Errorf("%d ticks of two nodes in 4 s", ticks)
	}
}

// TestKilledNode checks that nothing happens at a node without a process.
func TestKilledNode(t *testing.T) {
	network, first, second := newPair(t)
	network.Kill(second)
	network.AfterEvent = func(node *Node) {
		if node == second {
			t.Error("a node without a process had an event")
		}
	}
	sent := first.Sent
	network.Run(network.Now + 5)
	if first.Sent == sent {
		t.Error("nothing was sent meanwhile")
	}
}
