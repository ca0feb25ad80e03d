package versions

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const src = "10.0.0.9:8500"

func entries(state State, workers ...string) (all []Entry) {
	for _, w := range workers {
		all = append(all, Entry{Worker: w, State: state})
	}
	return all
}

// told is a member that holds a list of ready workers at a version.
func told(me string, rev int64, workers ...string) *Board {
	b := New(me)
	b.Own(10, src, rev, false, entries(Ready, workers...))
	return b
}

// carry has b hear what a has to tell along with a message, and a what b answers, until nobody answers any more.
func carry(now float64, a, b *Board) {
	ride := a.Payload(now, 300)
	if ride == nil {
		return
	}
	type letter struct {
		from, to *Board
		text     []byte
	}
	queue := []letter{{a, b, ride}}
	for range 50 {
		if len(queue) == 0 {
			return
		}
		l := queue[0]
		queue = queue[1:]
		for _, answer := range l.to.HandlePayload(now, l.from.me, l.text) {
			queue = append(queue, letter{l.to, l.from, answer})
		}
	}
}

func heldOf(b *Board) (names []string) {
	for name, h := range b.Held() {
		names = append(names, fmt.Sprint(name, " ", h.State, " ", h.Start))
	}
	slices.Sort(names)
	return names
}

func expect(t *testing.T, what string, b *Board, want ...string) {
	t.Helper()
	if d := cmp.Diff(want, heldOf(b)); d != "" {
		t.Errorf("%s: %s", what, d)
	}
}

// A drain that one was told of binds another whose list is older, until its own director speaks; its lifting lifts it, and a
// worker that the own list does not name stays unknown.
func TestADrainBindsWhoeverTellsIt(t *testing.T) {
	a, b := told("a", 5, "x", "y"), told("b", 5, "x", "y")
	a.Own(20, src, 6, false, append(entries(Draining, "x"), entries(Ready, "new")...))
	carry(20, a, b)
	expect(t, "a drain", b, "x draining 0")
	a.Own(21, src, 7, false, entries(Draining, "new"))
	carry(21, a, b)
	expect(t, "a worker that the own list does not name", b, "x draining 0")
	a.Own(22, src, 8, false, entries(Ready, "x"))
	carry(22, a, b)
	expect(t, "lifted", b)
	a.Own(23, src, 9, false, entries(Gone, "y"))
	carry(23, a, b)
	expect(t, "gone", b, "y gone 0")
	b.Own(24, src, 9, false, entries(Gone, "y"))
	expect(t, "the own director has said it", b)
	b.Own(25, src, 10, false, entries(Ready, "y"))
	a.HandlePayload(25, "b", b.Payload(25, 300))
	expect(t, "nothing that is heard makes a worker ready or known", a)
	if _, known := a.states["y"]; known {
		t.Error("a worker became known by a peer's word")
	}
}

// The own director's newer word wins over any peer's, an older one does not: what a peer knows stays withheld until the own
// director is as far.
func TestTheOwnDirectorReturns(t *testing.T) {
	a, b := told("a", 5, "x", "y"), told("b", 5, "x", "y")
	a.Own(20, src, 8, false, entries(Draining, "x"))
	carry(20, a, b)
	b.Own(21, src, 7, false, entries(Ready, "x", "y")) // late, and on its way to 8
	expect(t, "an older word of the own director", b, "x draining 0")
	b.Own(22, src, 8, false, entries(Draining, "x"))
	expect(t, "as new", b)
	b.Own(23, src, 9, false, entries(Ready, "x"))
	b.HandlePayload(23, "a", a.Payload(23, 300))
	expect(t, "newer", b)
}

// A worker that left and came back with a new start is cold to one that slept meanwhile.
func TestANewStart(t *testing.T) {
	a, b := told("a", 5, "x"), told("b", 5, "x")
	a.Own(20, src, 6, false, entries(Gone, "x"))
	a.Own(21, src, 7, false, []Entry{{"x", Ready, 77000}})
	carry(21, a, b)
	expect(t, "a new start", b, "x ready 77000")
}

// Versions of two sources and of two lines of descent do not compare: neither binds the other.
func TestWhatDoesNotCompare(t *testing.T) {
	a, b := told("a", 5, "x"), told("b", 5, "x")
	a.Own(20, "10.0.0.8:8500", 90, false, entries(Draining, "x"))
	carry(20, a, b)
	expect(t, "another source", b)
	a, b = told("a", 50, "x"), told("b", 50, "x")
	a.Own(20, src, 3, false, entries(Draining, "x")) // discovery was restarted
	carry(20, a, b)
	expect(t, "another line of descent", b)
	if l, _ := a.List(); l.Descent != 1 {
		t.Errorf("descent %d", l.Descent)
	}
	b.Own(21, src, 2, false, nil) // it hears it, too, a little behind
	carry(21, a, b)
	carry(22, b, a) // it is behind, asks, and is told
	carry(23, a, b)
	if l, _ := b.List(); l.Descent != 1 {
		t.Errorf("descent %d", l.Descent)
	}
	expect(t, "the same line of descent", b, "x draining 0")
}

