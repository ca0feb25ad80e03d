package versions

// This file is what renews a member's lease: words of discovery, one's own or passed on. A word is the time at which discovery
// spoke, by the clock of the member that heard it; one that is newer than all before it counts, once, however often and by
// whatever ways it comes: told in circles it renews nothing.

const (
	wordsASecond = 10
	wordsAhead   = 10 // seconds that a member's clock may be ahead of this one's: further on its words count for nothing
)

// Word is when a word of discovery last confirmed all that is known here; 0: never.
func (b *Board) Word() float64 { return b.wordAt }

// Spoke is when the own discovery last spoke; 0: never.
func (b *Board) Spoke() float64 { return b.heardAt }

// Forget takes it that whatever was heard before now is old.
func (b *Board) Forget(now float64) { b.wordAt, b.direct = min(b.wordAt, now-forgotten), false }

// speak takes it that the own discovery has spoken. One that tells an old list confirms nothing.
func (b *Board) speak(now float64) {
	if b.direct = b.knows() >= b.issued(); b.direct {
		b.wordAt, b.word = now, max(b.word, uint64(now*wordsASecond))
	}
}

// passed takes a peer's word of discovery: by it others see that the peer has one, and where all that the peer knows is known here,
// it counts here, too.
func (b *Board) passed(now float64, p *Peer, r *ride) {
	if float64(r.Word) > (now+wordsAhead)*wordsASecond {
		return
	}
	if r.Word > p.word {
		p.word, p.Word, p.Direct = r.Word, now, r.Direct
	}
	if _, ok := b.own.Behind(r.List); b.has && ok && r.Word > b.word && max(r.Knows, r.List.Rev) <= b.knows() {
		b.wordAt, b.word = now, r.Word
	}
}

// issued is the newest version of the own line that discovery has surely told: two members at least say that their own lists have
// it, or the own one does. What one alone says may be wrong.
func (b *Board) issued() int64 {
	first, second := b.own.Rev, b.own.Rev
	for _, p := range b.peers {
		if by, ok := b.own.Behind(p.List); ok && by > 0 {
			if p.List.Rev > first {
				first, second = p.List.Rev, first
			} else {
				second = max(second, p.List.Rev)
			}
		}
	}
	return second
}
