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
	Front    netip.AddrPort // where clients connect to
	Zone     string
	Region   string
	Health   Health
	Ready    bool // it says that it serves
	Stopping bool // it says that it will end
}

// Members is the membership view.
type Members interface {
	// Edges returns the edge machines that are known, dead ones that are not yet forgotten included.
	Edges() []Edge
}

// Bounds of an answer.
const (
	MostAddresses = 64 // that one answer holds
	enoughInZone  = 2  // proxies: with fewer, a zone's clients are sent to the region's others, too
)

// grades of a proxy: only those of the best grade that is present are given to clients.
const (
	gradeServing  = iota // alive, ready, not stopping
	gradeSuspect         // the same, but it did not answer
	gradeNotReady        // alive or suspect, but it says that it does not serve or will stop
	gradeDead
	grades
)

func (e *Edge) grade() int {
	switch {
	case e.Health == Dead:
		return gradeDead
	case !e.Ready || e.Stopping:
		return gradeNotReady
	case e.Health == Suspect:
		return gradeSuspect
	}
	return gradeServing
}

// Choice is what a client is told.
type Choice struct {
	Addresses []netip.AddrPort // in the order in which to try them; empty only if no proxy is known
	Away      bool             // all of them are in other regions than the client's, which has proxies
}

// Choose returns the addresses for a client that stands in the region and zone, in an order drawn from rng within equal
// distance.
func Choose(edges []Edge, region, zone string, rng *rand.Rand) Choice {
	near := nearest(bestGrade(edges), region, zone)
	here := func(e *Edge) bool { return e.Region == region || e.Zone == zone }
	home := slices.ContainsFunc(edges, func(e Edge) bool { return here(&e) })
	return Choice{Addresses: shuffled(near, zone, rng), Away: home && !slices.ContainsFunc(near, here)}
}

// shuffled returns the addresses of edges, those of the zone first.
func shuffled(near []*Edge, zone string, rng *rand.Rand) []netip.AddrPort {
	rng.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	inZone := make([]netip.AddrPort, 0, min(len(near), MostAddresses))
	var others []netip.AddrPort
	for _, e := range near {
		if e.Zone == zone {
			inZone = append(inZone, e.Front)
		} else {
			others = append(others, e.Front)
		}
	}
	out := append(inZone, others...)
	return out[:min(len(out), MostAddresses)]
}

// bestGrade returns the edges of the best grade that any has.
func bestGrade(edges []Edge) []*Edge {
	var byGrade [grades][]*Edge
	for i := range edges {
		if !edges[i].Front.IsValid() {
			continue
		}
		grade := edges[i].grade()
		byGrade[grade] = append(byGrade[grade], &edges[i])
	}
	for _, found := range byGrade {
		if len(found) > 0 {
			return found
		}
	}
	return nil
}

// nearest returns the zone's edges if there are enough, else the region's, else all.
func nearest(edges []*Edge, region, zone string) []*Edge {
	inZone := filter(edges, func(e *Edge) bool { return e.Zone == zone })
	if len(inZone) >= enoughInZone {
		return inZone
	}
	inRegion := filter(edges, func(e *Edge) bool { return e.Region == region || e.Zone == zone })
	if len(inRegion) > 0 {
		return inRegion
	}
	return edges
}

func filter(edges []*Edge, keep func(*Edge) bool) []*Edge {
	var out []*Edge
	for _, e := range edges {
		if keep(e) {
			out = append(out, e)
		}
	}
	return out
}