// One that begins after discovery was restarted takes the fleet's number for the line of descent; one whose list is older than the
// line does not. A list of an earlier life says nothing of a line.
func TestWhoeverBeginsLater(t *testing.T) {
	a := told("a", 50, "x")
	a.Own(20, src, 3, false, nil)
	late, before := New("late"), told("before", 50, "x")
	late.Own(30, src, 90, true, entries(Ready, "x"))
	late.Own(31, src, 3, false, nil)
	if l, _ := late.List(); l.Descent != 0 || l.Rev != 3 {
		t.Errorf("a list of an earlier life began a line: %+v", l)
	}
	a.Own(40, src, 4, false, entries(Draining, "x"))
	carry(40, a, late)
	carry(40, a, before)
	expect(t, "begun later", late, "x draining 0")
	expect(t, "of the line before", before)
}

// One that comes late to a page of news asks for what it lacks, again and again, until it has all of it, though news of it
// goes out by itself no more.
func TestOneThatIsBehindIsBroughtUp(t *testing.T) {
	var workers []string
	for i := range 200 {
		workers = append(workers, fmt.Sprintf("worker-%03d", i))
	}
	a, b := told("a", 5, workers...), told("b", 5, workers...)
	a.Own(20, src, 6, false, entries(Draining, workers...))
	for range 5000 { // told to others
		a.Payload(20, 300)
	}
	if a.HasUrgent() {
		t.Fatal("it goes on for ever")
	}
	rounds := 0
	for ; len(b.Held()) < 200 && rounds < 100; rounds++ {
		carry(30+2*float64(rounds), a, b)
	}
	t.Logf("%d rounds", rounds)
	if len(b.Held()) != 200 {
		t.Errorf("%d of 200 are known after %d rounds", len(b.Held()), rounds)
	}
}

// A version that nobody issued: where the own director speaks it is doubted after a while; where it is silent it withholds.
func TestAVersionNobodyIssued(t *testing.T) {
	b := told("b", 5, "x", "y")
	liar := told("liar", 5, "x", "y")
	liar.Own(20, src, 1<<40, false, entries(Draining, "x", "y"))
	carry(20, liar, b)
	expect(t, "at first", b, "x draining 0", "y draining 0")
	for at := 20.0; at < 49; at++ {
		b.Live(at)
		b.Tick(at)
	}
	expect(t, "for a while", b, "x draining 0", "y draining 0")
	for at := 49.0; at < 52; at++ {
		b.Live(at)
		b.Tick(at)
	}
	expect(t, "the own director speaks and does not confirm it", b)
	carry(53, liar, b)
	expect(t, "told again", b)
	c := told("c", 5, "x")
	carry(20, liar, c)
	c.Tick(500)
	expect(t, "the own director is silent", c, "x draining 0")
}

// One that says it knows all of a version nobody issued does not keep another from asking for good.
func TestALieOnWhatIsKnown(t *testing.T) {
	a, b := told("a", 5, "x"), told("b", 5, "x")
	b.HandlePayload(20, "liar", b.encode(&ride{List: List{src, 0, 5}, Knows: 1 << 40, Count: 1}))
	a.Own(20, src, 6, false, entries(Draining, "x"))
	for range 50 { // told to others
		a.Payload(20, 300)
	}
	for at := 21.0; at < 60 && len(b.Held()) == 0; at += 2 {
		b.Tick(at)
		carry(at, a, b)
	}
	expect(t, "asked in the end", b, "x draining 0")
}

