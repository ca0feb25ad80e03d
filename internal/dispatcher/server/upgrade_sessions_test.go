package server

import (
	"errors"
	"io"
	"math"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/handover"
	"cinderroad/internal/dispatcher/httpfront"
	"cinderroad/internal/shared/eventloop"
)

// sessionHandler calls data with what its connection receives.
type sessionHandler struct{ data func(*eventloop.Conn) }

func (h sessionHandler) Opened(*eventloop.Conn)        {}
func (h sessionHandler) Data(conn *eventloop.Conn)     { h.data(conn) }
func (h sessionHandler) Closed(*eventloop.Conn, error) {}

// TestSessionThatCannotBePassedIsClosed: a session that cannot be sent to the successor is closed, and is not waited for as one
// in transit, which would keep the process from ending.
func TestSessionThatCannotBePassedIsClosed(t *testing.T) {
	loop, err := eventloop.NewLoop(10)
	if err != nil {
		t.Fatal(err)
	}
	u := &upgrade{server: &Server{log: zap.NewNop(), loop: loop}}
	path := filepath.Join(t.TempDir(), "successor")
	var successor *handover.Link
	_, err = loop.ListenUnix(path, 1, func() bool { return false }, func(conn *eventloop.Conn) eventloop.Handler {
		successor = handover.Accept(conn, u)
		return successor
	})
	if err != nil {
		t.Fatal(err)
	}
	u.successor = handover.Connect(loop, path, u)
	listener, err := loop.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(*eventloop.Conn) eventloop.Handler {
		return sessionHandler{func(conn *eventloop.Conn) {
			unencodable := httpfront.SessionState{AcceptedAt: math.NaN()}
			if !u.passSession(unencodable, conn) {
				t.Error("a session whose descriptor was given away was said to stay")
			}
			loop.Stop()
		}}
	})
	if err != nil {
		t.Fatal(err)
	}
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
	if u.sessionsInTransit != 0 || u.SessionsPassed != 0 {
		t.Errorf("%d sessions in transit, %d passed", u.sessionsInTransit, u.SessionsPassed)
	}
	client.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.ReadAll(client); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the session's connection is still open")
	}
}
