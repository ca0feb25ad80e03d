// Package admission bounds what peers may occupy before the dispatcher knows what they want: the time to a complete
// message, the number of connections, and the memory of incomplete messages and of open jobs. All fronts share one
// [Limiter], since they share the process's descriptors and memory.
//
// A Limiter belongs to the goroutine of its event loop. It never closes a connection itself: the fronts do.
package admission

import (
	"net/netip"

	"cinderroad/internal/shared/eventloop"
)

// Timeouts of the fronts, in seconds.
const (
	// FirstMessageTimeout bounds the time from the accept of a connection to its first complete message. Clients give
	// up on a connection that is never served after 3 s.
	FirstMessageTimeout = 2.5
	// MessageTimeout bounds the time from the first byte of a message to its last.
	MessageTimeout = 2.0
)

// Shares of the socket limit and of the memory limit.
const (
	reservedSocketShare = 0.3  // of the sockets, kept free for connections to backends
	maxReservedSockets  = 96   // the most sockets that are kept free for them
	idleShare           = 0.25 // of the sockets, for sessions that have made a request; above it idle ones are closed
	sourceSocketShare   = 0.5  // of the sockets, for one address; a proxy in front of many clients needs a third
	memoryShare         = 0.12 // of the memory, for incomplete messages, and as much again for the bodies of open jobs
	defaultMemoryMB     = 192  // where no memory limit is configured
)

// Limiter holds the shared bounds.
type Limiter struct {
	Rejected uint64 // connections for which there was no capacity

	loop        *eventloop.Loop
	byteLimit   int // of incomplete messages, and of the bodies of open jobs
	connections int
	jobBytes    int // reserved for the bodies of open jobs
	bySource    map[netip.Addr]int
}

// New returns a Limiter for a process with a memory limit in MB; 0: not configured.
func New(loop *eventloop.Loop, memoryMB int) *Limiter {
	l := &Limiter{loop: loop, bySource: map[netip.Addr]int{}}
	l.SetMemory(memoryMB)
	return l
}

// SetMemory changes the memory limit; 0: not configured.
func (l *Limiter) SetMemory(memoryMB int) {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	l.byteLimit = int(float64(memoryMB<<20) * memoryShare)
}

// Admit registers a connection from an address and returns whether it may stay. One address cannot take the sockets
// that others and the backends need. If there is no capacity, Admit calls evict, which should close one connection for
// whose source mayEvict is true and return whether it did: the new connection then takes its place. The caller must call
// Unregister at the end of the connection in any case.
func (l *Limiter) Admit(source netip.Addr, evict func(mayEvict func(source netip.Addr) bool) bool) (admitted bool) {
	l.Register(source)
	limit := float64(l.loop.SocketLimit())
	overSourceLimit := float64(l.bySource[source]) > limit*sourceSocketShare
	reserved := min(limit*reservedSocketShare, maxReservedSockets)
	overTotalLimit := float64(l.connections) > limit-reserved
	if !overSourceLimit && !overTotalLimit {
		return true
	}
	// A source over its own limit makes room by a connection of its own only.
	if evict(func(other netip.Addr) bool { return !overSourceLimit || other == source }) {
		return true
	}
	l.Rejected++
	return false
}

// Register registers a connection that another process has admitted.
func (l *Limiter) Register(source netip.Addr) {
	l.connections++
	l.bySource[source]++
}

// Unregister ends what Admit or Register began.
func (l *Limiter) Unregister(source netip.Addr) {
	l.connections--
	l.bySource[source]--
	if l.bySource[source] == 0 {
		delete(l.bySource, source)
	}
}

// IdleThreshold returns the number of open sessions above which idle ones should be closed. Clients that stay connected
// after one request would otherwise exhaust their own descriptors and have none left for the next request.
func (l *Limiter) IdleThreshold() int { return int(float64(l.loop.SocketLimit()) * idleShare) }

// BuffersFull reports whether incomplete messages occupy too much memory.
func (l *Limiter) BuffersFull() bool { return l.loop.BufferedBytes() > l.byteLimit }

// ReserveJob reserves the bytes of a job; false if the open jobs occupy too much memory already.
func (l *Limiter) ReserveJob(bytes int) bool {
	if l.jobBytes+bytes > l.byteLimit {
		return false
	}
	l.jobBytes += bytes
	return true
}

// ReleaseJob ends what ReserveJob reserved.
func (l *Limiter) ReleaseJob(bytes int) { l.jobBytes -= bytes }
