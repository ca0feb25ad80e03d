package versions

// This file is what renews a member's lease: words of discovery, one's own or passed on. A word is the time at which discovery
// spoke, by the clock of the member that heard it; one that is newer than all before it counts, once, however often and by
// whatever ways it comes: told in circles it renews nothing.

const (
	stampsPerSecond = 10
	maxClockLead    = 10 // seconds that a member's clock may be ahead of this one's: further on its words count for nothing
)

// LastConfirmed is when a word of discovery last confirmed all that is known here; 0: never.
func (t *Table) LastConfirmed() float64 { return t.lastConfirmed }

// LastDiscovery is when the own discovery last spoke; 0: never.
func (t *Table) LastDiscovery() float64 { return t.lastDiscovery }

// ExpireUpdates takes it that whatever was heard before now is old.
func (t *Table) ExpireUpdates(now float64) {
	t.lastConfirmed, t.directUpdate = min(t.lastConfirmed, now-expiredAge), false
}

// confirmByDiscovery takes it that the own discovery has spoken. One that tells an old list confirms nothing.
func (t *Table) confirmByDiscovery(now float64) {
	if t.directUpdate = t.completeUpTo() >= t.confirmedRevision(); t.directUpdate {
		t.lastConfirmed, t.updateStamp = now, max(t.updateStamp, uint64(now*stampsPerSecond))
	}
}

// mergePeerUpdate takes a peer's word of discovery: by it others see that the peer has one, and where all that the peer knows is known here,
// it counts here, too.
func (t *Table) mergePeerUpdate(now float64, p *Peer, msg *payload) {
	if float64(msg.UpdateStamp) > (now+maxClockLead)*stampsPerSecond {
		return
	}
	if msg.UpdateStamp > p.updateStamp {
		p.updateStamp, p.LastUpdate, p.DirectUpdate = msg.UpdateStamp, now, msg.DirectUpdate
	}
	if _, ok := t.version.Lag(msg.Version); t.hasVersion && ok && msg.UpdateStamp > t.updateStamp && max(msg.CompleteUpTo, msg.Version.Revision) <= t.completeUpTo() {
		t.lastConfirmed, t.updateStamp = now, msg.UpdateStamp
	}
}

// confirmedRevision is the newest version of the own line that discovery has surely told: two members at least say that their own lists have
// it, or the own one does. What one alone says may be wrong.
func (t *Table) confirmedRevision() int64 {
	first, second := t.version.Revision, t.version.Revision
	for _, p := range t.peers {
		if by, ok := t.version.Lag(p.Version); ok && by > 0 {
			if p.Version.Revision > first {
				first, second = p.Version.Revision, first
			} else {
				second = max(second, p.Version.Revision)
			}
		}
	}
	return second
}
