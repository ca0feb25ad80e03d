package versions

import (
	"errors"
	"fmt"
	"math"
	"testing"

	"cinderroad/internal/shared/lease"
	"cinderroad/internal/shared/membership"
)

// A word of discovery counts once, at its first coming: told in circles for ever it renews nothing.
func TestAWordCountsOnce(t *testing.T) {
	a, b, c := told("a", 5, "x"), told("b", 5, "x"), told("c", 5, "x")
	a.Live(100)
	carry(100, a, b)
	if b.Word() != 100 {
		t.Fatalf("b's word is of %v", b.Word())
	}
	for at := 101.0; at < 200; at++ {
		carry(at, b, c)
		carry(at, c, b)
		carry(at, a, c)
		carry(at, a, b)
	}
	if b.Word() != 100 || c.Word() > 101 {
		t.Errorf("words of %v and %v", b.Word(), c.Word())
	}
	a.Live(200)
	carry(200, a, c)
	carry(201, c, b)
	if b.Word() != 201 {
		t.Errorf("passed on: %v", b.Word())
	}
}

// A word counts where all that its teller knows is known: one that lacks a version gets it first. And a discovery that tells an old
// list confirms nothing to one that two others have told better.
func TestWhatAWordConfirms(t *testing.T) {
	a, b, c := told("a", 5, "x", "y"), told("b", 5, "x", "y"), told("c", 5, "x", "y")
	a.Own(20, src, 6, false, entries(Draining, "x"))
	b.HandlePayload(20, "a", b.encode(a.ride(20))) // without the fact
	if b.Word() >= 20 {
		t.Error("confirmed by one that knows more")
	}
	carry(21, a, b)
	a.Live(22)
	carry(22, a, b)
	if b.Word() != 22 {
		t.Errorf("not confirmed: %v", b.Word())
	}
	c.HandlePayload(30, "a", c.encode(&ride{List: List{src, 0, 6}}))
	c.HandlePayload(30, "b", c.encode(&ride{List: List{src, 0, 6}}))
	if c.Live(31); c.Word() >= 31 {
		t.Error("an old list counts as confirmed")
	}
	carry(32, a, c)
	carry(33, c, a)
	carry(34, a, c)
	if c.Live(35); c.Word() != 35 {
		t.Errorf("brought up, and not confirmed: %v", c.Word())
	}
}

// A discovery that tells an old list does not make one doubt what two others have of theirs.
func TestADiscoveryThatTellsAnOldList(t *testing.T) {
	a, c, b := told("a", 5, "x"), told("c", 5, "x"), told("b", 5, "x")
	a.Own(20, src, 6, false, entries(Draining, "x"))
	c.Own(20, src, 6, false, entries(Draining, "x"))
	carry(20, a, b)
	carry(20, c, b)
	for at := 20.0; at < 200; at++ {
		b.Own(at, src, 5, false, entries(Ready, "x"))
		b.Tick(at)
	}
	expect(t, "two say so", b, "x draining 0")
}

// Words from far ahead count for nothing; those a little ahead hold up no lease of one whose own discovery speaks.
func TestWordsOfALiar(t *testing.T) {
	a, b, c := told("a", 5, "x"), told("b", 5, "x"), told("c", 5, "x")
	b.HandlePayload(100, "liar", b.encode(&ride{List: List{src, 0, 5}, Word: math.MaxUint64 / 2}))
	a.Live(101)
	carry(101, a, b)
	if b.Word() != 101 {
		t.Error("a's words count no more")
	}
	b.HandlePayload(102, "liar", b.encode(&ride{List: List{src, 0, 5}, Word: 111 * wordsASecond}))
	if b.Live(103); b.Word() != 103 {
		t.Error("the own discovery's words count no more")
	}
	c.HandlePayload(100, "liar", c.encode(&ride{List: List{src, 0, 5}, Orders: []Order{{Member: "c", N: 0}}}))
	if c.Counts.Bad != 1 {
		t.Errorf("%d bad", c.Counts.Bad)
	}
}

