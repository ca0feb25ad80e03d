package intrusivelist

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type element struct {
	id    int
	links Links[element]
}

func (e *element) ListLinks() *Links[element] { return &e.links }

type elementList = List[element, *element]

func ids(l *elementList) []int {
	var list []int
	for e := range l.All() {
		list = append(list, e.id)
	}
	return list
}

// reversed returns the ids from the last element to the first, by the links to previous elements.
func reversed(l *elementList) []int {
	var list []int
	for e := l.last; e != nil; e = e.links.previous {
		list = append(list, e.id)
	}
	return list
}

// listModel is a list beside a slice that holds the same elements.
type listModel struct {
	list  elementList
	slice []*element
	added int
}

// drawIndex draws an index into the slice; it skips the action if the slice is empty.
func (m *listModel) drawIndex(t *rapid.T) int {
	if len(m.slice) == 0 {
		t.Skip("empty")
	}
	return rapid.IntRange(0, len(m.slice)-1).Draw(t, "index")
}

func (m *listModel) push(*rapid.T) {
	m.added++
	e := &element{id: m.added}
	m.list.PushBack(e)
	m.slice = append(m.slice, e)
}

func (m *listModel) remove(t *rapid.T) {
	i := m.drawIndex(t)
	e := m.slice[i]
	m.list.Remove(e)
	m.slice = slices.Delete(m.slice, i, i+1)
	if e.links != (Links[element]{}) {
		t.Fatalf("%d keeps links after its removal", e.id)
	}
}

func (m *listModel) moveToBack(t *rapid.T) {
	i := m.drawIndex(t)
	e := m.slice[i]
	m.list.MoveToBack(e)
	m.slice = append(slices.Delete(m.slice, i, i+1), e)
}

// check compares the list with the slice, in both directions.
func (m *listModel) check(t *rapid.T) {
	if len(m.slice) == 0 {
		if m.list != (elementList{}) {
			t.Fatal("an empty list is not the zero value")
		}
		return
	}
	var want []int
	for _, e := range m.slice {
		want = append(want, e.id)
	}
	if got := ids(&m.list); !slices.Equal(got, want) {
		t.Fatalf("the list holds %v, want %v", got, want)
	}
	if m.list.First() != m.slice[0] {
		t.Fatalf("the first element is %d, want %d", m.list.First().id, want[0])
	}
	slices.Reverse(want)
	if got := reversed(&m.list); !slices.Equal(got, want) {
		t.Fatalf("backwards the list holds %v, want %v", got, want)
	}
}

// TestListIsLikeSlice compares a list with a slice over random changes.
func TestListIsLikeSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var model listModel
		t.Repeat(map[string]func(*rapid.T){
			"push":         model.push,
			"remove":       model.remove,
			"move to back": model.moveToBack,
			"":             model.check,
		})
	})
}

func TestYieldedElementMayBeRemoved(t *testing.T) {
	var list elementList
	for id := range 5 {
		list.PushBack(&element{id: id})
	}
	var yielded []int
	for e := range list.All() {
		yielded = append(yielded, e.id)
		if e.id%2 == 0 {
			list.Remove(e)
		}
	}
	if !slices.Equal(yielded, []int{0, 1, 2, 3, 4}) || !slices.Equal(ids(&list), []int{1, 3}) {
		t.Errorf("yielded %v, then the list holds %v", yielded, ids(&list))
	}
	for e := range list.All() {
		if e.id != 1 {
			t.Errorf("yielded %d after the end of the loop", e.id)
		}
		break
	}
}

func TestChangesAllocateNothing(t *testing.T) {
	var list elementList
	first, second := &element{id: 1}, &element{id: 2}
	allocations := testing.AllocsPerRun(100, func() {
		list.PushBack(first)
		list.PushBack(second)
		list.MoveToBack(first)
		list.Remove(second)
		list.Remove(first)
	})
	if allocations != 0 {
		t.Errorf("%v allocations", allocations)
	}
}
