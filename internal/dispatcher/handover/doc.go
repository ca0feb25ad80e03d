// Package handover carries what two processes of one dispatcher send each other while the newer one takes over from the
// older one: frames over a unix socket, some with a file descriptor.
//
// Frames are versioned and bounded. A process of another [Version] can neither take over nor be taken over; the upgrade is
// then a plain restart.
//
// A [Link] belongs to the goroutine of its event loop, and so do the calls of its [Handler].
package handover
