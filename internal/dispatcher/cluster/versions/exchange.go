package versions

import (
	"cmp"
	"slices"
)

// HasUrgent says whether there is something that should not wait for a message to ride on.
func (t *Table) HasUrgent() bool { return t.pendingFacts > 0 || t.hasPendingOrders() }

// Payload is what goes along with a message; nil is nothing.
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
		t.clockSentAt, msg.Clock = now, now
	}
	if t.pendingFacts > 0 {
		msg.Facts = t.selectFacts(func(f *fact) bool { return f.transmits < maxTransmits && !f.doubted })
		msg.Facts = msg.Facts[:fitFacts(msg.Facts, room)]
		t.pendingFacts = 0
		for _, f := range msg.Facts {
			t.facts[f.Worker].transmits++
		}
		for _, f := range t.facts {
			if f.transmits < maxTransmits && !f.doubted {
				t.pendingFacts++
			}
		}
	}
	return t.encodePayload(msg)
}

// selectFacts orders facts: drains before the rest, those told least often first.
func (t *Table) selectFacts(matches func(*fact) bool) (selected []Fact) {
	var all []*fact
	for _, f := range t.facts {
		if matches(f) {
			all = append(all, f)
		}
	}
	slices.SortFunc(all, func(x, y *fact) int {
		return cmp.Or(cmp.Compare(min(y.State, Draining), min(x.State, Draining)), cmp.Compare(x.transmits, y.transmits), cmp.Compare(x.Worker, y.Worker))
	})
	for _, f := range all {
		selected = append(selected, f.Fact)
	}
	return selected
}

// HandlePayload takes what came along with a member's message, and returns what is to be answered.
func (t *Table) HandlePayload(now float64, from string, text []byte) (replies [][]byte) {
	msg, err := decodePayload(text)
	if err != nil {
		t.Stats.Malformed++
		return nil
	}
	if p, known := t.peers[from]; known || len(t.peers) < maxPeers {
		if p.Version != msg.Version {
			p.VersionSince = now
		}
		p.Version = msg.Version
		t.mergePeerUpdate(now, &p, msg)
		t.recordClock(now, from, &p, msg.Clock)
		t.peers[from] = p
	}
	for _, o := range msg.Orders {
		t.applyOrder(o)
	}
	if msg.OrdersDigest != t.orders.digest {
		if page := t.ordersPage(now); len(page) > 0 {
			o := t.newPayload(now)
			o.Orders = page
			replies = append(replies, t.encodePayload(o))
		}
	}
	t.epochs[msg.Version.Source] = max(t.epochs[msg.Version.Source], min(msg.Version.Epoch, t.epochs[msg.Version.Source]+1))
	t.adoptEpoch(now, msg)
	if _, ok := t.version.Lag(msg.Version); !t.hasVersion || !ok {
		return replies
	}
	theirs := max(msg.CompleteUpTo, msg.Version.Revision)
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
		t.OnEvent(now, &Event{Kind: FactsReceived, From: from, Version: Version{Source: t.version.Source, Epoch: t.version.Epoch}, Facts: accepted})
		t.updateRestrictions()
	}
	if msg.FactCount > 0 && t.countNewerFacts() >= msg.FactCount-1 { // every page of it has come
		if theirs > t.completeUpTo() {
			t.OnEvent(now, &Event{Kind: CaughtUp, From: from, Version: Version{t.version.Source, t.version.Epoch, theirs}})
		}
		t.caughtUpTo, t.caughtUpAt = max(t.caughtUpTo, theirs), now
	}
	if theirs <= t.completeUpTo() || len(msg.Facts) > 0 {
		t.OnPeerState()
	}
	if msg.Request && t.allowReply(now) {
		replies = append(replies, t.replyPages(now, msg.Version.Revision)...)
	}
	// Whoever tells of more is asked, and members speak to each other at random: so questions are spread, and the near come soon.
	if theirs > t.completeUpTo() && now >= t.nextRequestAt && (t.SameZone(from) || now >= t.newerSince+sameZoneGrace || t.lastConfirmed < now-t.Lease.Term) {
		t.nextRequestAt = now + requestInterval
		t.Stats.Requests++
		request := t.newPayload(now)
		request.Request = true
		replies = append(replies, t.encodePayload(request))
	}
	return replies
}

// allowReply says whether there is room for an answer.
func (t *Table) allowReply(now float64) bool {
	if now >= t.replyWindowStart+replyWindow {
		t.replyWindowStart, t.repliesInWindow = now, 0
	}
	t.repliesInWindow++
	return t.repliesInWindow <= maxRepliesPerWindow
}

// epochAge is how long ago the own line of descent began, in seconds; 0 is not known.
func (t *Table) epochAge(now float64) float32 {
	if t.epochStart == 0 {
		return 0
	}
	return float32(now - t.epochStart)
}

// adoptEpoch takes the fleet's number for a line of descent that began before the own source spoke in this life: the own list is of
// that line, though this member was not there to see it begin.
func (t *Table) adoptEpoch(now float64, msg *payload) {
	began := now - float64(msg.EpochAge)
	if t.hasVersion && msg.Version.Source == t.version.Source && msg.Version.Epoch > t.version.Epoch && t.firstLiveAt > began+1 && msg.EpochAge > 0 {
		t.version.Epoch, t.epochStart = msg.Version.Epoch, began
		t.epochs[t.version.Source] = max(t.epochs[t.version.Source], t.version.Epoch)
		t.dropFacts()
		t.updateRestrictions()
	}
}

// countNewerFacts counts the facts that are newer than the own list.
func (t *Table) countNewerFacts() (n int) {
	for _, f := range t.facts {
		if f.Revision > t.version.Revision {
			n++
		}
	}
	return n
}

// refute has others know that the own list calls a worker ready which an older version did not: it may never have held that one, and
// has told nobody that it is lifted.
func (t *Table) refute(now float64, f Fact) {
	own, listed := t.workers[f.Worker]
	if before := t.facts[f.Worker]; listed && own.State == Ready && f.State != Ready && f.Revision < t.version.Revision && !t.cached && (before == nil || before.Revision < t.version.Revision) {
		t.addFact(&fact{Fact: Fact{f.Worker, Ready, own.Start, t.version.Revision}, receivedAt: now})
	}
}

// acceptFact keeps a peer's fact that is newer than what is known.
func (t *Table) acceptFact(now float64, from string, f Fact) bool {
	if f.Revision <= t.version.Revision { // the own director has had its say
		t.refute(now, f)
		return false
	}
	if o := t.facts[f.Worker]; o != nil && (f.Revision < o.Revision || f.Revision == o.Revision && f.State <= o.State) {
		return false
	}
	t.Stats.FactsAccepted++
	t.addFact(&fact{Fact: f, from: from, receivedAt: now})
	return true
}

// replyPages is what is newer than a version, in pages; where they do not hold all, the next question begins further on.
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
		msg.Facts, msg.FactCount = all[:count], total+1
		pages = append(pages, t.encodePayload(msg))
		if all = all[count:]; len(all) == 0 {
			break
		}
	}
	return pages
}
