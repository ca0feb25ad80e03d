package versions

import (
	"cmp"
	"slices"
)

// HasUrgent says whether there is something that should not wait for a message to ride on.
func (b *Table) HasUrgent() bool { return b.pendingFacts > 0 || b.hasPendingOrders() }

// Payload is what goes along with a message; nil is nothing.
func (b *Table) Payload(now float64, room int) []byte {
	if !b.hasVersion && len(b.orders.byMember) == 0 {
		return nil
	}
	r := b.newPayload(now)
	room -= payloadOverhead + len(r.Version.Source)
	r.Orders = b.pendingOrders(room)
	for i := range r.Orders {
		room -= r.Orders[i].maxEncodedSize()
	}
	if now >= b.clockSentAt+clockInterval {
		b.clockSentAt, r.Clock = now, now
	}
	if b.pendingFacts > 0 {
		r.Facts = b.selectFacts(func(f *fact) bool { return f.transmits < maxTransmits && !f.doubted })
		r.Facts = r.Facts[:fitFacts(r.Facts, room)]
		b.pendingFacts = 0
		for _, f := range r.Facts {
			b.facts[f.Worker].transmits++
		}
		for _, f := range b.facts {
			if f.transmits < maxTransmits && !f.doubted {
				b.pendingFacts++
			}
		}
	}
	return b.encodePayload(r)
}

// selectFacts orders facts: drains before the rest, those told least often first.
func (b *Table) selectFacts(of func(*fact) bool) (picked []Fact) {
	var all []*fact
	for _, f := range b.facts {
		if of(f) {
			all = append(all, f)
		}
	}
	slices.SortFunc(all, func(x, y *fact) int {
		return cmp.Or(cmp.Compare(min(y.State, Draining), min(x.State, Draining)), cmp.Compare(x.transmits, y.transmits), cmp.Compare(x.Worker, y.Worker))
	})
	for _, f := range all {
		picked = append(picked, f.Fact)
	}
	return picked
}

// HandlePayload takes what came along with a member's message, and returns what is to be answered.
func (b *Table) HandlePayload(now float64, from string, text []byte) (answers [][]byte) {
	r, err := decodePayload(text)
	if err != nil {
		b.Stats.Malformed++
		return nil
	}
	if p, known := b.peers[from]; known || len(b.peers) < maxPeers {
		if p.Version != r.Version {
			p.VersionSince = now
		}
		p.Version = r.Version
		b.mergePeerUpdate(now, &p, r)
		b.recordClock(now, from, &p, r.Clock)
		b.peers[from] = p
	}
	for _, o := range r.Orders {
		b.applyOrder(o)
	}
	if r.OrdersDigest != b.orders.digest {
		if page := b.ordersPage(now); len(page) > 0 {
			o := b.newPayload(now)
			o.Orders = page
			answers = append(answers, b.encodePayload(o))
		}
	}
	b.epochs[r.Version.Source] = max(b.epochs[r.Version.Source], min(r.Version.Epoch, b.epochs[r.Version.Source]+1))
	b.adoptEpoch(now, r)
	if _, ok := b.version.Lag(r.Version); !b.hasVersion || !ok {
		return answers
	}
	theirs := max(r.CompleteUpTo, r.Version.Revision)
	if theirs > max(b.completeUpTo(), b.newestKnown) {
		if b.newestKnown <= b.completeUpTo() {
			b.newerSince = now
		}
		b.newestKnown = theirs
		b.OnEvent(now, &Event{Kind: NewerVersionKnown, From: from, Version: Version{b.version.Source, b.version.Epoch, theirs}})
	}
	var taken []Fact
	for _, f := range r.Facts {
		if b.acceptFact(now, from, f) {
			taken = append(taken, f)
		}
	}
	if len(taken) > 0 {
		b.OnEvent(now, &Event{Kind: FactsReceived, From: from, Version: Version{Source: b.version.Source, Epoch: b.version.Epoch}, Facts: taken})
		b.updateRestrictions()
	}
	if r.FactCount > 0 && b.countNewerFacts() >= r.FactCount-1 { // every page of it has come
		if theirs > b.completeUpTo() {
			b.OnEvent(now, &Event{Kind: CaughtUp, From: from, Version: Version{b.version.Source, b.version.Epoch, theirs}})
		}
		b.caughtUpTo, b.caughtUpAt = max(b.caughtUpTo, theirs), now
	}
	if theirs <= b.completeUpTo() || len(r.Facts) > 0 {
		b.OnPeerState()
	}
	if r.Request && b.allowReply(now) {
		answers = append(answers, b.replyPages(now, r.Version.Revision)...)
	}
	// Whoever tells of more is asked, and members speak to each other at random: so questions are spread, and the near come soon.
	if theirs > b.completeUpTo() && now >= b.nextRequestAt && (b.SameZone(from) || now >= b.newerSince+sameZoneGrace || b.lastConfirmed < now-b.Lease.Term) {
		b.nextRequestAt = now + requestInterval
		b.Stats.Requests++
		ask := b.newPayload(now)
		ask.Request = true
		answers = append(answers, b.encodePayload(ask))
	}
	return answers
}

