package versions

import (
	"cmp"
	"slices"
)

// HasUrgent reports whether facts or orders are still to be transmitted. It implements membership.Delegate.
func (t *Table) HasUrgent() bool { return t.pendingFacts > 0 || t.hasPendingOrders() }

// Payload returns what goes along with a message, nil if there is nothing.
func (t *Table) Payload(now float64, room int) []byte {
	if !t.hasVersion && len(t.orders.byMember) == 0 {
		return nil
	}
	msg := t.newPayload(now)
	room -= payloadOverhead + len(msg.Version.Source)
	msg.Orders = t.pendingOrders(room)
	for i := range msg.Orders {
		room -= msg.Orders[i].maxEncodedSize()
	}
	if now >= t.clockSentAt+clockInterval {
		t.clockSentAt = now
		msg.Clock = now
	}
	if t.pendingFacts > 0 {
		msg.Facts = t.takePendingFacts(room)
	}
	return t.encodePayload(msg)
}

// isPending reports whether the fact is still to be transmitted without a request.
func (f *fact) isPending() bool { return f.transmits < maxTransmits && !f.doubted }

// takePendingFacts returns the facts that are still to be transmitted, as many as fit into room bytes, and counts the
// transmission.
func (t *Table) takePendingFacts(room int) []Fact {
	selected := t.selectFacts((*fact).isPending)
	selected = selected[:fitFacts(selected, room)]
	for _, f := range selected {
		t.facts[f.Worker].transmits++
	}
	t.pendingFacts = 0
	for _, f := range t.facts {
		if f.isPending() {
			t.pendingFacts++
		}
	}
	return selected
}

// selectFacts returns the facts that match: those of draining and gone workers first, then those transmitted least
// often.
func (t *Table) selectFacts(matches func(*fact) bool) (selected []Fact) {
	var all []*fact
	for _, f := range t.facts {
		if matches(f) {
			all = append(all, f)
		}
	}
	slices.SortFunc(all, func(x, y *fact) int {
		return cmp.Or(
			cmp.Compare(min(y.State, Draining), min(x.State, Draining)),
			cmp.Compare(x.transmits, y.transmits),
			cmp.Compare(x.Worker, y.Worker),
		)
	})
	for _, f := range all {
		selected = append(selected, f.Fact)
	}
	return selected
}

// HandlePayload handles the payload of another member's message, and returns the payloads to reply.
func (t *Table) HandlePayload(now float64, from string, text []byte) (replies [][]byte) {
	msg, err := decodePayload(text)
	if err != nil {
		t.Stats.Malformed++
		return nil
	}
	t.updatePeer(now, from, msg)
	replies = t.handleOrders(now, msg)
	t.recordEpoch(msg.Version)
	t.adoptEpoch(now, msg)
	if _, ok := t.version.Lag(msg.Version); !t.hasVersion || !ok {
		return replies
	}
	theirs := max(msg.CompleteUpTo, msg.Version.Revision)
	t.handleFacts(now, from, theirs, msg)
	if theirs <= t.completeUpTo() || len(msg.Facts) > 0 {
		t.OnPeerState()
	}
	if msg.Request && t.allowReply(now) {
		replies = append(replies, t.replyPages(now, msg.Version.Revision)...)
	}
	// The request goes to whoever announces more. Members send to each other at random, so the requests are spread.
	if theirs > t.completeUpTo() && t.mayRequest(now, from) {
		t.nextRequestAt = now + requestInterval
		t.Stats.Requests++
		request := t.newPayload(now)
		request.Request = true
		replies = append(replies, t.encodePayload(request))
	}
	return replies
}

// mayRequest reports whether facts may be requested of a member now: one of another zone is asked only after sameZoneGrace,
// or if the lease has no time left for that.
func (t *Table) mayRequest(now float64, from string) bool {
	if now < t.nextRequestAt {
		return false
	}
	isLeaseOverdue := t.lastConfirmed < now-t.Lease.Term
	return t.SameZone(from) || now >= t.newerSince+sameZoneGrace || isLeaseOverdue
}

// updatePeer records what a member has, by its payload.
func (t *Table) updatePeer(now float64, from string, msg *payload) {
	peer, known := t.peers[from]
	if !known && len(t.peers) >= maxPeers {
		return
	}
	if peer.Version != msg.Version {
		peer.VersionSince = now
	}
	peer.Version = msg.Version
	t.mergePeerUpdate(now, &peer, msg)
	t.recordClock(now, from, &peer, msg.Clock)
	t.peers[from] = peer
}

// handleOrders applies a payload's orders. To a member that has other orders it replies a page of the own ones.
func (t *Table) handleOrders(now float64, msg *payload) (replies [][]byte) {
	for _, o := range msg.Orders {
		t.applyOrder(o)
	}
	if msg.OrdersDigest == t.orders.digest {
		return nil
	}
	page := t.ordersPage(now)
	if len(page) == 0 {
		return nil
	}
	reply := t.newPayload(now)
	reply.Orders = page
	return append(replies, t.encodePayload(reply))
}