// view is one of members that are alive.
func view(me string, names ...string) *membership.View {
	v := &membership.View{Contacted: true}
	for _, name := range names {
		v.Members = append(v.Members, membership.Member{Record: membership.Record{Name: name}, Key: membership.Key(name), Self: name == me, LastContact: 1})
	}
	return v
}

// An order goes by any way, the newer one wins whatever comes first, and one who was away learns of it by the digest.
func TestOrders(t *testing.T) {
	names := []string{"a", "b", "c"}
	a, b, c := New("a"), told("b", 5), told("c", 5)
	if err := a.Order(10, view("a", names...), "nobody", true); err == nil {
		t.Error("an order for nobody")
	}
	if err := a.Order(10, view("a", names...), "c", true); err != nil {
		t.Fatal(err)
	}
	if err := a.Order(10, view("a", names...), "b", true); err == nil {
		t.Error("two of three are shut out")
	}
	if !a.HasUrgent() {
		t.Error("it waits")
	}
	heard := 0
	c.Ordering = func(Order) { heard++ }
	carry(10, a, b)
	carry(11, b, c)
	if c.Judge(12, view("c", names...)); c.Lease.State() != lease.Out || heard != 1 {
		t.Errorf("%v, heard %d", c.Lease.State(), heard)
	}
	old := c.ride(13)
	old.Orders = []Order{{Member: "c", Out: true, N: 1, By: "a", At: 10}}
	if err := b.Order(14, view("b", names...), "c", false); err != nil {
		t.Fatal(err)
	}
	for range 5 * tellTimes { // told to others
		b.Payload(15, 300)
	}
	if b.HasUrgent() {
		t.Error("it goes on for ever")
	}
	carry(16, c, b) // another digest
	c.HandlePayload(17, "x", c.encode(old))
	if c.Judge(18, view("c", names...)); c.Lease.State() != lease.Held {
		t.Errorf("%v after it was brought back", c.Lease.State())
	}
	if len(c.Orders()) != 1 || c.Orders()["c"].N != 2 {
		t.Errorf("%+v", c.Orders())
	}
}

// Orders that somebody makes up take no more room than there is, and shut out no more than a third.
func TestOrdersOfALiar(t *testing.T) {
	b := told("b", 5)
	for i := range 2 * mostOrders {
		b.HandlePayload(20, "liar", b.encode(&ride{List: List{src, 0, 5}, Orders: []Order{{Member: fmt.Sprint("m", i), Out: true, N: 1, By: "liar"}}}))
	}
	if len(b.Orders()) != mostOrders {
		t.Errorf("%d orders", len(b.Orders()))
	}
	if err := b.Order(21, view("b", "b", "new", "x", "y"), "new", true); !errors.Is(err, ErrOrders) {
		t.Error(err)
	}
	var names []string
	out := 0
	boards := map[string]*Board{}
	for i := range 9 {
		names = append(names, fmt.Sprint("m", i))
	}
	for _, name := range names {
		x := told(name, 5)
		for _, o := range names {
			x.HandlePayload(20, "liar", x.encode(&ride{List: List{src, 0, 5}, Orders: []Order{{Member: o, Out: true, N: 1, By: "liar"}}}))
		}
		boards[name] = x
	}
	for range 5 {
		out = 0
		for _, name := range names {
			v := view(name, names...)
			for i := range v.Members {
				v.Members[i].Metadata = &membership.Metadata{Lease: boards[names[i]].Lease.State()}
			}
			if boards[name].Judge(21, v); boards[name].Lease.State() == lease.Out {
				out++
			}
		}
		for _, x := range names {
			for _, y := range names {
				if x != y {
					carry(22, boards[x], boards[y])
				}
			}
		}
	}
	if out > 3 || out == 0 {
		t.Errorf("%d of 9 are out", out)
	}
}
