package admin

import (
	"fmt"
	"net/netip"
	"slices"

	"go.uber.org/zap"

	"cinderroad/internal/shared/eventloop"
)

// Bounds of the server.
const (
	maxConnections = 8       // open at once; then one that is answered is closed, or the oldest that has not sent its call
	maxCallBytes   = 4 << 10 // of a call
	callTimeout    = 3.0     // seconds to a complete call
	maxMemberBytes = 256     // of a member's name
)

// Reply answers a call. It must be called once, now or later; reason is the body of the answer.
type Reply func(status int, reason string)

// Call is what one path does.
type Call struct {
	Method      string
	TakesMember bool                             // the body names a member
	Handle      func(member string, reply Reply) // runs on the event loop and must not block; member is empty without TakesMember
}

// Server serves the calls.
type Server struct {
	Calls    uint64 // answered
	Rejected uint64 // answered with 4xx or 5xx
	Evicted  uint64 // connections closed for newer ones before they had sent a call

	loop        *eventloop.Loop
	log         *zap.Logger
	calls       map[string]Call // by path
	connections []*connection   // the oldest first
	listener    *eventloop.Listener
}

// Start opens the address and serves calls, which are by their path.
func Start(loop *eventloop.Loop, log *zap.Logger, addr netip.AddrPort, calls map[string]Call) (*Server, error) {
	s := &Server{loop: loop, log: log, calls: calls}
	listener, err := loop.ListenReserved(addr, maxConnections, s.evict, s.accept)
	if err != nil {
		return nil, fmt.Errorf("admin server: %w", err)
	}
	s.listener = listener
	return s, nil
}

// OpenCalls returns the number of calls that wait for their answer.
func (s *Server) OpenCalls() (open int) {
	for _, connection := range s.connections {
		if connection.complete && !connection.answered {
			open++
		}
	}
	return open
}

func (s *Server) accept(conn *eventloop.Conn) eventloop.Handler {
	connection := &connection{server: s, conn: conn}
	s.connections = append(s.connections, connection)
	connection.timeout = s.loop.At(s.loop.Now()+callTimeout, func() { connection.reply(408, "no whole call came in time") })
	return connection
}

// evict closes the connection that can best be spared: one that has its answer, or the oldest that has not sent its call.
func (s *Server) evict() bool {
	s.connections = slices.DeleteFunc(s.connections, func(c *connection) bool { return !c.conn.Open() })
	for _, maySpare := range []func(*connection) bool{
		func(c *connection) bool { return c.answered },
		func(c *connection) bool { return !c.complete },
	} {
		if i := slices.IndexFunc(s.connections, maySpare); i >= 0 {
			if connection := s.connections[i]; !connection.answered {
				s.Evicted++
				connection.reply(503, "too many callers")
			}
			s.connections[i].conn.Close()
			s.connections = slices.Delete(s.connections, i, i+1)
			return true
		}
	}
	return false
}
