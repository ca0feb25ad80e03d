package slotmap

import "testing"

// Guards against an event for a closed connection that reaches the one which took its slot.
func TestStaleHandle(t *testing.T) {
	var slots Map[string]
	first := slots.Insert("a")
	if !slots.Remove(first) || slots.Remove(first) {
		t.Fatal("a value is removed once")
	}
	second := slots.Insert("b")
	if uint32(first) != uint32(second) {
		t.Fatal("the slot was not reused")
	}
	if _, ok := slots.Get(first); ok {
		t.Error("a stale handle finds a value")
	}
	if v, ok := slots.Get(second); !ok || v != "b" || slots.Len() != 1 {
		t.Errorf("got %q, %v, %d values", v, ok, slots.Len())
	}
	if _, ok := slots.Get(0); ok {
		t.Error("handle 0 finds a value")
	}
}
