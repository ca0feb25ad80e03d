package membership

// window drops what was heard before: messages may come late by 64 numbers.
type window struct {
	life, last, seen uint64
}

func (w *window) fresh(life, n uint64) bool {
	if life != w.life {
		*w = window{life, n, 1}
		return true
	}
	switch {
	case n > w.last:
		if shift := n - w.last; shift < 64 {
			w.seen = w.seen<<shift | 1
		} else {
			w.seen = 1
		}
		w.last = n
		return true
	case w.last-n >= 64 || w.seen>>(w.last-n)&1 == 1:
		return false
	}
	w.seen |= 1 << (w.last - n)
	return true
}
