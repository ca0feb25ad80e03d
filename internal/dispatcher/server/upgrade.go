package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/dispatcher/handover"
	"cinderroad/internal/dispatcher/httpfront"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/loadbalancer"
)

const (
	stateTimeout         = 1.0 // seconds for the process before this one to tell its state
	discoveryTimeout     = 1.0 // and for discovery to say what has changed since: a silent one must not hold the upgrade up
	orderTimeout         = 0.6 // seconds for the other process to carry an order out; the staff are owed an answer within 1
	maxSessionsInTransit = 16  // sessions under way to the next process: their descriptors count for both
)

// handoverState is what a process tells the one that takes its place.
type handoverState struct {
	Discovery      string                        `json:"discovery"`
	List           httpfront.List                `json:"list"`
	Exclusions     map[string]dispatch.Exclusion `json:"out"`
	EvacuatedSince float64                       `json:"evacuated"` // since when; 0 is not
	Balancer       loadbalancer.Snapshot         `json:"learnt"`
	Gearman        bool                          `json:"gearman"` // its listening socket comes along
	GearmanListen  string                        `json:"gearman_listen"`
	SendsMetrics   bool                          `json:"figures,omitempty"` // its totals follow once the newer one has taken the clients
}

// hello is what a newer process says of itself.
type hello struct {
	TakesMetrics bool `json:"figures"` // takes totals
}

// upgrade is a process's part in taking the place of the one before it, and in leaving its own to the next.
type upgrade struct {
	SessionsPassed, SessionsAdopted, CallbackQueries uint64

	server            *Server
	socketPath        string
	listener          *eventloop.Listener // where the next process comes
	predecessor       *handover.Link      // the process before this one, while it lives
	successor         *handover.Link      // the one that takes this one's place
	stateReceived     bool                // prev has told its state
	clientsHandedOver bool                // next takes the clients
	sessionsInTransit int                 // sessions on their way to next
	gearmanFD         int                 // listening socket that came along; 0 is none
	handsOverMetrics  bool                // next takes totals
	deadline          *eventloop.Timer
}

func newUpgrade(s *Server) *upgrade {
	u := &upgrade{server: s}
	if s.config.inheritedFD > 0 {
		u.socketPath = s.config.tempPath(".upgrade")
	}
	s.front.ForwardCallback = func(body []byte, done func()) bool {
		if !u.queryOthers(handover.CallbackQuery, body, nil, func(bool) { done() }) {
			return false
		}
		u.CallbackQueries++
		return true
	}
	return u
}

// connectPredecessor looks for a process whose place this one takes; false where there can be none. What it finds goes on by itself.
func (u *upgrade) connectPredecessor() bool {
	if u.socketPath == "" {
		return false
	}
	u.predecessor = handover.Connect(u.server.loop, u.socketPath, u)
	u.deadline = u.server.loop.At(u.server.loop.Now()+stateTimeout, func() {
		u.predecessor.Close()
		u.HandleDown(u.predecessor, fmt.Errorf("program: no state within %.0f s", stateTimeout))
	})
	return true
}

// bothRunning says whether there are two processes now.
func (u *upgrade) bothRunning() bool {
	return u.predecessor != nil && u.stateReceived || u.successor != nil
}

// successorServes says whether the clients are the next process's.
func (u *upgrade) successorServes() bool { return u.clientsHandedOver }

// done says whether nothing is owed to the other processes.
func (u *upgrade) done() bool {
	if u.clientsHandedOver && !u.server.reporting.handedOver() {
		return false
	}
	return (u.predecessor == nil || u.predecessor.Idle()) && (u.successor == nil || u.successor.Idle()) && (!u.clientsHandedOver || u.sessionsInTransit == 0 && u.server.front.SessionCount() == 0)
}

// HandleUp implements handover.Owner.
func (u *upgrade) HandleUp(l *handover.Link) {
	_ = l.Send(handover.Hello, hello{TakesMetrics: u.server.reporting.delivers()})
}

// HandleDown implements handover.Owner. Whichever process is left has everything again.
func (u *upgrade) HandleDown(l *handover.Link, err error) {
	switch l {
	case u.predecessor:
		u.predecessor = nil
		u.server.log.Info("program: the process before has gone", zap.Bool("told", u.stateReceived), zap.Error(err))
		if !u.stateReceived {
			u.deadline.Stop()
			u.finishStart(u.server.startWithoutPredecessor())
			break
		}
		u.server.reporting.predecessorLost()
	case u.successor:
		u.successor = nil
		if !u.clientsHandedOver {
			u.server.log.Warn("program: the next process has gone before it took over", zap.Error(err))
			break
		}
		u.server.log.Warn("program: the next process has gone, taking back", zap.Error(err))
		u.clientsHandedOver, u.sessionsInTransit = false, 0
		u.server.front.SetSuccessor(nil)
		u.server.listener.SetSuspended(false)
		u.server.reporting.resume()
		u.server.resumeCluster()
		if u.server.gearman != nil {
			u.server.gearman.SetRetired(false)
		}
		if u.server.stopping {
			u.server.loop.At(u.server.loop.Now()+lingerSeconds, u.server.drainClients)
		} else {
			u.listenForSuccessor()
		}
	default:
		return
	}
	u.server.applyLimits()
}

