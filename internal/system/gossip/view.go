package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/shared/membership"
)

// DefaultDeadProxyTTL is how long an edge that is held to be dead counts among the proxies that may be sending.
const DefaultDeadProxyTTL = 10 * time.Second

const nameSeparator = "/"

// State is what a member is held to be.
type State = membership.State

// The states.
const (
	Alive   = membership.Alive
	Suspect = membership.Suspect
	Dead    = membership.Dead
	Left    = membership.Left
)

// Member is a process as this one knows it. Role and what follows it are empty until the member's facts have come.
type Member struct {
	Node    string
	Address netip.Addr // of its machine, for calls
	State   State
	Since   time.Time // of the state, by the steady clock
	Self    bool
	Role    Role
	Zone    string
	Front   string // address that clients use; empty: none or not told
	Serving Serving
	Version string
}

// Usable says whether clients may be sent to the member.
func (m *Member) Usable() bool {
	return m.Role == Edge && m.State <= Suspect && m.Serving == ServingNow && m.Front != ""
}

// digests tell one view from another.
type digests struct{ view, facts uint64 }

// snapshot is the view as it was last asked for.
type snapshot struct {
	digests digests
	members []Member
}

// viewChanged says whether the view is another one than when this was last asked.
func (g *Memberlist) viewChanged() bool {
	now := g.digests()
	if now == g.notifiedDigests {
		return false
	}
	g.notifiedDigests = now
	return true
}

func (g *Memberlist) digests() digests {
	return digests{view: g.node.Digest(), facts: g.node.FactsDigest()}
}

// refresh makes the snapshot anew if the view has changed.
func (g *Memberlist) refresh() {
	now := g.digests()
	if g.snapshot.members != nil && g.snapshot.digests == now {
		return
	}
	view := g.node.View()
	members := make([]Member, 0, len(view.Members))
	for i := range view.Members {
		members = append(members, g.newMember(&view.Members[i]))
	}
	g.snapshot = snapshot{digests: now, members: members}
}

func (g *Memberlist) newMember(entry *membership.Seen) Member {
	member := Member{
		Node:    nodeName(entry.Name),
		Address: entry.Addr.Addr(),
		State:   entry.State,
		Since:   g.timeOf(entry.Since),
		Self:    entry.Me,
	}
	if facts := entry.FactsOf; facts != nil {
		member.Role = Role(facts.Role)
		member.Zone = facts.Zone
		member.Front = facts.Front
		member.Serving = Serving(facts.Serving)
		member.Version = facts.Version
	}
	return member
}

// nodeName is the machine's part of a member's name.
func nodeName(member string) string {
	if i := strings.LastIndex(member, nameSeparator); i >= 0 {
		return member[:i]
	}
	return member
}

// roleOf is the role in a member's name.
func roleOf(member string) Role { return Role(member[strings.LastIndex(member, nameSeparator)+1:]) }

// currentMembers are those of an up-to-date snapshot.
func (g *Memberlist) currentMembers() []Member {
	g.refresh()
	return g.snapshot.members
}

// View returns the members, by name, this one among them. The slice is shared and not to be changed.
func (g *Memberlist) View() []Member {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.currentMembers()
}

// LastConfirmedView returns the members as View does, but those of a process that nobody answers any more as they were when
// somebody last did: it is cut off, and whoever it can't reach may be there. Those that were dead or had left before are so.
func (g *Memberlist) LastConfirmedView() []Member {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.isolation.confirmed != nil {
		return g.isolation.confirmed
	}
	return g.currentMembers()
}

// ProxyCount is how many proxies may be sending: those that are dead to this process may be cut off from it only, and count
// for a while. A member whose role is not known counts. 0: this process does not know the others yet.
func (g *Memberlist) ProxyCount() int {
	proxies, known := g.activeProxies()
	if !known {
		return 0
	}
	return max(1, len(proxies))
}

// Peers are the other proxies that may be sending, as Proxies counts them; nil where those are not known yet.
func (g *Memberlist) Peers() []Member {
	proxies, known := g.activeProxies()
	if !known {
		return nil
	}
	return slices.DeleteFunc(proxies, func(m Member) bool { return m.Self })
}

// activeProxies are the members that may be sending, in a slice of the caller's own; known: the view has been complete once.
func (g *Memberlist) activeProxies() (proxies []Member, known bool) {
	members := g.View()
	g.mutex.Lock()
	known = g.viewComplete
	g.mutex.Unlock()
	if !known {
		return nil, false
	}
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !g.maySend(&m) }), true
}

func (g *Memberlist) maySend(member *Member) bool {
	if member.Role != Edge && member.Role != "" {
		return false
	}
	return member.State <= Suspect || member.State == Dead && time.Since(member.Since) < g.options.DeadProxyTTL
}

// ControlAddresses returns where control replicas serve, in the order in which to try them: those that are alive before
// suspected ones, seeds nothing is known of and dead ones; then the nearest; then by a number that differs between
// members, so that they spread.
func (g *Memberlist) ControlAddresses() []netip.AddrPort {
	g.mutex.Lock()
	port, seeds := g.options.ControlPort, g.options.Seeds
	g.mutex.Unlock()
	candidates := g.candidates(Control)
	for _, seed := range seeds {
		known := slices.ContainsFunc(candidates, func(c candidate) bool { return c.address == seed.Addr() })
		if !known && seed.Addr() != g.address.Addr() {
			candidates = append(candidates, candidate{address: seed.Addr(), reachability: reachabilityUnknown, spread: g.spreadKey(seed.Addr())})
		}
	}
	return sortedAddresses(candidates, port)
}

// AgentAddresses returns where other agents serve, in the order in which to try them.
func (g *Memberlist) AgentAddresses() []netip.AddrPort {
	return sortedAddresses(g.candidates(Edge), g.options.AgentPort)
}

// Classes of members, by how likely they are to answer.
const (
	reachabilityAlive = iota
	reachabilitySuspect
	reachabilityUnknown
	reachabilityDead
)

type candidate struct {
	address      netip.Addr
	reachability int
	distance     int
	spread       uint64
}

// candidates are the other members of a role that have not left.
func (g *Memberlist) candidates(role Role) []candidate {
	var candidates []candidate
	for _, member := range g.View() {
		if member.Role != role || member.Self || member.State == Left {
			continue
		}
		c := candidate{address: member.Address, distance: g.zoneDistance(member.Zone), spread: g.spreadKey(member.Address)}
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
func (g *Memberlist) zoneDistance(zone string) int {
	switch {
	case zone == g.options.Zone:
		return 0
	case zone != "" && g.options.Zones[zone] == g.options.Zones[g.options.Zone]:
		return 1
	}
	return 2
}

func (g *Memberlist) spreadKey(address netip.Addr) uint64 {
	return xxhash.Sum64String(g.options.Node + nameSeparator + address.String())
}

func sortedAddresses(candidates []candidate, port uint16) []netip.AddrPort {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.reachability, b.reachability), cmp.Compare(a.distance, b.distance), cmp.Compare(a.spread, b.spread))
	})
	addresses := make([]netip.AddrPort, 0, len(candidates))
	for _, c := range candidates {
		addresses = append(addresses, netip.AddrPortFrom(c.address, port))
	}
	return addresses
}
