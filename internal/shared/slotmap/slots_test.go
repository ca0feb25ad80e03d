package slotmap

import "testing"

// Guards against an event for a connection that is gone reaching the one that took its slot.
func TestAStaleHandleMisses(t *testing.T) {
	var table Map[string]
	a := table.Insert("a")
	if !table.Remove(a) || table.Remove(a) {
		t.Fatal("a slot is dropped once")
	}
	b := table.Insert("b")
	if uint32(a) != uint32(b) {
		t.Fatal("the slot was not used again")
	}
	if _, ok := table.Get(a); ok {
		t.Error("the stale handle found something")
	}
	if v, ok := table.Get(b); !ok || v != "b" || table.Len() != 1 {
		t.Errorf("got %q, %v, %d taken", v, ok, table.Len())
	}
	if _, ok := table.Get(0); ok {
		t.Error("handle 0 names something")
	}
}
