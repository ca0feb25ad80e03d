// Package intrusivelist is a doubly linked list whose elements hold their own links: adding, moving and removing one
// allocates nothing and takes constant time.
//
// The list does not check what its callers do: to add an element that is in a list already, or to remove one that is not
// in this list, corrupts the lists concerned.
package intrusivelist

import "iter"

// Links are an element's neighbours in its list. The zero value belongs to an element that is in no list.
type Links[E any] struct{ previous, next *E }

// Element is a pointer to a type that holds its links. An element is in at most one list at a time.
type Element[E any] interface {
	*E
	// ListLinks returns the element's links, always the same ones.
	ListLinks() *Links[E]
}

// List is a list of elements in the order in which they were added or moved to its end. The zero value is empty. It is not
// safe for concurrent use.
type List[E any, P Element[E]] struct{ first, last *E }

// First returns the element that was added, or moved to the end, earliest; nil if the list is empty.
func (l *List[E, P]) First() *E { return l.first }

// PushBack appends an element that is in no list.
func (l *List[E, P]) PushBack(element *E) {
	links := P(element).ListLinks()
	links.previous = l.last
	links.next = nil
	if l.last != nil {
		P(l.last).ListLinks().next = element
	} else {
		l.first = element
	}
	l.last = element
}

// Remove removes an element, which must be in this list.
func (l *List[E, P]) Remove(element *E) {
	links := P(element).ListLinks()
	if links.previous != nil {
		P(links.previous).ListLinks().next = links.next
	} else {
		l.first = links.next
	}
	if links.next != nil {
		P(links.next).ListLinks().previous = links.previous
	} else {
		l.last = links.previous
	}
	*links = Links[E]{}
}

// MoveToBack makes an element of this list its last one.
func (l *List[E, P]) MoveToBack(element *E) {
	l.Remove(element)
	l.PushBack(element)
}

// All yields every element in order. Meanwhile the element that is yielded may be removed, but not the one after it, which
// is yielded next in any case.
func (l *List[E, P]) All() iter.Seq[*E] {
	return func(yield func(*E) bool) {
		for element := l.first; element != nil; {
			next := P(element).ListLinks().next
			if !yield(element) {
				return
			}
			element = next
		}
	}
}
