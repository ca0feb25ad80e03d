package placement

import (
	"testing"
	"time"
)

// twoRegionProxies are proxies of two regions that know the same runners.
func twoRegionProxies(t *testing.T, runners []Runner) []*Placer {
	var proxies []*Placer
	for i, zone := range []string{"m", "t", "p", "p"} {
		p := newTestPlacer(t, zone, uint64(i))
		p.SetServices(testStart, testServices())
		p.SetRunners(testStart, runners)
		p.SetProxyCount(testStart, 4)
		proxies = append(proxies, p)
	}
	return proxies
}

// rarePrefixRequest has a chain that no other request has, and a body whose way to another region is cheap.
func rarePrefixRequest(now time.Duration, chain uint64) *Request {
	r := prefixRequest(now, chain, 1<<40+chain)
	r.BodyBytes = 2 * r.InputTokens
	return r
}

// Chains that come seldom have one owner for all regions; where a region sends one often, it has an owner of its own.
func TestRarePrefixesHaveOneGlobalOwner(t *testing.T) {
	proxies := twoRegionProxies(t, testRunners("llm", 12))
	ownersOf := func(chain uint64) map[string]bool {
		owners := map[string]bool{}
		for _, p := range proxies {
			c, refusal := p.Place(testStart, rarePrefixRequest(testStart, chain))
			if refusal != nil {
				t.Fatal(refusal)
			}
			owners[c.Runner] = true
		}
		return owners
	}
	for chain := range uint64(40) {
		if owners := ownersOf(chain); len(owners) != 1 {
			t.Errorf("chain %d has the owners %v", chain, owners)
		}
	}
	now := testStart
	for i := range uint64(400) { // ten times each: all proxies see them again and again
		now += 10 * time.Millisecond
		for _, p := range proxies {
			p.Tick(now)
			r := rarePrefixRequest(now, i%40)
			c, _ := p.Place(now, r)
			p.EndAttempt(now, p.StartAttempt(now, r, c), Succeeded, Progress{TimeToFirstEvent: time.Millisecond, Duration: time.Millisecond})
		}
	}
	two := 0
	for chain := range uint64(40) {
		if len(ownersOf(chain)) == 2 {
			two++
		}
	}
	if two < 38 {
		t.Errorf("%d of 40 chains that come often have an owner in each region", two)
	}
}

// A body that is long for the parts that it shares is not sent far, nor one whose length is not told.
func TestLargeBodiesStayInRegion(t *testing.T) {
	proxies := twoRegionProxies(t, testRunners("llm", 12))
	for _, bytes := range []int{0, 1 << 20} {
		for chain := range uint64(40) {
			for i, p := range proxies {
				r := rarePrefixRequest(testStart, chain)
				r.BodyBytes = bytes
				p.statsOf(r.Route).prefixReuse = 0.5
				if c, _ := p.Place(testStart, r); p.runners[c.Runner].Region != p.options.Region {
					t.Errorf("proxy %d sent chain %d of %d bytes to %s", i, chain, bytes, c.Runner)
				}
			}
		}
	}
}

// Where the owner in another region has no room, the proxies of a region send the chain to the same runner of theirs.
func TestFullRemoteOwnerIsReplacedInRegion(t *testing.T) {
	proxies := twoRegionProxies(t, testRunners("llm", 12))
	for chain := range uint64(40) {
		next := map[string]string{}
		for i, p := range proxies {
			r := rarePrefixRequest(testStart, chain)
			owner, _ := p.Place(testStart, r)
			w := p.runners[owner.Runner]
			room := w.spareSlots
			w.spareSlots = 0
			c, refusal := p.Place(testStart, r)
			w.spareSlots = room
			if refusal != nil || c.Runner == owner.Runner || p.runners[c.Runner].Region != p.options.Region {
				t.Fatalf("proxy %d sent chain %d to %s, the owner being %s, %v", i, chain, c.Runner, owner.Runner, refusal)
			}
			if was := next[p.options.Region]; was != "" && was != c.Runner {
				t.Errorf("chain %d goes to %s and %s", chain, was, c.Runner)
			}
			next[p.options.Region] = c.Runner
		}
	}
}

// One owner for all regions never means a region that the route is not bound to.
func TestGlobalOwnerStaysInHomeRegions(t *testing.T) {
	proxies := twoRegionProxies(t, testRunners("llm", 12))
	for chain := range uint64(40) {
		for i, p := range proxies {
			r := rarePrefixRequest(testStart, chain)
			r.Route.HomeRegions = []string{"west"}
			if c, refusal := p.Place(testStart, r); refusal != nil || p.runners[c.Runner].Region != "west" {
				t.Errorf("proxy %d sent chain %d to %s, %v", i, chain, c.Runner, refusal)
			}
		}
	}
}
