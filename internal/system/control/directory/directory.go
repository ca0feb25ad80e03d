// Package directory tells clients which edge proxies to connect to, from what the membership view holds: proxies that
// are ready, those near the client first, and enough of them that no single one takes a zone's load.
package directory

import (
	"math/rand/v2"
	"net/netip"
	"slices"
)

// Health is what is held of a member.
type Health uint8

// The values of Health, best first.
const (
	Alive   Health = iota
	Suspect        // did not answer; it may be back
	Dead           // has not answered for long, or has left
)

// Edge is an edge machine's proxy as the membership view has it.
type Edge struct {
	Node     string
	Address  netip.AddrPort // where clients connect to
	Zone     string
	Region   string
	Health   Health
	Ready    bool // it says that it serves
	Stopping bool // it says that it will end
}

// EdgeSource is the membership view.
type EdgeSource interface {
	// Edges returns the edge machines that are known, dead ones that are not yet forgotten included.
	Edges() []Edge
}

// Bounds of an answer.
const (
	MaxAddresses = 64 // that one answer holds
	minZoneEdges = 2  // proxies: with fewer, a zone's clients are sent to the region's others, too
)

// grades of a proxy: only those of the best grade that is present are given to clients.
const (
	tierServing  = iota // alive, ready, not stopping
	tierSuspect         // the same, but it did not answer
	tierNotReady        // alive or suspect, but it says that it does not serve or will stop
	tierDead
	tierCount
)

func (e *Edge) tier() int {
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

// Choice is what a client is told.
type Choice struct {
	Addresses   []netip.AddrPort // in the order in which to try them; empty only if no proxy is known
	OutOfRegion bool             // all of them are in other regions than the client's, which has proxies
}

// Choose returns the addresses for a client that stands in the region and zone, in an order drawn from rng within equal
// distance.
func Choose(edges []Edge, region, zone string, rng *rand.Rand) Choice {
	near := nearest(bestTier(edges), region, zone)
	inRegion := func(edge *Edge) bool { return edge.Region == region || edge.Zone == zone }
	regionHasEdges := slices.ContainsFunc(edges, func(edge Edge) bool { return inRegion(&edge) })
	return Choice{Addresses: shuffledAddresses(near, zone, rng), OutOfRegion: regionHasEdges && !slices.ContainsFunc(near, inRegion)}
}

// shuffledAddresses returns the addresses of edges, those of the zone first.
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

// bestTier returns the edges of the best grade that any has.
func bestTier(edges []Edge) []*Edge {
	var byTier [tierCount][]*Edge
	for i := range edges {
		if !edges[i].Address.IsValid() {
			continue
		}
		tier := edges[i].tier()
		byTier[tier] = append(byTier[tier], &edges[i])
	}
	for _, found := range byTier {
		if len(found) > 0 {
			return found
		}
	}
	return nil
}

// nearest returns the zone's edges if there are enough, else the region's, else all.
func nearest(edges []*Edge, region, zone string) []*Edge {
	inZone := filter(edges, func(e *Edge) bool { return e.Zone == zone })
	if len(inZone) >= minZoneEdges {
		return inZone
	}
	inRegion := filter(edges, func(e *Edge) bool { return e.Region == region || e.Zone == zone })
	if len(inRegion) > 0 {
		return inRegion
	}
	return edges
}

func filter(edges []*Edge, keep func(*Edge) bool) []*Edge {
	var filtered []*Edge
	for _, e := range edges {
		if keep(e) {
			filtered = append(filtered, e)
		}
	}
	return filtered
}
