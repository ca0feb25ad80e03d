package lease

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// world is members that all know the same of one another: what each is judged by is made from it.
type world struct {
	now      float64
	members  []Member
	director []float64
	word     []float64
	deaf     []bool // hears nobody any more, since deafAt
	deafAt   float64
	order    []bool
	leases   []*Lease
}

func newWorld(n int) *world {
	w := &world{now: 1000, director: make([]float64, n), word: make([]float64, n), deaf: make([]bool, n), order: make([]bool, n)}
	for i := range n {
		w.members = append(w.members, Member{Name: fmt.Sprint("m", i), Key: uint64(7 * (i + 3) % 101)})
		w.leases = append(w.leases, &Lease{Period: 1, Term: Term(5, 1)})
		w.director[i], w.word[i] = w.now, w.now
	}
	return w
}

// step lets a second pass; speaks are those whose discovery does. Words are passed on among those that hear.
func (w *world) step(speaks func(i int) bool) (out int) {
	w.now++
	anybody := false
	for i := range w.members {
		if speaks(i) {
			w.director[i], w.word[i] = w.now, w.now
			anybody = anybody || !w.deaf[i]
		}
	}
	for i := range w.members {
		if anybody && !w.deaf[i] {
			w.word[i] = w.now
		}
	}
	var ins []Input
	for i := range w.members {
		in := Input{Now: w.now, Me: w.members[i], Director: w.director[i]}
		in.Me.Word, in.Me.State, in.Me.Order = w.word[i], w.leases[i].State(), w.order[i]
		for j, m := range w.members {
			if j == i {
				continue
			}
			m.Heard, m.State, m.Word, m.Order = w.now, w.leases[j].State(), w.word[j], w.order[j]
			m.Direct = w.director[j] >= w.now-5
			m.Ahead = w.word[j] - w.word[i]
			if w.deaf[i] || w.deaf[j] {
				m.Heard, m.Word, m.Direct, m.State = w.deafAt, min(m.Word, w.deafAt), w.director[j] >= w.deafAt-5, Held
			}
			in.Others = append(in.Others, m)
		}
		ins = append(ins, in)
	}
	for i := range w.members {
		if w.leases[i].Judge(&ins[i]) == Out {
			out++
		}
	}
	return out
}

func (w *world) run(seconds int, speaks func(i int) bool) (most int) {
	for range seconds {
		most = max(most, w.step(speaks))
	}
	return most
}

func all(int) bool  { return true }
func none(int) bool { return false }

// Discovery is down for all, or for all but one that passes its words on: nobody is out.
func TestTheWholeFleetIsBehind(t *testing.T) {
	for _, n := range []int{1, 2, 5, 30} {
		w := newWorld(n)
		if out := w.run(300, none); out > 0 {
			t.Errorf("%d of %d are out", out, n)
		}
		w = newWorld(n)
		if out := w.run(300, func(i int) bool { return i == 0 }); out > 0 {
			t.Errorf("%d of %d are out, though one has a discovery", out, n)
		}
	}
}

// One of five loses discovery, as the others see, and then everybody: it is out after its term, and in again with the first word.
func TestOneIsCutOff(t *testing.T) {
	w := newWorld(5)
	silent := func(i int) bool { return i != 2 }
	if w.run(60, silent) > 0 {
		t.Error("out though its peers bring it up")
	}
	w.deaf[2], w.deafAt = true, w.now
	at := w.now
	for w.leases[2].State() != Out && w.now < at+60 {
		w.step(silent)
	}
	if took := w.now - at; took != Term(5, 1)+1 {
		t.Errorf("out after %v s, %v", took, w.leases[2].Why)
	}
	if w.run(100, silent) != 1 {
		t.Error("more are out, or it is not any more")
	}
	w.deaf[2] = false
	if w.run(3, silent); w.leases[2].State() != Held {
		t.Errorf("still %v", w.leases[2].State())
	}
}

// All lose discovery and each other at once: no more than a third take it for their own fault, and where discovery
// was lost by all before, nobody does.
func TestAllAreCutOff(t *testing.T) {
	for n := 1; n < 40; n++ {
		w := newWorld(n)
		w.run(5, all)
		for i := range w.deaf {
			w.deaf[i] = true
		}
		w.deafAt = w.now
		if out := w.run(100, none); out > Quota(n) {
			t.Errorf("%d of %d are out", out, n)
		}
		w = newWorld(n)
		w.run(60, none)
		for i := range w.deaf {
			w.deaf[i] = true
		}
		w.deafAt = w.now
		if out := w.run(100, none); out > 0 {
			t.Errorf("%d of %d are out after discovery was lost by all", out, n)
		}
	}
}

// Two thirds are behind and do not catch up, while the rest have a fresh word: a third at most is out.
func TestTwoThirdsAreBehind(t *testing.T) {
	for _, n := range []int{6, 9, 30} {
		w := newWorld(n)
		most := 0
		for range 200 {
			w.now++
			for i := range w.members {
				if i < n/3 {
					w.director[i], w.word[i] = w.now, w.now
				}
			}
			most = max(most, w.judge())
		}
		if most != Quota(n) {
			t.Errorf("%d of %d are out, not %d", most, n, Quota(n))
		}
	}
}

// judge judges all by words as they are: nothing is passed on.
func (w *world) judge() int {
	w.now--
	word := append([]float64(nil), w.word...)
	director := append([]float64(nil), w.director...)
	out := w.step(none)
	w.word, w.director = word, director
	return out
}

// By hand: the order binds, but never more than a third.
func TestOrders(t *testing.T) {
	w := newWorld(5)
	w.order[1] = true
	if out := w.run(10, all); out != 1 || w.leases[1].State() != Out {
		t.Errorf("%d out, %v", out, w.leases[1].State())
	}
	for i := range w.order {
		w.order[i] = true
	}
	if out := w.run(10, all); out > Quota(5) || w.leases[1].State() != Out {
		t.Errorf("%d out, %v", out, w.leases[1].State())
	}
	clear(w.order)
	if out := w.run(2, all); out != 0 {
		t.Errorf("%d out after all were brought back", out)
	}
}

// Whoever speaks, hears and is ordered out in whatever turn: one that has a fresh word and no order is never out, and where all
// know the same there is never more than a third out.
func TestTheGuard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 16).Draw(t, "members")
		w := newWorld(n)
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			speaks := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "speak")
			if rapid.Bool().Draw(t, "all deaf") != w.deaf[0] {
				for i := range w.deaf {
					w.deaf[i] = !w.deaf[i]
				}
				w.deafAt = w.now
			}
			for i := range w.order {
				w.order[i] = rapid.IntRange(0, 4).Draw(t, "order") == 0
			}
			for range rapid.IntRange(1, 40).Draw(t, "seconds") {
				out := w.step(func(i int) bool { return speaks[i] })
				ordered := 0
				for i, l := range w.leases {
					if w.order[i] {
						ordered++
					}
					if l.State() == Out && !w.order[i] && w.now <= w.word[i]+Term(5, 1) {
						t.Fatalf("%d is out with a fresh word", i)
					}
				}
				if !w.deaf[0] && out > Quota(n) {
					t.Fatalf("%d of %d are out, %d ordered", out, n, ordered)
				}
			}
		}
	})
}
