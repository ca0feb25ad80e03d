package eventqueue

import (
	"slices"
	"testing"
)

func TestOrder(t *testing.T) {
	var queue Queue
	var order []string
	schedule := func(at float64, name string) {
		queue.Schedule(at, func() { order = append(order, name) })
	}
	schedule(2, "second")
	schedule(3, "fourth")
	schedule(1, "first")
	schedule(2, "third, scheduled after the second")
	schedule(4, "beyond the end")
	for {
		at, run, ok := queue.PopUntil(3)
		if !ok {
			break
		}
		if at > 3 {
			t.Errorf("an event at %v is due by 3", at)
		}
		run()
	}
	want := []string{"first", "second", "third, scheduled after the second", "fourth"}
	if !slices.Equal(order, want) {
		t.Errorf("the order is %v, want %v", order, want)
	}
	if at, _, ok := queue.PopUntil(4); !ok || at != 4 {
		t.Errorf("the event at 4 is gone: %v, %v", at, ok)
	}
	if _, _, ok := queue.PopUntil(5); ok {
		t.Error("an event is left in an empty queue")
	}
}
