package gossip

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ControlAddresses returns the addresses of control replicas in the order in which to try them: alive ones before
// suspects, seeds of which nothing is known and dead ones; then nearer ones; then by a hash that differs between
// members, so that they spread.
func (l *Memberlist) ControlAddresses() []netip.AddrPort {
	l.mutex.Lock()
	port := l.options.ControlPort
	seeds := l.options.Seeds
	l.mutex.Unlock()
	candidates := l.candidates(Control)
	for _, seed := range seeds {
		known := slices.ContainsFunc(candidates, func(c candidate) bool { return c.address == seed.Addr() })
		if !known && seed.Addr() != l.address.Addr() {
			candidates = append(candidates, candidate{
				address:      seed.Addr(),
				reachability: reachabilityUnknown,
				spread:       l.spreadKey(seed.Addr()),
			})
		}
	}
	return sortedAddresses(candidates, port)
}

// AgentAddresses returns the addresses of other agents in the order in which to try them.
func (l *Memberlist) AgentAddresses() []netip.AddrPort {
	return sortedAddresses(l.candidates(Edge), l.options.AgentPort)
}

// Classes of members, most likely to reply first.
const (
	reachabilityAlive = iota
	reachabilitySuspect
	reachabilityUnknown
	reachabilityDead
)

// candidate is a member that may serve calls.
type candidate struct {
	address      netip.Addr
	reachability int // one of the classes above
	distance     int
	spread       uint64 // breaks ties
}

// candidates returns the other members of a role that have not left.
func (l *Memberlist) candidates(role Role) []candidate {
	var candidates []candidate
	for _, member := range l.View() {
		if member.Role != role || member.Self || member.State == Left {
			continue
		}
		c := candidate{
			address:  member.Address,
			distance: l.zoneDistance(member.Zone),
			spread:   l.spreadKey(member.Address),
		}
		switch member.State {
		case Alive:
			c.reachability = reachabilityAlive
		case Suspect:
			c.reachability = reachabilitySuspect
		default:
			c.reachability = reachabilityDead
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// zoneDistance is 0 within the zone, 1 within the region, 2 beyond.
func (l *Memberlist) zoneDistance(zone string) int {
	switch {
	case zone == l.options.Zone:
		return 0
	case zone != "" && l.options.Zones[zone] == l.options.Zones[l.options.Zone]:
		return 1
	}
	return 2
}

// spreadKey returns a hash of an address that differs between members.
func (l *Memberlist) spreadKey(address netip.Addr) uint64 {
	return xxhash.Sum64String(l.options.Node + nameSeparator + address.String())
}

// sortedAddresses returns the addresses of the candidates, best first.
func sortedAddresses(candidates []candidate, port uint16) []netip.AddrPort {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.reachability, b.reachability),
			cmp.Compare(a.distance, b.distance),
			cmp.Compare(a.spread, b.spread),
		)
	})
	addresses := make([]netip.AddrPort, 0, len(candidates))
	for _, c := range candidates {
		addresses = append(addresses, netip.AddrPortFrom(c.address, port))
	}
	return addresses
}
