// Package door holds what both fronts ask of a peer before they know what it wants: how long it may take to say
// so, how many connections it may hold, and how much memory all of them together.
package admission

import (
	"net/netip"

	"cinderroad/internal/shared/eventloop"
)

const (
	// FirstMessageTimeout is how long a new connection may stand without its first whole message. The peers' own patience
	// with one that is never served is 3 s.
	FirstMessageTimeout = 2.5
	// MessageTimeout is how long a message that has begun may take to be whole.
	MessageTimeout = 2.0

	backendSocketShare = 0.3  // of the sockets stay for backends, whatever clients open,
	maxBackendSockets  = 96   // but no more than this
	idleShare          = 0.25 // of the sockets for sessions that have asked: a client's side may hold only so many, too
	sourceSocketShare  = 0.5  // of the sockets for one address: a front that stands before many clients needs a third
	memoryShare        = 0.12 // of the memory for messages not whole yet, and as much for the bodies of open jobs
)

// Limiter is the shared bounds.
type Limiter struct {
	Rejected uint64 // connections that found no room

	loop        *eventloop.Loop
	byteLimit   int
	connections int
	jobBytes    int // bytes of the open jobs
	bySource    map[netip.Addr]int
}

// New makes the door of a program that may use so much memory; 0 is not told.
func New(loop *eventloop.Loop, memoryMB int) *Limiter {
	l := &Limiter{loop: loop, bySource: map[netip.Addr]int{}}
	l.SetMemory(memoryMB)
	return l
}

// SetMemory changes the memory that the program may use.
func (l *Limiter) SetMemory(memoryMB int) {
	if memoryMB <= 0 {
		memoryMB = 192
	}
	l.byteLimit = int(float64(memoryMB<<20) * memoryShare)
}

// Admit books a connection from an address: a flood from one must not take the sockets that others, and the
// backends, need. Where there is no room, one that gives may close, of that address if it has too many, takes its
// place; if none does, the connection is turned away. Leave must be called either way.
func (l *Limiter) Admit(source netip.Addr, evict func(may func(source netip.Addr) bool) bool) (admitted bool) {
	l.Register(source)
	limit := float64(l.loop.SocketLimit())
	overSourceLimit := float64(l.bySource[source]) > limit*sourceSocketShare
	if !overSourceLimit && float64(l.connections) <= limit-min(limit*backendSocketShare, maxBackendSockets) || evict(func(other netip.Addr) bool { return !overSourceLimit || other == source }) {
		return true
	}
	l.Rejected++
	return false
}

// Register books a connection that has been let in elsewhere.
func (l *Limiter) Register(source netip.Addr) {
	l.connections++
	l.bySource[source]++
}

// IdleThreshold is how many sessions may be open for some of them to rest between requests. Clients that ask once and
// stay would else come to the end of what they may hold, and have none for the next request.
func (l *Limiter) IdleThreshold() int { return int(float64(l.loop.SocketLimit()) * idleShare) }

// Unregister ends what Enter booked.
func (l *Limiter) Unregister(source netip.Addr) {
	l.connections--
	if l.bySource[source]--; l.bySource[source] == 0 {
		delete(l.bySource, source)
	}
}

// BuffersFull says whether messages that are not whole hold too much memory.
func (l *Limiter) BuffersFull() bool { return l.loop.BufferedBytes() > l.byteLimit }

// ReserveJob books a job's bytes, unless the open jobs hold too much memory already.
func (l *Limiter) ReserveJob(bytes int) bool {
	if l.jobBytes+bytes > l.byteLimit {
		return false
	}
	l.jobBytes += bytes
	return true
}

// ReleaseJob ends what Hold booked.
func (l *Limiter) ReleaseJob(bytes int) { l.jobBytes -= bytes }
