package versions

import (
	"cmp"
	"slices"
)

// HasUrgent says whether there is something that should not wait for a message to ride on.
func (b *Board) HasUrgent() bool { return b.eager > 0 || b.ordersUntold() }

// Payload is what goes along with a message; nil is nothing.
func (b *Board) Payload(now float64, room int) []byte {
	if !b.has && len(b.orders.by) == 0 {
		return nil
	}
	r := b.ride(now)
	room -= headRoom + len(r.List.Source)
	r.Orders = b.tellOrders(room)
	for i := range r.Orders {
		room -= r.Orders[i].room()
	}
	if now >= b.clockAt+clockEvery {
		b.clockAt, r.Clock = now, now
	}
	if b.eager > 0 {
		r.Facts = b.pick(func(f *fact) bool { return f.told < tellTimes && !f.doubt })
		r.Facts = r.Facts[:fit(r.Facts, room)]
		b.eager = 0
		for _, f := range r.Facts {
			b.facts[f.Worker].told++
		}
		for _, f := range b.facts {
			if f.told < tellTimes && !f.doubt {
				b.eager++
			}
		}
	}
	return b.encode(r)
}

// pick orders facts: drains before the rest, those told least often first.
func (b *Board) pick(of func(*fact) bool) (picked []Fact) {
	var all []*fact
	for _, f := range b.facts {
		if of(f) {
			all = append(all, f)
		}
	}
	slices.SortFunc(all, func(x, y *fact) int {
		return cmp.Or(cmp.Compare(min(y.State, Draining), min(x.State, Draining)), cmp.Compare(x.told, y.told), cmp.Compare(x.Worker, y.Worker))
	})
	for _, f := range all {
		picked = append(picked, f.Fact)
	}
	return picked
}

// HandlePayload takes what came along with a member's message, and returns what is to be answered.
func (b *Board) HandlePayload(now float64, from string, text []byte) (answers [][]byte) {
	r, err := decode(text)
	if err != nil {
		b.Counts.Bad++
		return nil
	}
	if p, known := b.peers[from]; known || len(b.peers) < mostPeers {
		if p.List != r.List {
			p.Since = now
		}
		p.List = r.List
		b.passed(now, &p, r)
		b.hearClock(now, from, &p, r.Clock)
		b.peers[from] = p
	}
	for _, o := range r.Orders {
		b.obey(o)
	}
	if r.Holds != b.orders.digest {
		if page := b.answerOrders(now); len(page) > 0 {
			o := b.ride(now)
			o.Orders = page
			answers = append(answers, b.encode(o))
		}
	}
	b.descents[r.List.Source] = max(b.descents[r.List.Source], min(r.List.Descent, b.descents[r.List.Source]+1))
	b.adopt(now, r)
	if _, ok := b.own.Behind(r.List); !b.has || !ok {
		return answers
	}
	theirs := max(r.Knows, r.List.Rev)
	if theirs > max(b.knows(), b.newest) {
		if b.newest <= b.knows() {
			b.newestAt = now
		}
		b.newest = theirs
		b.Note(now, &Note{Kind: NewerKnown, From: from, List: List{b.own.Source, b.own.Descent, theirs}})
	}
	var taken []Fact
	for _, f := range r.Facts {
		if b.take(now, from, f) {
			taken = append(taken, f)
		}
	}
	if len(taken) > 0 {
		b.Note(now, &Note{Kind: FactsTold, From: from, List: List{Source: b.own.Source, Descent: b.own.Descent}, Facts: taken})
		b.hold()
	}
	if r.Count > 0 && b.newer() >= r.Count-1 { // every page of it has come
		if theirs > b.knows() {
			b.Note(now, &Note{Kind: AllKnown, From: from, List: List{b.own.Source, b.own.Descent, theirs}})
		}
		b.caught, b.caughtAt = max(b.caught, theirs), now
	}
	if theirs <= b.knows() || len(r.Facts) > 0 {
		b.Heard()
	}
	if r.Ask && b.mayAnswer(now) {
		answers = append(answers, b.answer(now, r.List.Rev)...)
	}
	// Whoever tells of more is asked, and members speak to each other at random: so questions are spread, and the near come soon.
	if theirs > b.knows() && now >= b.askAt && (b.Near(from) || now >= b.newestAt+askFar || b.wordAt < now-b.Lease.Term) {
		b.askAt = now + askEvery
		b.Counts.Asked++
		ask := b.ride(now)
		ask.Ask = true
		answers = append(answers, b.encode(ask))
	}
	return answers
}

// mayAnswer says whether there is room for an answer.
func (b *Board) mayAnswer(now float64) bool {
	if now >= b.answersAt+answersIn {
		b.answersAt, b.answers = now, 0
	}
	b.answers++
	return b.answers <= answersOf
}

// age is how long ago the own line of descent began, in seconds; 0 is not known.
func (b *Board) age(now float64) float32 {
	if b.beganAt == 0 {
		return 0
	}
	return float32(now - b.beganAt)
}

// adopt takes the fleet's number for a line of descent that began before the own source spoke in this life: the own list is of
// that line, though this member was not there to see it begin.
func (b *Board) adopt(now float64, r *ride) {
	began := now - float64(r.Age)
	if b.has && r.List.Source == b.own.Source && r.List.Descent > b.own.Descent && b.liveAt > began+1 && r.Age > 0 {
		b.own.Descent, b.beganAt = r.List.Descent, began
		b.descents[b.own.Source] = max(b.descents[b.own.Source], b.own.Descent)
		b.forget()
		b.hold()
	}
}

// newer counts the facts that are newer than the own list.
func (b *Board) newer() (n int) {
	for _, f := range b.facts {
		if f.Rev > b.own.Rev {
			n++
		}
	}
	return n
}

// rebut has others know that the own list calls a worker ready which an older version did not: it may never have held that one, and
// has told nobody that it is lifted.
func (b *Board) rebut(now float64, f Fact) {
	own, listed := b.states[f.Worker]
	if was := b.facts[f.Worker]; listed && own.State == Ready && f.State != Ready && f.Rev < b.own.Rev && !b.cached && (was == nil || was.Rev < b.own.Rev) {
		b.put(&fact{Fact: Fact{f.Worker, Ready, own.Start, b.own.Rev}, at: now})
	}
}

// take keeps a peer's fact that is newer than what is known.
func (b *Board) take(now float64, from string, f Fact) bool {
	if f.Rev <= b.own.Rev { // the own director has had its say
		b.rebut(now, f)
		return false
	}
	if o := b.facts[f.Worker]; o != nil && (f.Rev < o.Rev || f.Rev == o.Rev && f.State <= o.State) {
		return false
	}
	b.Counts.Taken++
	b.put(&fact{Fact: f, from: from, at: now})
	return true
}

// answer is what is newer than a version, in pages; where they do not hold all, the next question begins further on.
func (b *Board) answer(now float64, rev int64) (pages [][]byte) {
	b.Counts.Answered++
	all := b.pick(func(f *fact) bool { return f.Rev > rev && !f.doubt })
	total := len(all)
	if total > 0 {
		at := b.cursor % total
		all = append(all[at:total:total], all[:at]...)
		defer func() { b.cursor = (b.cursor + total - len(all)) % total }()
	}
	for range mostPages {
		n := fit(all, b.pageRoom())
		r := b.ride(now)
		r.Facts, r.Count = all[:n], total+1
		pages = append(pages, b.encode(r))
		if all = all[n:]; len(all) == 0 {
			break
		}
	}
	return pages
}
