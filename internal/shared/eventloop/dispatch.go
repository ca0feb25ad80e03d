package eventloop

import (
	"golang.org/x/sys/unix"

	"cinderroad/internal/shared/slotmap"
)

// This file hands the events of an iteration to the sockets that they concern.

// handleReadFirst reads the connections with ReadFirst: what their peers have sent takes effect before anything else can
// be sent.
func (l *Loop) handleReadFirst() {
	for _, conn := range l.readFirst {
		if !conn.connecting {
			conn.handleReadable()
		}
	}
}

// dispatchAll handles the events of an iteration, those of reserved listeners first.
func (l *Loop) dispatchAll(events []unix.EpollEvent) {
	if l.reservedSockets > 0 {
		for i := range events {
			if l.isReserved(&events[i]) {
				l.dispatch(events[i])
				l.runDeferred()
				events[i].Events = 0 // handled
			}
		}
	}
	for _, event := range events {
		if event.Events != 0 {
			l.dispatch(event)
			l.runDeferred()
		}
	}
}

func (l *Loop) runDeferred() {
	for len(l.deferred) > 0 {
		do := l.deferred[0]
		l.deferred = l.deferred[1:]
		do()
	}
}

// udpHandle returns the handle of a UDP socket.
func udpHandle(id uint32) slotmap.Handle { return slotmap.Handle(id) }

// eventHandle returns the handle that watch was given.
func eventHandle(event *unix.EpollEvent) slotmap.Handle {
	return slotmap.Handle(uint64(uint32(event.Pad))<<32 | uint64(uint32(event.Fd)))
}

// isReserved reports whether an event concerns a reserved listener or one of its connections.
func (l *Loop) isReserved(event *unix.EpollEvent) bool {
	handle := eventHandle(event)
	if handle&listenerFlag != 0 {
		listener, ok := l.listeners.Get(handle &^ listenerFlag)
		return ok && listener.reservedLimit > 0
	}
	conn, ok := l.conns.Get(handle)
	return ok && conn.reservedBy != nil
}

func (l *Loop) dispatch(event unix.EpollEvent) {
	handle := eventHandle(&event)
	if handle == wakeHandle {
		l.runPosted()
		return
	}
	if handle&listenerFlag != 0 {
		if listener, ok := l.listeners.Get(handle &^ listenerFlag); ok {
			listener.acceptPending()
		}
		return
	}
	if handle>>32 == 0 {
		if socket := l.udpSockets[uint32(handle)]; socket != nil {
			socket.handleReadable()
		}
		return
	}
	if conn, ok := l.conns.Get(handle); ok {
		conn.handleEvent(event.Events)
	}
}

// runPosted runs what Post was given.
func (l *Loop) runPosted() {
	l.system.ClearWake()
	l.mutex.Lock()
	posted := l.posted
	l.posted = nil
	l.mutex.Unlock()
	for _, do := range posted {
		do()
	}
}

// watch changes the watched events of a descriptor by an operation of epoll_ctl.
func (l *Loop) watch(operation, fd int, handle slotmap.Handle, events uint32) error {
	return l.system.Watch(operation, fd, unix.EpollEvent{
		Events: events,
		Fd:     int32(uint32(handle)), // Fd and Pad are the two halves of the user data
		Pad:    int32(uint32(handle >> 32)),
	})
}
