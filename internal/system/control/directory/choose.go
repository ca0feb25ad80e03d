package directory

import (
	"math/rand/v2"
	"net/netip"
	"slices"
)

// Health is the state of a machine in the gossip membership.
type Health uint8

// The values of Health, best first.
const (
	Alive   Health = iota
	Suspect        // did not respond; it may be back soon
	Dead           // has not responded for long, or has left
)

// Edge is an edge machine and its proxy.
type Edge struct {
	Node     string
	Address  netip.AddrPort // of the proxy's listener for clients; invalid if it is unknown
	Zone     string
	Region   string
	Health   Health
	Ready    bool // the proxy reports that it serves
	Stopping bool // the proxy reports that it is shutting down
}

// EdgeSource is where Handler takes the edge machines from.
type EdgeSource interface {
	// Edges returns the known edge machines, including dead ones that membership has not removed yet. It may be called
	// concurrently.
	Edges() []Edge
}

const (
	// MaxAddresses is the most addresses in one reply.
	MaxAddresses = 64
	// minZoneEdges is the number of proxies in a zone below which its clients get all proxies of the region.
	minZoneEdges = 2
)

// tier groups proxies by how likely they are to serve. Clients are given only proxies of the best tier that any has.
type tier uint8

// The tiers, best first.
const (
	tierServing  tier = iota // alive, ready and not stopping
	tierSuspect              // ready and not stopping, but suspect
	tierNotReady             // alive or suspect, but not ready or stopping
	tierDead
	tierCount
)

// tier returns the tier of the edge's proxy.
func (e *Edge) tier() tier {
	switch {
	case e.Health == Dead:
		return tierDead
	case !e.Ready || e.Stopping:
		return tierNotReady
	case e.Health == Suspect:
		return tierSuspect
	}
	return tierServing
}

// isNear reports whether the edge is in the client's region or zone, of which its request may name only one.
func (e *Edge) isNear(region, zone string) bool { return e.Region == region || e.Zone == zone }

// Choice is the reply to a client.
type Choice struct {
	Addresses   []netip.AddrPort // in the order in which to try them; empty only if no address is known
	OutOfRegion bool             // none is in the client's region, although that has proxies
}

// Choose returns the addresses for a client in a region and zone, which may be empty or unknown. Those of the zone come
// first, in random order; the others follow in random order.
func Choose(edges []Edge, region, zone string, rng *rand.Rand) Choice {
	chosen := nearest(bestTier(edges), region, zone)
	regionHasEdges := slices.ContainsFunc(edges, func(edge Edge) bool { return edge.isNear(region, zone) })
	regionIsChosen := slices.ContainsFunc(chosen, func(edge *Edge) bool { return edge.isNear(region, zone) })
	return Choice{Addresses: shuffledAddresses(chosen, zone, rng), OutOfRegion: regionHasEdges && !regionIsChosen}
}

// bestTier returns the edges of the best tier that any has, without those whose addresses are unknown.
func bestTier(edges []Edge) []*Edge {
	var byTier [tierCount][]*Edge
	for i := range edges {
		if !edges[i].Address.IsValid() {
			continue
		}
		of := edges[i].tier()
		byTier[of] = append(byTier[of], &edges[i])
	}
	for _, best := range byTier {
		if len(best) > 0 {
			return best
		}
	}
	return nil
}

// nearest returns the zone's edges if there are enough, else the region's if there are any, else all.
func nearest(edges []*Edge, region, zone string) []*Edge {
	inZone := filter(edges, func(edge *Edge) bool { return edge.Zone == zone })
	if len(inZone) >= minZoneEdges {
		return inZone
	}
	inRegion := filter(edges, func(edge *Edge) bool { return edge.isNear(region, zone) })
	if len(inRegion) > 0 {
		return inRegion
	}
	return edges
}

// filter returns the edges for which keep returns true.
func filter(edges []*Edge, keep func(*Edge) bool) []*Edge {
	var filtered []*Edge
	for _, edge := range edges {
		if keep(edge) {
			filtered = append(filtered, edge)
		}
	}
	return filtered
}

// shuffledAddresses returns up to MaxAddresses addresses in random order, those of the zone first. It shuffles edges.
func shuffledAddresses(edges []*Edge, zone string, rng *rand.Rand) []netip.AddrPort {
	rng.Shuffle(len(edges), func(i, j int) { edges[i], edges[j] = edges[j], edges[i] })
	inZone := make([]netip.AddrPort, 0, min(len(edges), MaxAddresses))
	var others []netip.AddrPort
	for _, edge := range edges {
		if edge.Zone == zone {
			inZone = append(inZone, edge.Address)
		} else {
			others = append(others, edge.Address)
		}
	}
	addresses := append(inZone, others...)
	return addresses[:min(len(addresses), MaxAddresses)]
}
