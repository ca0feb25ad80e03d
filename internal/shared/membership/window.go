package membership

// replayWindow drops what was heard before: messages may come late by 64 numbers.
type replayWindow struct {
	generation, last, seen uint64
}

func (w *replayWindow) accept(generation, number uint64) bool {
	if generation != w.generation {
		*w = replayWindow{generation, number, 1}
		return true
	}
	switch {
	case number > w.last:
		if shift := number - w.last; shift < 64 {
			w.seen = w.seen<<shift | 1
		} else {
			w.seen = 1
		}
		w.last = number
		return true
	case w.last-number >= 64 || w.seen>>(w.last-number)&1 == 1:
		return false
	}
	w.seen |= 1 << (w.last - number)
	return true
}
