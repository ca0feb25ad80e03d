package versions

// EventKind is what a Note tells.
type EventKind uint8

// The kinds.
const (
	ListApplied       EventKind = iota // the own discovery told a version; Facts are workers that it changes
	FactsReceived                      // a member told what it knows of workers
	CaughtUp                           // a member has told all that it knows up to List.Rev
	NewerVersionKnown                  // a member knows of a newer version, for the first time
	FactDoubted                        // what a member told counts no more
	DiscoverySilent                    // the own discovery says nothing, for Late seconds so far
	DiscoveryResumed                   // it speaks again
	ClockReceived                      // a member's clock was Theirs, at most so long ago as its message took
)

// Event is something that a Board took up, for whoever keeps books.
type Event struct {
	Kind                 EventKind
	From                 string // who told it; empty: the own discovery
	Version              Version
	Cached               bool
	Facts                []Fact
	SilentFor, PeerClock float64
}

const (
	clockInterval       = 1.0   // seconds between two times that a member tells its clock
	minClockImprovement = 0.001 // seconds by which a message must have been quicker than those before to be noted
	clockLeadTTL        = 600.0 // seconds after which those before count no more: clocks drift
)

// recordClock notes a member's clock where its message was quicker than those before.
func (t *Table) recordClock(now float64, from string, p *Peer, peerClock float64) {
	if lead := now - peerClock; peerClock > 0 && (p.clockLeadAt == 0 || lead < p.clockLead-minClockImprovement || now > p.clockLeadAt+clockLeadTTL) {
		p.clockLead, p.clockLeadAt = lead, now
		t.OnEvent(now, &Event{Kind: ClockReceived, From: from, PeerClock: peerClock})
	}
}

// checkDiscovery notes when the own discovery falls silent; it speaks again with Live.
func (t *Table) checkDiscovery(now float64) {
	if t.lastDiscovery > 0 && !t.discoverySilent && now > t.lastDiscovery+discoveryTimeout {
		t.discoverySilent = true
		t.OnEvent(now, &Event{Kind: DiscoverySilent, SilentFor: now - t.lastDiscovery})
	}
}
