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

// TestListIsLikeSlice compares a list with a slice over random changes.
func TestListIsLikeSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list elementList
		var slice []*element
		drawIndex := func(t *rapid.T) int {
			if len(slice) == 0 {
				t.Skip("empty")
			}
			return rapid.IntRange(0, len(slice)-1).Draw(t, "index")
		}
		added := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(*rapid.T) {
				added++
				e := &element{id: added}
				list.PushBack(e)
				slice = append(slice, e)
			},
			"remove": func(t *rapid.T) {
				i := drawIndex(t)
				e := slice[i]
				list.Remove(e)
				slice = slices.Delete(slice, i, i+1)
				if e.links != (Links[element]{}) {
					t.Fatalf("%d keeps links after its removal", e.id)
				}
			},
			"move to back": func(t *rapid.T) {
				i := drawIndex(t)
				e := slice[i]
				list.MoveToBack(e)
				slice = append(slices.Delete(slice, i, i+1), e)
			},
			"": func(t *rapid.T) {
				var want []int
				for _, e := range slice {
					want = append(want, e.id)
				}
				if got := ids(&list); !slices.Equal(got, want) {
					t.Fatalf("the list holds %v, want %v", got, want)
				}
				if len(slice) == 0 {
					if list != (elementList{}) {
						t.Fatal("an empty list is not the zero value")
					}
					return
				}
				if list.First() != slice[0] {
					t.Fatalf("the first element is %d, want %d", list.First().id, want[0])
				}
				slices.Reverse(want)
				if got := reversed(&list); !slices.Equal(got, want) {
					t.Fatalf("backwards the list holds %v, want %v", got, want)
				}
			},
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
