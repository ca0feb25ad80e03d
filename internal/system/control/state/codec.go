package state

import "encoding/binary"

// reader reads fields one by one; the first one that does not fit makes it bad, and all that follow are zero.
type reader struct {
	bytes []byte
	at    int
	bad   bool
}

func (r *reader) done() bool { return !r.bad && r.at == len(r.bytes) }

func (r *reader) take(n int) []byte {
	if r.bad || n < 0 || n > len(r.bytes)-r.at {
		r.bad = true
		return nil
	}
	r.at += n
	return r.bytes[r.at-n : r.at : r.at]
}

func (r *reader) byte() byte {
	b := r.take(1)
	if b == nil {
		return 0
	}
	return b[0]
}

func (r *reader) flag() bool {
	b := r.byte()
	r.bad = r.bad || b > 1
	return b == 1
}

func (r *reader) number() uint64 {
	if r.bad {
		return 0
	}
	v, n := binary.Uvarint(r.bytes[r.at:])
	if n <= 0 || n > 1 && r.bytes[r.at+n-1] == 0 { // cut short, too large, or longer than need be
		r.bad = true
		return 0
	}
	r.at += n
	return v
}

// length reads a number that counts what follows, each of at least one byte.
func (r *reader) length() int {
	n := r.number()
	if n > uint64(len(r.bytes)-r.at) {
		r.bad = true
		return 0
	}
	return int(n)
}

func (r *reader) data() []byte { return r.take(r.length()) }

func (r *reader) text() string { return string(r.data()) }

func (r *reader) writes() []Write {
	n := r.length()
	if n == 0 {
		return nil
	}
	out := make([]Write, 0, min(n, 1024)) // the count is not trusted for an allocation
	for range n {
		w := Write{Key: r.text(), Deleted: r.flag()}
		if !w.Deleted {
			w.Value = r.data()
		}
		if r.bad {
			return nil
		}
		out = append(out, w)
	}
	return out
}

func appendFlag(b []byte, on bool) []byte {
	if on {
		return append(b, 1)
	}
	return append(b, 0)
}

func appendText(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

func appendWrites(b []byte, writes []Write) []byte {
	b = binary.AppendUvarint(b, uint64(len(writes)))
	for _, w := range writes {
		b = appendText(b, w.Key)
		b = appendFlag(b, w.Deleted)
		if !w.Deleted {
			b = binary.AppendUvarint(b, uint64(len(w.Value)))
			b = append(b, w.Value...)
		}
	}
	return b
}

// writesSize is the most that appendWrites adds.
func writesSize(writes []Write) int {
	size := binary.MaxVarintLen64
	for _, w := range writes {
		size += len(w.Key) + len(w.Value) + 2*binary.MaxVarintLen32 + 1
	}
	return size
}
