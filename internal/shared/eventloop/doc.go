// Package eventloop runs the sockets and timers of a process on one goroutine, over epoll.
//
// A Loop owns everything: connections (Conn), listeners, UDP sockets and timers. All of it belongs to the goroutine that
// calls Run; only Post may be called from another. Callbacks must not block. A connection reports to its Handler, never
// from within a call of the owner: what goes wrong in Connect or Write is reported by Closed later, and after the owner
// has closed a connection it gets no more callbacks.
//
// An iteration of the loop first reads the connections with ReadFirst, then handles ready sockets and posted functions in
// the order in which epoll reports them, those of reserved listeners before all others, and at last the timers that are
// due. What Defer was given runs after each of these events. Now is in
// monotonic seconds anchored to Unix time. It advances when an iteration starts and before each datagram is handled, so
// that a datagram which arrives during a long iteration is not dated before it was sent.
//
// The number of open sockets is bounded. At the limit, connections in a lingering close are given up first; then
// Loop.FreeDescriptor is asked for an idle connection. Listeners with a reserved number of connections are apart from
// the limit, so that health checks and metrics work under any load.
package eventloop
