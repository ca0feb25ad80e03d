package versions

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of events.
const (
	ListApplied       EventKind = iota // the own discovery sent a version; Facts are the workers that changed
	FactsReceived                      // a member sent facts
	CaughtUp                           // a member has sent all facts up to Version.Revision
	NewerVersionKnown                  // a member knows a newer version, which was not known here
	FactDoubted                        // a member's fact is no longer used
	DiscoverySilent                    // the own discovery has been silent, for SilentFor so far
	DiscoveryResumed                   // it replies again
	ClockReceived                      // a member's clock was PeerClock when it sent its message
)

// Event is something that a Table learned, for the audit log.
type Event struct {
	Kind      EventKind
	From      string // the member that sent it; empty: the own discovery
	Version   Version
	Cached    bool // of ListApplied: the list was read from disk
	Facts     []Fact
	SilentFor float64 // of DiscoverySilent, in seconds
	PeerClock float64 // of ClockReceived, in seconds of Unix time
}

const (
	clockInterval       = 1.0   // seconds between two payloads with the own clock
	minClockImprovement = 0.001 // seconds by which a message must be quicker than those before to be reported
	clockLeadTTL        = 600.0 // seconds after which those before expire, since clocks drift
)

// recordClock reports a member's clock if the message was quicker than those before.
func (t *Table) recordClock(now float64, from string, peer *Peer, peerClock float64) {
	if peerClock <= 0 {
		return
	}
	lead := now - peerClock
	isFirst := peer.clockLeadAt == 0
	isQuicker := lead < peer.clockLead-minClockImprovement
	isExpired := now > peer.clockLeadAt+clockLeadTTL
	if isFirst || isQuicker || isExpired {
		peer.clockLead = lead
		peer.clockLeadAt = now
		t.OnEvent(now, &Event{Kind: ClockReceived, From: from, PeerClock: peerClock})
	}
}

// checkDiscovery reports when the own discovery becomes silent; HandleDiscoveryContact ends that.
func (t *Table) checkDiscovery(now float64) {
	if t.lastDiscovery > 0 && !t.discoverySilent && now > t.lastDiscovery+discoveryTimeout {
		t.discoverySilent = true
		t.OnEvent(now, &Event{Kind: DiscoverySilent, SilentFor: now - t.lastDiscovery})
	}
}
