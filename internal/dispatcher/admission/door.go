// Package door holds what both fronts ask of a peer before they know what it wants: how long it may take to say
// so, how many connections it may hold, and how much memory all of them together.
package admission

import (
	"net/netip"

	"cinderroad/internal/shared/eventloop"
)

const (
	// FreshTime is how long a new connection may stand without its first whole message. The peers' own patience
	// with one that is never served is 3 s.
	FreshTime = 2.5
	// WholeTime is how long a message that has begun may take to be whole.
	WholeTime = 2.0

	backShare   = 0.3  // of the sockets stay for backends, whatever clients open,
	backMost    = 96   // but no more than this
	restShare   = 0.25 // of the sockets for sessions that have asked: a client's side may hold only so many, too
	sourceShare = 0.5  // of the sockets for one address: a front that stands before many clients needs a third
	bytesShare  = 0.12 // of the memory for messages not whole yet, and as much for the bodies of open jobs
)

// Door is the shared bounds.
type Door struct {
	Turned uint64 // connections that found no room

	loop  *eventloop.Loop
	bytes int
	open  int
	jobs  int // bytes of the open jobs
	from  map[netip.Addr]int
}

// New makes the door of a program that may use so much memory; 0 is not told.
func New(loop *eventloop.Loop, memoryMB int) *Door {
	d := &Door{loop: loop, from: map[netip.Addr]int{}}
	d.SetMemory(memoryMB)
	return d
}

// SetMemory changes the memory that the program may use.
func (d *Door) SetMemory(memoryMB int) {
	if memoryMB <= 0 {
		memoryMB = 192
	}
	d.bytes = int(float64(memoryMB<<20) * bytesShare)
}

// Enter books a connection from an address: a flood from one must not take the sockets that others, and the
// backends, need. Where there is no room, one that gives may close, of that address if it has too many, takes its
// place; if none does, the connection is turned away. Leave must be called either way.
func (d *Door) Enter(from netip.Addr, gives func(may func(from netip.Addr) bool) bool) (room bool) {
	d.Book(from)
	limit := float64(d.loop.SocketLimit())
	greedy := float64(d.from[from]) > limit*sourceShare
	if !greedy && float64(d.open) <= limit-min(limit*backShare, backMost) || gives(func(o netip.Addr) bool { return !greedy || o == from }) {
		return true
	}
	d.Turned++
	return false
}

// Book books a connection that has been let in elsewhere.
func (d *Door) Book(from netip.Addr) {
	d.open++
	d.from[from]++
}

// Resting is how many sessions may be open for some of them to rest between requests. Clients that ask once and
// stay would else come to the end of what they may hold, and have none for the next request.
func (d *Door) Resting() int { return int(float64(d.loop.SocketLimit()) * restShare) }

// Leave ends what Enter booked.
func (d *Door) Leave(from netip.Addr) {
	d.open--
	if d.from[from]--; d.from[from] == 0 {
		delete(d.from, from)
	}
}

// Crowded says whether messages that are not whole hold too much memory.
func (d *Door) Crowded() bool { return d.loop.BufferedBytes() > d.bytes }

// Hold books a job's bytes, unless the open jobs hold too much memory already.
func (d *Door) Hold(bytes int) bool {
	if d.jobs+bytes > d.bytes {
		return false
	}
	d.jobs += bytes
	return true
}

// Release ends what Hold booked.
func (d *Door) Release(bytes int) { d.jobs -= bytes }
