package membership

// windowSize is the number of bits of replayWindow.seen.
const windowSize = 64

// replayWindow rejects messages that were received before. Messages may come out of order by up to windowSize numbers.
type replayWindow struct {
	generation uint64 // of the sender
	last       uint64 // highest number received
	seen       uint64 // bit i: last-i was received
}

// accept records a message number, and reports whether it is new.
func (w *replayWindow) accept(generation, number uint64) bool {
	if generation != w.generation {
		*w = replayWindow{generation: generation, last: number, seen: 1}
		return true
	}
	switch {
	case number > w.last:
		if shift := number - w.last; shift < windowSize {
			w.seen = w.seen<<shift | 1
		} else {
			w.seen = 1
		}
		w.last = number
		return true
	case w.last-number >= windowSize || w.seen>>(w.last-number)&1 == 1:
		return false
	}
	w.seen |= 1 << (w.last - number)
	return true
}