// F2, whatever comes: only what the own list names and calls more than the fact is withheld, only by newer versions of its own
// line, and nothing grows without bounds.
func TestAnyWords(t *testing.T) {
	names := []string{"u", "v", "w", "x", "y", "z"}
	rapid.Check(t, func(t *rapid.T) {
		b := New("me")
		changed := 0
		b.Changed = func() { changed++ }
		now, rev := 10.0, int64(3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{0, 0.1, 1, 40}).Draw(t, "passes")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				rev += int64(rapid.IntRange(-2, 4).Draw(t, "rev"))
				var list []Entry
				for range rapid.IntRange(0, 4).Draw(t, "entries") {
					list = append(list, Entry{rapid.SampledFrom(names).Draw(t, "worker"), State(rapid.IntRange(0, 2).Draw(t, "state")), int64(rapid.IntRange(0, 2).Draw(t, "start"))})
				}
				b.Own(now, src, max(rev, 0), rapid.Bool().Draw(t, "cached"), list)
			case 1:
				b.Tick(now)
				b.Live(now)
			case 2:
				b.Payload(now, 300)
			default:
				r := &ride{List: List{src, uint64(rapid.IntRange(0, 2).Draw(t, "descent")), int64(rapid.IntRange(0, 12).Draw(t, "peer's rev"))}, Ask: rapid.Bool().Draw(t, "asks")}
				for range rapid.IntRange(0, 5).Draw(t, "facts") {
					r.Facts = append(r.Facts, Fact{rapid.SampledFrom(names).Draw(t, "worker"), State(rapid.IntRange(0, 2).Draw(t, "state")),
						int64(rapid.IntRange(0, 3).Draw(t, "start")), int64(rapid.IntRange(0, 12).Draw(t, "fact's rev"))})
				}
				for _, answer := range b.HandlePayload(now, rapid.SampledFrom([]string{"p", "q"}).Draw(t, "from"), b.encode(r)) {
					if len(answer) > 1100 {
						t.Fatalf("an answer of %d bytes", len(answer))
					}
				}
			}
			for name, h := range b.Held() {
				own, listed := b.states[name]
				if !listed || h.Rev <= b.own.Rev || h.State <= own.State && h.Start <= own.Start {
					t.Fatalf("%s is withheld by %+v, own %+v at %+v", name, h, own, b.own)
				}
			}
			if len(b.facts) > mostFacts || b.eager < 0 {
				t.Fatal("it grows")
			}
		}
	})
}

// Nothing that comes by the network ends the reader.
func FuzzHear(f *testing.F) {
	a := told("a", 5, "x")
	a.Own(20, src, 6, false, entries(Draining, "x"))
	f.Add(a.Payload(20, 300))
	f.Add([]byte{})
	f.Add([]byte{0xa1, 0x01, 0xa0})
	f.Fuzz(func(t *testing.T, text []byte) {
		b := told("b", 5, "x")
		for _, answer := range b.HandlePayload(21, "a", text) {
			if _, err := decode(answer); err != nil {
				t.Fatal(err)
			}
		}
		b.Tick(22)
	})
}

// Facts beyond the bound give way to newer ones.
func TestRoomForFacts(t *testing.T) {
	b := told("b", 5)
	for i := range 3 * mostFacts {
		b.HandlePayload(20, "a", b.encode(&ride{List: List{src, 0, int64(i + 10)}, Facts: []Fact{{fmt.Sprint("w", i), Draining, 0, int64(i + 10)}}}))
	}
	if len(b.facts) != mostFacts || b.facts[fmt.Sprint("w", 3*mostFacts-1)] == nil || b.facts["w0"] != nil {
		t.Errorf("%d facts", len(b.facts))
	}
}

// One that is behind waits a moment for a member of its zone to tell of more, then asks any; one that has slept asks the first. Who is
// asked by many answers some, and the rest ask others.
func TestWhomToAsk(t *testing.T) {
	ahead := &ride{List: List{src, 0, 9}, Knows: 9}
	asks := func(b *Board, now float64, from string) bool {
		before := b.Counts.Asked
		b.HandlePayload(now, from, b.encode(ahead))
		return b.Counts.Asked > before
	}
	b := told("b", 5, "x")
	b.Near = func(member string) bool { return member == "near" }
	b.Live(19.5)
	if asks(b, 20, "far") || !asks(b, 20.5, "near") {
		t.Error("the near one is not asked first")
	}
	b = told("b", 5, "x")
	b.Near = func(member string) bool { return member == "near" }
	b.Live(19.5)
	if asks(b, 20, "far"); !asks(b, 21.5, "far") {
		t.Error("nobody near has told, and nobody is asked")
	}
	b = told("b", 5, "x")
	b.Near = func(member string) bool { return false }
	b.Forget(20)
	if !asks(b, 20, "far") {
		t.Error("one that slept waits")
	}
	a := told("a", 9, "x")
	answered := 0
	for i := range 50 {
		if len(a.HandlePayload(30, fmt.Sprint("m", i), a.encode(&ride{List: List{src, 0, 5}, Ask: true}))) > 0 {
			answered++
		}
	}
	if answered != answersOf || len(a.HandlePayload(31.5, "m1", a.encode(&ride{List: List{src, 0, 5}, Ask: true}))) == 0 {
		t.Errorf("%d of 50 answered", answered)
	}
}
