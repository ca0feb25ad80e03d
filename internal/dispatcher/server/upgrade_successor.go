package server

import (
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"cinderroad/internal/dispatcher/handover"
	"cinderroad/internal/dispatcher/httpfront"
	"cinderroad/internal/shared/eventloop"
)

// listenForSuccessor opens the socket at which the next process will connect. If it cannot, that one starts without this
// one's state.
func (u *upgrade) listenForSuccessor() {
	listener, err := u.server.loop.ListenUnix(u.socketPath, maxUpgradeConns, func() bool { return false }, u.acceptSuccessor)
	if err != nil {
		u.server.log.Error("upgrade: failed to listen for a new process", zap.Error(err))
		return
	}
	u.listener = listener
}

// acceptSuccessor makes a connecting process the successor, in place of one that has connected before.
func (u *upgrade) acceptSuccessor(conn *eventloop.Conn) eventloop.Handler {
	link := handover.Accept(conn, u)
	if u.clientsHandedOver { // it connected before the successor had replaced the socket
		link.Close()
		return link
	}
	if u.successor != nil {
		u.successor.Close()
	}
	u.successor = link
	u.server.applyLimits()
	return link
}

// sendState sends the successor this process's state, with the Gearman listening socket where there is one.
func (u *upgrade) sendState() error {
	server := u.server
	addr, list := server.discovery.List()
	message := handoverState{
		Discovery:      addr.String(),
		Membership:     list,
		Exclusions:     server.dispatcher.Exclusions(),
		EvacuatedSince: server.front.EvacuatedSince(),
		Balancer:       server.dispatcher.Snapshot(),
		SendsMetrics:   u.handsOverMetrics,
	}
	server.log.Info("upgrade: sending state to the new process", zap.Int64("rev", list.Revision), zap.Int("members", len(list.Entries)))
	if server.gearman == nil || !server.serving {
		return u.successor.Send(handover.State, message)
	}
	fd, err := server.gearman.Listener().Dup()
	if err != nil {
		return err
	}
	message.Gearman = true
	message.GearmanListen = server.gearman.Listener().Addr().String()
	if err := u.successor.SendDescriptor(handover.State, message, nil, fd); err != nil {
		unix.Close(fd)
		return err
	}
	return nil
}

// handOverClients stops accepting clients, which are the successor's from now on.
func (u *upgrade) handOverClients() {
	server := u.server
	server.log.Info("upgrade: handing over clients to the new process",
		zap.Int("sessions", server.front.SessionCount()),
		zap.Int("open", server.dispatcher.Counts().OpenRequests),
	)
	u.clientsHandedOver = true
	if u.listener != nil { // the successor listens at the path now
		u.listener.Close()
		u.listener = nil
	}
	server.listener.SetSuspended(true)
	server.yieldCluster()
	if server.gearman != nil {
		server.gearman.SetRetired(true)
	}
	server.front.SetSuccessor(u.passSession)
	if u.handsOverMetrics {
		server.reporting.handOverTo(u.successor)
	}
}

// passSession sends an idle session to the successor; false: not now, and the session stays.
func (u *upgrade) passSession(session httpfront.SessionState, conn *eventloop.Conn) bool {
	if u.successor == nil || u.sessionsInTransit >= maxSessionsInTransit {
		return false
	}
	fd, in := conn.Detach()
	if err := u.successor.SendDescriptor(handover.Session, session, in, fd); err != nil {
		u.server.log.Error("upgrade: failed to hand over client session", zap.Error(err))
		unix.Close(fd)
		return true
	}
	u.sessionsInTransit++
	u.SessionsPassed++
	return true
}