// handleFacts applies a payload's facts. theirs is the revision up to which the sender knows all facts.
func (t *Table) handleFacts(now float64, from string, theirs int64, msg *payload) {
	if theirs > max(t.completeUpTo(), t.newestKnown) {
		if t.newestKnown <= t.completeUpTo() {
			t.newerSince = now
		}
		t.newestKnown = theirs
		t.OnEvent(now, &Event{Kind: NewerVersionKnown, From: from, Version: Version{t.version.Source, t.version.Epoch, theirs}})
	}
	var accepted []Fact
	for _, f := range msg.Facts {
		if t.acceptFact(now, from, f) {
			accepted = append(accepted, f)
		}
	}
	if len(accepted) > 0 {
		t.OnEvent(now, &Event{
			Kind:    FactsReceived,
			From:    from,
			Version: Version{Source: t.version.Source, Epoch: t.version.Epoch},
			Facts:   accepted,
		})
		t.updateRestrictions()
	}
	if msg.FactCount > 0 && t.countNewerFacts() >= msg.FactCount-1 { // all pages of the reply have come
		if theirs > t.completeUpTo() {
			t.OnEvent(now, &Event{Kind: CaughtUp, From: from, Version: Version{t.version.Source, t.version.Epoch, theirs}})
		}
		t.caughtUpTo = max(t.caughtUpTo, theirs)
		t.caughtUpAt = now
	}
}

// allowReply counts a request, and reports whether it is to be answered.
func (t *Table) allowReply(now float64) bool {
	if now >= t.replyWindowStart+replyWindow {
		t.replyWindowStart = now
		t.repliesInWindow = 0
	}
	t.repliesInWindow++
	return t.repliesInWindow <= maxRepliesPerWindow
}

// recordEpoch records the latest epoch of a source. A payload raises it by one at most, so that a wrong one cannot exhaust
// the numbers.
func (t *Table) recordEpoch(version Version) {
	latest := t.epochs[version.Source]
	t.epochs[version.Source] = max(latest, min(version.Epoch, latest+1))
}

// epochAge returns the seconds since the own epoch began, 0 if that is not known.
func (t *Table) epochAge(now float64) float32 {
	if t.epochStart == 0 {
		return 0
	}
	return float32(now - t.epochStart)
}

// epochStartMargin is the seconds that the own source must have sent its first list after an epoch began for the list to be
// certainly of that epoch.
const epochStartMargin = 1

// adoptEpoch adopts the cluster's number of an epoch that began before the own source first sent a list: then the own
// list is of that epoch, although this member did not see it begin.
func (t *Table) adoptEpoch(now float64, msg *payload) {
	began := now - float64(msg.EpochAge)
	if t.hasVersion && msg.Version.Source == t.version.Source && msg.Version.Epoch > t.version.Epoch &&
		t.firstLiveAt > began+epochStartMargin && msg.EpochAge > 0 {
		t.version.Epoch = msg.Version.Epoch
		t.epochStart = began
		t.epochs[t.version.Source] = max(t.epochs[t.version.Source], t.version.Epoch)
		t.dropFacts()
		t.updateRestrictions()
	}
}

// countNewerFacts returns the number of facts that are newer than the own list.
func (t *Table) countNewerFacts() (n int) {
	for _, f := range t.facts {
		if f.Revision > t.version.Revision {
			n++
		}
	}
	return n
}

// refute transmits that the own list calls a worker ready that a peer's older fact does not. This member may have
// skipped the older version, and so never have transmitted the change.
func (t *Table) refute(now float64, f Fact) {
	own, listed := t.workers[f.Worker]
	isRefuted := listed && own.State == Ready && f.State != Ready && f.Revision < t.version.Revision
	if !isRefuted || t.cached {
		return
	}
	if known := t.facts[f.Worker]; known == nil || known.Revision < t.version.Revision {
		t.addFact(&fact{Fact: Fact{f.Worker, Ready, own.Start, t.version.Revision}, receivedAt: now})
	}
}

// acceptFact stores a peer's fact that is newer than what is known. Of two of one revision the more restrictive counts. It
// reports whether it stored the fact.
func (t *Table) acceptFact(now float64, from string, f Fact) bool {
	if f.Revision <= t.version.Revision { // the own list is as new
		t.refute(now, f)
		return false
	}
	known := t.facts[f.Worker]
	if known != nil && (f.Revision < known.Revision || f.Revision == known.Revision && f.State <= known.State) {
		return false
	}
	t.Stats.FactsAccepted++
	t.addFact(&fact{Fact: f, from: from, receivedAt: now})
	return true
}

// replyPages returns all facts newer than a revision, in pages. If they do not fit, the next reply starts where this
// one ends.
func (t *Table) replyPages(now float64, revision int64) (pages [][]byte) {
	t.Stats.Replies++
	all := t.selectFacts(func(f *fact) bool { return f.Revision > revision && !f.doubted })
	total := len(all)
	if total > 0 {
		at := t.replyCursor % total
		all = append(all[at:total:total], all[:at]...)
		defer func() { t.replyCursor = (t.replyCursor + total - len(all)) % total }()
	}
	for range maxReplyPages {
		count := fitFacts(all, t.replyRoom())
		msg := t.newPayload(now)
		msg.Facts = all[:count]
		msg.FactCount = total + 1
		pages = append(pages, t.encodePayload(msg))
		all = all[count:]
		if len(all) == 0 {
			break
		}
	}
	return pages
}
