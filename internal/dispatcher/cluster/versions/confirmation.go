package versions

// A lease is renewed by updates of discovery, the own one's or those that peers forward. The stamp of an update is the time
// at which discovery sent it, by the clock of the member that received it. An update counts once, when its stamp is newer
// than all before: forwarded in circles it renews nothing.

const (
	stampsPerSecond = 10
	maxClockLead    = 10 // seconds that a member's clock may be ahead of this one's; its updates are ignored beyond
)

// LastConfirmed returns when an update of discovery last confirmed all that is known here, 0 if never.
func (t *Table) LastConfirmed() float64 { return t.lastConfirmed }

// LastDiscovery returns the time of the last contact with the own discovery, 0 if never.
func (t *Table) LastDiscovery() float64 { return t.lastDiscovery }

// ExpireUpdates records that all updates received before now are outdated, because the process was paused.
func (t *Table) ExpireUpdates(now float64) {
	t.lastConfirmed = min(t.lastConfirmed, now-expiredAge)
	t.directUpdate = false
}

// confirmByDiscovery records a contact with the own discovery. A stale list confirms nothing.
func (t *Table) confirmByDiscovery(now float64) {
	t.directUpdate = t.completeUpTo() >= t.confirmedRevision()
	if t.directUpdate {
		t.lastConfirmed = now
		t.updateStamp = max(t.updateStamp, uint64(now*stampsPerSecond))
	}
}

// mergePeerUpdate records the update of discovery that a peer forwards. If all that the peer knows is known here, the
// update confirms it here as well.
func (t *Table) mergePeerUpdate(now float64, peer *Peer, msg *payload) {
	if float64(msg.UpdateStamp) > (now+maxClockLead)*stampsPerSecond {
		return
	}
	if msg.UpdateStamp > peer.updateStamp {
		peer.updateStamp = msg.UpdateStamp
		peer.LastUpdate = now
		peer.DirectUpdate = msg.DirectUpdate
	}
	if _, ok := t.version.Lag(msg.Version); t.hasVersion && ok && msg.UpdateStamp > t.updateStamp &&
		max(msg.CompleteUpTo, msg.Version.Revision) <= t.completeUpTo() {
		t.lastConfirmed = now
		t.updateStamp = msg.UpdateStamp
	}
}

// confirmedRevision returns the newest revision of the own epoch that discovery has certainly issued: the own list has
// it, or at least two members say that theirs do. One member alone may be wrong.
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