// allowReply says whether there is room for an answer.
func (b *Table) allowReply(now float64) bool {
	if now >= b.replyWindowStart+replyWindow {
		b.replyWindowStart, b.repliesInWindow = now, 0
	}
	b.repliesInWindow++
	return b.repliesInWindow <= maxRepliesPerWindow
}

// epochAge is how long ago the own line of descent began, in seconds; 0 is not known.
func (b *Table) epochAge(now float64) float32 {
	if b.epochStart == 0 {
		return 0
	}
	return float32(now - b.epochStart)
}

// adoptEpoch takes the fleet's number for a line of descent that began before the own source spoke in this life: the own list is of
// that line, though this member was not there to see it begin.
func (b *Table) adoptEpoch(now float64, r *payload) {
	began := now - float64(r.EpochAge)
	if b.hasVersion && r.Version.Source == b.version.Source && r.Version.Epoch > b.version.Epoch && b.firstLiveAt > began+1 && r.EpochAge > 0 {
		b.version.Epoch, b.epochStart = r.Version.Epoch, began
		b.epochs[b.version.Source] = max(b.epochs[b.version.Source], b.version.Epoch)
		b.dropFacts()
		b.updateRestrictions()
	}
}

// countNewerFacts counts the facts that are newer than the own list.
func (b *Table) countNewerFacts() (n int) {
	for _, f := range b.facts {
		if f.Revision > b.version.Revision {
			n++
		}
	}
	return n
}

// refute has others know that the own list calls a worker ready which an older version did not: it may never have held that one, and
// has told nobody that it is lifted.
func (b *Table) refute(now float64, f Fact) {
	own, listed := b.workers[f.Worker]
	if was := b.facts[f.Worker]; listed && own.State == Ready && f.State != Ready && f.Revision < b.version.Revision && !b.cached && (was == nil || was.Revision < b.version.Revision) {
		b.addFact(&fact{Fact: Fact{f.Worker, Ready, own.Start, b.version.Revision}, receivedAt: now})
	}
}

// acceptFact keeps a peer's fact that is newer than what is known.
func (b *Table) acceptFact(now float64, from string, f Fact) bool {
	if f.Revision <= b.version.Revision { // the own director has had its say
		b.refute(now, f)
		return false
	}
	if o := b.facts[f.Worker]; o != nil && (f.Revision < o.Revision || f.Revision == o.Revision && f.State <= o.State) {
		return false
	}
	b.Stats.FactsAccepted++
	b.addFact(&fact{Fact: f, from: from, receivedAt: now})
	return true
}

// replyPages is what is newer than a version, in pages; where they do not hold all, the next question begins further on.
func (b *Table) replyPages(now float64, rev int64) (pages [][]byte) {
	b.Stats.Replies++
	all := b.selectFacts(func(f *fact) bool { return f.Revision > rev && !f.doubted })
	total := len(all)
	if total > 0 {
		at := b.replyCursor % total
		all = append(all[at:total:total], all[:at]...)
		defer func() { b.replyCursor = (b.replyCursor + total - len(all)) % total }()
	}
	for range maxReplyPages {
		n := fitFacts(all, b.replyRoom())
		r := b.newPayload(now)
		r.Facts, r.FactCount = all[:n], total+1
		pages = append(pages, b.encodePayload(r))
		if all = all[n:]; len(all) == 0 {
			break
		}
	}
	return pages
}
