package versions

import (
	"errors"
	"fmt"
	"math"
	"testing"

	"cinderroad/internal/shared/lease"
	"cinderroad/internal/shared/membership"
)

// TestUpdateCountsOnce checks that an update of discovery that is forwarded in circles renews nothing.
func TestUpdateCountsOnce(t *testing.T) {
	a := newTestTable("a", 5, "x")
	table := newTestTable("b", 5, "x")
	c := newTestTable("c", 5, "x")
	a.HandleDiscoveryContact(100)
	exchange(100, a, table)
	if table.LastConfirmed() != 100 {
		t.Fatalf("b's word is of %v", table.LastConfirmed())
	}
	for at := 101.0; at < 200; at++ {
		exchange(at, table, c)
		exchange(at, c, table)
		exchange(at, a, c)
		exchange(at, a, table)
	}
	if table.LastConfirmed() != 100 || c.LastConfirmed() > 101 {
		t.Errorf("words of %v and %v", table.LastConfirmed(), c.LastConfirmed())
	}
	a.HandleDiscoveryContact(200)
	exchange(200, a, c)
	exchange(201, c, table)
	if table.LastConfirmed() != 201 {
		t.Errorf("passed on: %v", table.LastConfirmed())
	}
}

// TestUpdateConfirmsCompleteState checks that an update counts only if all that its sender knows is known here, and
// that a stale discovery confirms nothing to a member that two others have told better.
func TestUpdateConfirmsCompleteState(t *testing.T) {
	a := newTestTable("a", 5, "x", "y")
	table := newTestTable("b", 5, "x", "y")
	c := newTestTable("c", 5, "x", "y")
	a.ApplyList(20, src, 6, false, entries(Draining, "x"))
	table.HandlePayload(20, "a", table.encodePayload(a.newPayload(20))) // without the fact
	if table.LastConfirmed() >= 20 {
		t.Error("confirmed by one that knows more")
	}
	exchange(21, a, table)
	a.HandleDiscoveryContact(22)
	exchange(22, a, table)
	if table.LastConfirmed() != 22 {
		t.Errorf("not confirmed: %v", table.LastConfirmed())
	}
	c.HandlePayload(30, "a", c.encodePayload(&payload{Version: Version{src, 0, 6}}))
	c.HandlePayload(30, "b", c.encodePayload(&payload{Version: Version{src, 0, 6}}))
	if c.HandleDiscoveryContact(31); c.LastConfirmed() >= 31 {
		t.Error("an old list counts as confirmed")
	}
	exchange(32, a, c)
	exchange(33, c, a)
	exchange(34, a, c)
	if c.HandleDiscoveryContact(35); c.LastConfirmed() != 35 {
		t.Errorf("brought up, and not confirmed: %v", c.LastConfirmed())
	}
}

// TestStaleDiscoveryDoesNotOverridePeers checks that a stale discovery does not cast doubt on what two others' lists
// have.
func TestStaleDiscoveryDoesNotOverridePeers(t *testing.T) {
	a := newTestTable("a", 5, "x")
	c := newTestTable("c", 5, "x")
	table := newTestTable("b", 5, "x")
	a.ApplyList(20, src, 6, false, entries(Draining, "x"))
	c.ApplyList(20, src, 6, false, entries(Draining, "x"))
	exchange(20, a, table)
	exchange(20, c, table)
	for at := 20.0; at < 200; at++ {
		table.ApplyList(at, src, 5, false, entries(Ready, "x"))
		table.Tick(at)
	}
	expectRestrictions(t, "two say so", table, "x draining 0")
}

// TestForgedUpdates checks that stamps far ahead are ignored, and that stamps a little ahead do not keep the own
// discovery from renewing the lease.
func TestForgedUpdates(t *testing.T) {
	a := newTestTable("a", 5, "x")
	table := newTestTable("b", 5, "x")
	c := newTestTable("c", 5, "x")
	table.HandlePayload(100, "liar", table.encodePayload(&payload{Version: Version{src, 0, 5}, UpdateStamp: math.MaxUint64 / 2}))
	a.HandleDiscoveryContact(101)
	exchange(101, a, table)
	if table.LastConfirmed() != 101 {
		t.Error("a's words count no more")
	}
	table.HandlePayload(102, "liar", table.encodePayload(&payload{Version: Version{src, 0, 5}, UpdateStamp: 111 * stampsPerSecond}))
	if table.HandleDiscoveryContact(103); table.LastConfirmed() != 103 {
		t.Error("the own discovery's words count no more")
	}
	c.HandlePayload(100, "liar", c.encodePayload(&payload{Version: Version{src, 0, 5}, Orders: []Order{{Member: "c", Number: 0}}}))
	if c.Stats.Malformed != 1 {
		t.Errorf("%d bad", c.Stats.Malformed)
	}
}

