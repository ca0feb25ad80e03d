package versions

// This file is what renews a member's lease: words of discovery, one's own or passed on. A word is the time at which discovery
// spoke, by the clock of the member that heard it; one that is newer than all before it counts, once, however often and by
// whatever ways it comes: told in circles it renews nothing.

const (
	stampsPerSecond = 10
	maxClockLead    = 10 // seconds that a member's clock may be ahead of this one's: further on its words count for nothing
)

// LastConfirmed is when a word of discovery last confirmed all that is known here; 0: never.
func (b *Table) LastConfirmed() float64 { return b.lastConfirmed }

// LastDiscovery is when the own discovery last spoke; 0: never.
func (b *Table) LastDiscovery() float64 { return b.lastDiscovery }

// ExpireUpdates takes it that whatever was heard before now is old.
func (b *Table) ExpireUpdates(now float64) {
	b.lastConfirmed, b.directUpdate = min(b.lastConfirmed, now-expiredAge), false
}

// confirmByDiscovery takes it that the own discovery has spoken. One that tells an old list confirms nothing.
func (b *Table) confirmByDiscovery(now float64) {
	if b.directUpdate = b.completeUpTo() >= b.confirmedRevision(); b.directUpdate {
		b.lastConfirmed, b.updateStamp = now, max(b.updateStamp, uint64(now*stampsPerSecond))
	}
}

// mergePeerUpdate takes a peer's word of discovery: by it others see that the peer has one, and where all that the peer knows is known here,
// it counts here, too.
func (b *Table) mergePeerUpdate(now float64, p *Peer, r *payload) {
	if float64(r.UpdateStamp) > (now+maxClockLead)*stampsPerSecond {
		return
	}
	if r.UpdateStamp > p.updateStamp {
		p.updateStamp, p.LastUpdate, p.DirectUpdate = r.UpdateStamp, now, r.DirectUpdate
	}
	if _, ok := b.version.Lag(r.Version); b.hasVersion && ok && r.UpdateStamp > b.updateStamp && max(r.CompleteUpTo, r.Version.Revision) <= b.completeUpTo() {
		b.lastConfirmed, b.updateStamp = now, r.UpdateStamp
	}
}

// confirmedRevision is the newest version of the own line that discovery has surely told: two members at least say that their own lists have
// it, or the own one does. What one alone says may be wrong.
func (b *Table) confirmedRevision() int64 {
	first, second := b.version.Revision, b.version.Revision
	for _, p := range b.peers {
		if by, ok := b.version.Lag(p.Version); ok && by > 0 {
			if p.Version.Revision > first {
				first, second = p.Version.Revision, first
			} else {
				second = max(second, p.Version.Revision)
			}
		}
	}
	return second
}
