package placement

import (
	"testing"
	"time"
)

// twoRegionProxies are proxies of two regions that know the same runners.
func twoRegionProxies(t *testing.T, runners []Runner) []*Placer {
	t.Helper()
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

// rarePrefixRequest has a prefix that no other request has, and a body whose way to another region is cheap.
func rarePrefixRequest(now time.Duration, prefix uint64) *Request {
	r := prefixRequest(now, prefix, 1<<40+prefix)
	r.BodyBytes = 2 * r.InputTokens
	return r
}

// A rare prefix has one owner for all regions; a region that sends a prefix often has an owner of its own.
func TestRarePrefixesHaveOneGlobalOwner(t *testing.T) {
	proxies := twoRegionProxies(t, testRunners("llm", 12))
	ownersOf := func(prefix uint64) map[string]bool {
		owners := map[string]bool{}
		for _, p := range proxies {
			c, rejection := p.Place(testStart, rarePrefixRequest(testStart, prefix))
			if rejection != nil {
				t.Fatal(rejection)
			}
			owners[c.Runner] = true
		}
		return owners
	}
	for prefix := range uint64(40) {
		if owners := ownersOf(prefix); len(owners) != 1 {
			t.Errorf("prefix %d has the owners %v", prefix, owners)
		}
	}
	now := testStart
	for i := range uint64(400) { // ten times each: all proxies see them again and again
		now += 10 * time.Millisecond
		for _, p := range proxies {
			p.Tick(now)
			r := rarePrefixRequest(now, i%40)
			c, _ := p.Place(now, r)
			completeAttempt(p, now, r, c)
		}
	}
	two := 0
	for prefix := range uint64(40) {
		if len(ownersOf(prefix)) == 2 {
			two++
		}
	}
	if two < 38 {
		t.Errorf("%d of 40 prefixes that come often have an owner in each region", two)
	}
}

// A body that is long for its shared chunks is not sent to another region, nor is one of unknown length.
func TestLargeBodiesStayInRegion(t *testing.T) {
	proxies := twoRegionProxies(t, testRunners("llm", 12))
	for _, bytes := range []int{0, 1 << 20} {
		for prefix := range uint64(40) {
			for i, p := range proxies {
				r := rarePrefixRequest(testStart, prefix)
				r.BodyBytes = bytes
				p.statsOf(r.Route).prefixReuse = 0.5
				if c, _ := p.Place(testStart, r); p.runners[c.Runner].Region != p.options.Region {
					t.Errorf("proxy %d sent prefix %d of %d bytes to %s", i, prefix, bytes, c.Runner)
				}
			}
		}
	}
}

// If an owner in another region has no spare capacity, all proxies of a region agree on one of their own runners.
func TestFullRemoteOwnerIsReplacedInRegion(t *testing.T) {
	proxies := twoRegionProxies(t, testRunners("llm", 12))
	for prefix := range uint64(40) {
		next := map[string]string{}
		for i, placer := range proxies {
			r := rarePrefixRequest(testStart, prefix)
			owner, _ := placer.Place(testStart, r)
			runner := placer.runners[owner.Runner]
			spareSlots := runner.spareSlots
			runner.spareSlots = 0
			c, rejection := placer.Place(testStart, r)
			runner.spareSlots = spareSlots
			if rejection != nil || c.Runner == owner.Runner || placer.runners[c.Runner].Region != placer.options.Region {
				t.Fatalf("proxy %d sent prefix %d to %s, the owner being %s, %v", i, prefix, c.Runner, owner.Runner, rejection)
			}
			if was := next[placer.options.Region]; was != "" && was != c.Runner {
				t.Errorf("prefix %d goes to %s and %s", prefix, was, c.Runner)
			}
			next[placer.options.Region] = c.Runner
		}
	}
}

// The owner for all regions is never outside the route's home regions.
func TestGlobalOwnerStaysInHomeRegions(t *testing.T) {
	proxies := twoRegionProxies(t, testRunners("llm", 12))
	for prefix := range uint64(40) {
		for i, p := range proxies {
			r := rarePrefixRequest(testStart, prefix)
			r.Route.HomeRegions = []string{"west"}
			if c, rejection := p.Place(testStart, r); rejection != nil || p.runners[c.Runner].Region != "west" {
				t.Errorf("proxy %d sent prefix %d to %s, %v", i, prefix, c.Runner, rejection)
			}
		}
	}
}
