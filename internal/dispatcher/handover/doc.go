// Package handover carries what two processes of one dispatcher send each other while the newer one takes over from the
// older one: frames over a unix socket, some with a file descriptor.
//
// Frames are versioned and bounded. A process of another [Version] can neither take over nor be taken over; the upgrade is
// then a plain restart.
//
// The newer process connects with [Connect], the older one takes the connection over with [Accept]. The newer sends Hello,
// the older answers with State; the newer sends Takeover once it serves, and from then on the older passes its client
// sessions on, each as a Session that is acknowledged by SessionReceived. Which frame may come when is checked by the
// Handler, not here. A descriptor that was sent belongs to the receiver, which must close it if it has no use for it.
//
// A [Link] belongs to the goroutine of its event loop, and so do the calls of its [Handler].
package handover