// finishStart has this process found by the next one.
func (u *upgrade) finishStart(err error) {
	if err != nil {
		u.server.fail(err)
		return
	}
	u.listenForSuccessor()
}

func (u *upgrade) listenForSuccessor() {
	listener, err := u.server.loop.ListenUnix(u.socketPath, 2, func() bool { return false }, u.acceptSuccessor)
	if err != nil { // it serves; the next one will be a plain restart
		u.server.log.Error("program: no upgrade will find this process", zap.Error(err))
		return
	}
	u.listener = listener
}

func (u *upgrade) acceptSuccessor(c *eventloop.Conn) eventloop.Handler {
	l := handover.Accept(c, u)
	if u.clientsHandedOver { // it has looked before the next one stood at the path
		l.Close()
		return l
	}
	if u.successor != nil {
		u.successor.Close()
	}
	u.successor = l
	u.server.applyLimits()
	return l
}

// HandleMessage implements handover.Owner.
func (u *upgrade) HandleMessage(l *handover.Link, kind handover.Kind, body []byte) error {
	switch {
	case l == u.successor && kind == handover.Hello:
		var h hello
		if err := json.Unmarshal(body, &h); err != nil {
			return fmt.Errorf("program: hello: %w", err)
		}
		u.handsOverMetrics = h.TakesMetrics && u.server.reporting.delivers()
		return u.sendState()
	case l == u.predecessor && kind == handover.Metrics && u.stateReceived:
		return u.server.reporting.receiveMetrics(body)
	case l == u.successor && kind == handover.Takeover && !u.clientsHandedOver:
		u.handOverClients()
	case l == u.successor && kind == handover.SessionReceived && u.clientsHandedOver:
		if u.sessionsInTransit--; u.sessionsInTransit <= maxSessionsInTransit/2 {
			u.server.front.OfferSessions()
		}
	case l == u.predecessor && kind == handover.State && !u.stateReceived:
		return u.receiveState(body)
	case l == u.predecessor && kind == handover.Session && u.stateReceived:
		return u.adoptSession(body)
	default:
		return fmt.Errorf("program: frame of kind %d out of turn", kind)
	}
	return nil
}

// sendState tells the next process all it needs.
func (u *upgrade) sendState() error {
	server := u.server
	addr, list := server.discovery.List()
	message := handoverState{Discovery: addr.String(), List: list, Exclusions: server.dispatcher.Exclusions(), EvacuatedSince: server.front.EvacuatedSince(), Balancer: server.dispatcher.Snapshot(), SendsMetrics: u.handsOverMetrics}
	server.log.Info("program: telling the next process", zap.Int64("rev", list.Revision), zap.Int("members", len(list.Entries)))
	if server.gearman == nil || !server.serving {
		return u.successor.Send(handover.State, message)
	}
	fd, err := server.gearman.Listener().Dup()
	if err != nil {
		return err
	}
	message.Gearman, message.GearmanListen = true, server.gearman.Listener().Addr().String()
	return u.successor.SendDescriptor(handover.State, message, nil, fd)
}

