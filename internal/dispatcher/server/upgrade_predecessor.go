package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"cinderroad/internal/dispatcher/handover"
	"cinderroad/internal/dispatcher/httpfront"
	"cinderroad/internal/shared/eventloop"
)

// connectPredecessor looks for a process to replace. False: there can be none, and the caller starts the server. True: the
// start goes on by itself, with the predecessor's state or, if there turns out to be no predecessor, without.
func (u *upgrade) connectPredecessor() bool {
	if u.socketPath == "" {
		return false
	}
	u.predecessor = handover.Connect(u.server.loop, u.socketPath, u)
	u.deadline = u.server.loop.At(u.server.loop.Now()+stateTimeout, func() {
		u.predecessor.Close()
		u.HandleDown(u.predecessor, fmt.Errorf("upgrade: no state within %.0f s", stateTimeout))
	})
	return true
}

// receiveState applies the predecessor's state, and waits for discovery to send what has changed since.
func (u *upgrade) receiveState(body []byte) error {
	server := u.server
	var received handoverState
	if err := u.decodeState(body, &received); err != nil {
		return err
	}
	u.deadline.Stop()
	u.stateReceived = true
	server.applyLimits()
	server.dispatcher.ApplyExclusions(received.Exclusions)
	server.log.Info("upgrade: received state from the previous process",
		zap.Int64("rev", received.Membership.Revision),
		zap.Int("members_out", server.dispatcher.ExcludedCount()),
	)
	if received.EvacuatedSince > 0 {
		server.setEvacuated(true, min(received.EvacuatedSince, server.loop.Now()))
	}
	server.reporting.awaitPredecessor(received.SendsMetrics)
	if err := server.dispatcher.Restore(received.Balancer); err != nil {
		server.log.Warn("upgrade: failed to restore the load balancer state of the previous process", zap.Error(err))
	}
	if server.config.discovery.IsValid() {
		addr, _ := netip.ParseAddrPort(received.Discovery)
		server.discovery.OnFirstContact = u.takeOver
		u.deadline = server.loop.At(server.loop.Now()+discoveryTimeout, u.takeOver)
		server.discovery.StartWithList(addr, received.Membership)
		return nil
	}
	u.takeOver()
	return nil
}

// decodeState reads a state and checks it. It keeps the Gearman listening socket that comes with it, if that is the one
// which this process is configured to listen on, and closes any other.
func (u *upgrade) decodeState(body []byte, state *handoverState) error {
	err := json.Unmarshal(body, state)
	if err != nil { // a frame that carries a descriptor has another form
		var fd int
		_, fd, err = u.predecessor.DecodeDescriptorFrame(body, state)
		if err == nil && u.wantsGearmanListener(state) {
			u.gearmanFD = fd
		} else if fd >= 0 {
			unix.Close(fd)
		}
	}
	if err != nil {
		return fmt.Errorf("upgrade: state: %w", err)
	}
	if err := state.Membership.Validate(); err != nil {
		return fmt.Errorf("upgrade: state: %w", err)
	}
	text, err := json.Marshal(savedExclusions{exclusionsVersion, state.Exclusions})
	if err != nil {
		return fmt.Errorf("upgrade: state: %w", err)
	}
	_, err = parseExclusions(text)
	return err
}

// wantsGearmanListener reports whether the Gearman socket that comes with state is the one that this process listens on.
func (u *upgrade) wantsGearmanListener(state *handoverState) bool {
	if !state.Gearman || u.server.gearman == nil {
		return false
	}
	return state.GearmanListen == u.server.config.gearman.Listen
}

// takeOver opens the fronts and tells the predecessor: membership, exclusions and the balancer's state are in force by now.
func (u *upgrade) takeOver() {
	u.deadline.Stop()
	if u.server.serving || u.server.stopping {
		return
	}
	u.finishStart(u.server.startServing(u.gearmanFD))
	if u.predecessor != nil && u.server.serving {
		_ = u.predecessor.Send(handover.Takeover, struct{}{})
	}
}

// finishStart lets a successor find this process, or ends it if the start failed with err.
func (u *upgrade) finishStart(err error) {
	if err != nil {
		u.server.fail(err)
		return
	}
	u.listenForSuccessor()
}

// adoptSession continues a client session that the predecessor has passed on, and acknowledges it.
func (u *upgrade) adoptSession(body []byte) error {
	var session httpfront.SessionState
	in, fd, err := u.predecessor.DecodeDescriptorFrame(body, &session)
	if err != nil {
		if fd >= 0 {
			unix.Close(fd)
		}
		return err
	}
	u.SessionsAdopted++
	err = u.server.loop.Adopt(fd, bytes.Clone(in), func(c *eventloop.Conn) eventloop.Handler {
		return u.server.front.Adopt(session, c)
	})
	if err != nil {
		u.server.log.Warn("upgrade: failed to take over client session", zap.Error(err))
	}
	return u.predecessor.Send(handover.SessionReceived, struct{}{})
}
