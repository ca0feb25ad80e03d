package control

import (
	"net/netip"
	"testing"

	"cinderroad/internal/system/consensus"
	"cinderroad/internal/system/gossip"
)

// TestZonesOfCounterPeers guards against founders, whose zones the groups don't know at first, being taken for machines in
// one more zone: additions were acknowledged that were in one zone only.
func TestZonesOfCounterPeers(t *testing.T) {
	const port = 7660
	address := func(machine byte) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, machine}) }
	member := func(machine byte, state gossip.State, zone string) gossip.Member {
		return gossip.Member{Address: address(machine), State: state, Role: gossip.Control, Zone: zone}
	}
	self := member(1, gossip.Alive, "a")
	self.Self = true
	edge := member(9, gossip.Alive, "a")
	edge.Role = gossip.Edge
	members := []gossip.Member{self, member(2, gossip.Suspect, "b"), member(3, gossip.Dead, "c"), edge}
	replicas := []consensus.Member{
		{Address: netip.AddrPortFrom(address(2), port).String()},
		{Address: netip.AddrPortFrom(address(3), port).String()},
		{Address: netip.AddrPortFrom(address(4), port).String(), Zone: "d"},
		{Address: "invalid", Zone: "e"},
	}
	peers, known := mergeCounterPeers(replicas, members, port)
	zones := map[netip.Addr]string{}
	for _, peer := range peers {
		if zone, seen := zones[peer.Address.Addr()]; seen && zone != peer.Zone {
			t.Errorf("%s is in zone %q and in zone %q", peer.Address, zone, peer.Zone)
		}
		zones[peer.Address.Addr()] = peer.Zone
	}
	want := map[netip.Addr]string{address(2): "b", address(3): "c", address(4): "d"}
	for machine, zone := range want {
		if zones[machine] != zone {
			t.Errorf("%s is in zone %q, want %q", machine, zones[machine], zone)
		}
	}
	if !known || len(zones) != len(want) {
		t.Errorf("peers %v, %v", peers, known)
	}
	if peers, known := mergeCounterPeers(nil, []gossip.Member{self, edge}, port); known || len(peers) != 0 {
		t.Errorf("a machine that knows no other: %v, %v", peers, known)
	}
}