// handOverClients leaves the clients to the next process.
func (u *upgrade) handOverClients() {
	server := u.server
	server.log.Info("program: the next process takes the clients", zap.Int("sessions", server.front.SessionCount()), zap.Int("open", server.dispatcher.Counts().OpenRequests))
	u.clientsHandedOver = true
	if u.listener != nil { // the path is the next one's
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

// passSession sends a session that rests to the next process.
func (u *upgrade) passSession(session httpfront.SessionState, c *eventloop.Conn) bool {
	if u.successor == nil || u.sessionsInTransit >= maxSessionsInTransit {
		return false
	}
	fd, in := c.Detach()
	u.sessionsInTransit++
	u.SessionsPassed++
	if err := u.successor.SendDescriptor(handover.Session, session, in, fd); err != nil {
		u.server.log.Error("program: a session could not be passed on", zap.Error(err))
	}
	return true
}

// adoptSession takes a session over.
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
	if err := u.server.loop.Adopt(fd, bytes.Clone(in), func(c *eventloop.Conn) eventloop.Handler {
		return u.server.front.Adopt(session, c)
	}); err != nil {
		u.server.log.Warn("program: a session could not be taken over", zap.Error(err))
	}
	return u.predecessor.Send(handover.SessionReceived, struct{}{})
}

// receiveState takes the state of the process before this one, and waits for discovery to say what has changed since.
func (u *upgrade) receiveState(body []byte) error {
	server := u.server
	var state handoverState
	if err := u.decodeState(body, &state); err != nil {
		return err
	}
	u.deadline.Stop()
	u.stateReceived = true
	server.applyLimits()
	server.dispatcher.ApplyExclusions(state.Exclusions)
	server.log.Info("program: told by the process before", zap.Int64("rev", state.List.Revision), zap.Int("members_out", server.dispatcher.ExcludedCount()))
	if state.EvacuatedSince > 0 {
		server.setEvacuated(true, min(state.EvacuatedSince, server.loop.Now()))
	}
	server.reporting.awaitPredecessor(state.SendsMetrics)
	if err := server.dispatcher.Restore(state.Balancer); err != nil {
		server.log.Warn("program: what the process before has learnt is of no use", zap.Error(err))
	}
	if server.config.discovery.IsValid() {
		addr, _ := netip.ParseAddrPort(state.Discovery)
		server.discovery.OnFirstContact = u.takeOver
		u.deadline = server.loop.At(server.loop.Now()+discoveryTimeout, u.takeOver)
		server.discovery.StartWithList(addr, state.List)
		return nil
	}
	u.takeOver()
	return nil
}

// decodeState reads a state and checks it.
func (u *upgrade) decodeState(body []byte, state *handoverState) error {
	err := json.Unmarshal(body, state)
	if err != nil { // with a descriptor, it has the other form
		var fd int
		if _, fd, err = u.predecessor.DecodeDescriptorFrame(body, state); err == nil && state.Gearman && u.server.gearman != nil && state.GearmanListen == u.server.config.gearman.Listen {
			u.gearmanFD = fd
		} else if fd >= 0 {
			unix.Close(fd)
		}
	}
	if err != nil {
		return fmt.Errorf("program: state: %w", err)
	}
	if err := state.List.Validate(); err != nil {
		return fmt.Errorf("program: state: %w", err)
	}
	text, err := json.Marshal(savedExclusions{exclusionsVersion, state.Exclusions})
	if err != nil {
		return fmt.Errorf("program: state: %w", err)
	}
	_, err = parseExclusions(text)
	return err
}

// takeOver takes the clients: the list, the exclusions and what was learnt are here.
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

// HandleQuery implements handover.Owner.
func (u *upgrade) HandleQuery(l *handover.Link, kind handover.Kind, body []byte, answer func(yes bool)) {
	body = bytes.Clone(body)
	switch kind {
	case handover.CallbackQuery:
		if u.server.front.HandleForwardedCallback(body) {
			answer(true)
		} else if !u.queryOthers(handover.CallbackQuery, body, l, answer) {
			answer(false)
		}
	case handover.Order:
		var o operatorOrder
		err := json.Unmarshal(body, &o)
		if err == nil {
			err = u.server.applyOrder(o)
		}
		if err != nil {
			u.server.log.Error("program: order of the other process not carried out", zap.Error(err))
			answer(false)
			return
		}
		u.forwardOrder(o, l, func() { answer(true) })
	}
}

// queryOthers asks the other processes, but for the one that asks itself; done hears yes from the first that says it, else no
// once all have answered or gone. False when there is nobody to ask.
func (u *upgrade) queryOthers(kind handover.Kind, body []byte, except *handover.Link, done func(yes bool)) bool {
	pending, answered := 0, false
	for _, l := range []*handover.Link{u.predecessor, u.successor} {
		if l == nil || l == except || l == u.predecessor && !u.stateReceived || l == u.successor && kind == handover.CallbackQuery && !u.clientsHandedOver {
			continue
		}
		if l.Query(kind, body, func(yes bool) {
			if pending--; !answered && (yes && kind == handover.CallbackQuery || pending == 0) {
				answered = true
				done(yes)
			}
		}) {
			pending++
		}
	}
	return pending > 0
}

// forwardOrder has the other processes carry out an order; done hears when they have, or cannot be waited for.
func (u *upgrade) forwardOrder(order operatorOrder, except *handover.Link, done func()) {
	body, err := json.Marshal(order)
	if err != nil {
		u.server.log.Error("program: order", zap.Error(err))
		done()
		return
	}
	finished := false
	finish := func() {
		if !finished {
			finished = true
			done()
		}
	}
	if !u.queryOthers(handover.Order, body, except, func(bool) { finish() }) {
		finish()
		return
	}
	u.server.loop.At(u.server.loop.Now()+orderTimeout, finish)
}