// viewOf returns a view of alive members.
func viewOf(me string, names ...string) *membership.View {
	v := &membership.View{Contacted: true}
	for _, name := range names {
		v.Members = append(v.Members, membership.Member{
			Record:      membership.Record{Name: name},
			Key:         membership.Key(name),
			Self:        name == me,
			LastContact: 1,
		})
	}
	return v
}

// TestOrders checks that an order reaches its member through any other, that the newer one holds whichever arrives
// first, and that a member that missed it learns of it by the digest.
func TestOrders(t *testing.T) {
	names := []string{"a", "b", "c"}
	a := New("a")
	table := newTestTable("b", 5)
	c := newTestTable("c", 5)
	if err := a.IssueOrder(10, viewOf("a", names...), "nobody", true); err == nil {
		t.Error("an order for nobody")
	}
	if err := a.IssueOrder(10, viewOf("a", names...), "c", true); err != nil {
		t.Fatal(err)
	}
	if err := a.IssueOrder(10, viewOf("a", names...), "b", true); err == nil {
		t.Error("two of three are shut out")
	}
	if !a.HasUrgent() {
		t.Error("it waits")
	}
	heard := 0
	c.OnOrder = func(Order) { heard++ }
	exchange(10, a, table)
	exchange(11, table, c)
	if c.UpdateLease(12, viewOf("c", names...)); c.Lease.State() != lease.Out || heard != 1 {
		t.Errorf("%v, heard %d", c.Lease.State(), heard)
	}
	old := c.newPayload(13)
	old.Orders = []Order{{Member: "c", Out: true, Number: 1, By: "a", At: 10}}
	if err := table.IssueOrder(14, viewOf("b", names...), "c", false); err != nil {
		t.Fatal(err)
	}
	for range 5 * maxTransmits { // sent to others
		table.Payload(15, 300)
	}
	if table.HasUrgent() {
		t.Error("it goes on for ever")
	}
	exchange(16, c, table) // another digest
	c.HandlePayload(17, "x", c.encodePayload(old))
	if c.UpdateLease(18, viewOf("c", names...)); c.Lease.State() != lease.Held {
		t.Errorf("%v after it was brought back", c.Lease.State())
	}
	if len(c.Orders()) != 1 || c.Orders()["c"].Number != 2 {
		t.Errorf("%+v", c.Orders())
	}
}

// TestForgedOrders checks that forged orders take bounded memory and exclude at most a third.
func TestForgedOrders(t *testing.T) {
	table := newTestTable("b", 5)
	for i := range 2 * maxOrders {
		table.HandlePayload(20, "liar", table.encodePayload(&payload{
			Version: Version{src, 0, 5},
			Orders:  []Order{{Member: fmt.Sprint("m", i), Out: true, Number: 1, By: "liar"}},
		}))
	}
	if len(table.Orders()) != maxOrders {
		t.Errorf("%d orders", len(table.Orders()))
	}
	if err := table.IssueOrder(21, viewOf("b", "b", "new", "x", "y"), "new", true); !errors.Is(err, ErrTooManyOrders) {
		t.Error(err)
	}
	var names []string
	out := 0
	tables := map[string]*Table{}
	for i := range 9 {
		names = append(names, fmt.Sprint("m", i))
	}
	for _, name := range names {
		x := newTestTable(name, 5)
		for _, o := range names {
			x.HandlePayload(20, "liar", x.encodePayload(&payload{
				Version: Version{src, 0, 5},
				Orders:  []Order{{Member: o, Out: true, Number: 1, By: "liar"}},
			}))
		}
		tables[name] = x
	}
	for range 5 {
		out = 0
		for _, name := range names {
			v := viewOf(name, names...)
			for i := range v.Members {
				v.Members[i].Metadata = &membership.Metadata{Lease: tables[names[i]].Lease.State()}
			}
			if tables[name].UpdateLease(21, v); tables[name].Lease.State() == lease.Out {
				out++
			}
		}
		for _, x := range names {
			for _, y := range names {
				if x != y {
					exchange(22, tables[x], tables[y])
				}
			}
		}
	}
	if out > 3 || out == 0 {
		t.Errorf("%d of 9 are out", out)
	}
}
