package server

import (
	"encoding/json"
	"fmt"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/dispatcher/handover"
	"cinderroad/internal/dispatcher/httpfront"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/loadbalancer"
)

const (
	stateTimeout     = 1.0 // seconds for the predecessor to send its state
	discoveryTimeout = 1.0 // seconds for discovery to send what has changed since; the upgrade goes on without it
	orderTimeout     = 0.6 // seconds for the other process to carry out an order: an operator is owed an answer within 1

	maxUpgradeConns = 2 // connections open at the socket of upgrades

	// maxSessionsInTransit bounds the sessions that are being passed to the successor: until it has acknowledged one, its
	// descriptor counts for both processes.
	maxSessionsInTransit = 16
)

// handoverState is what a process sends to its successor.
type handoverState struct {
	Discovery      string                        `json:"discovery"` // address
	Membership     httpfront.List                `json:"list"`
	Exclusions     map[string]dispatch.Exclusion `json:"out"`
	EvacuatedSince float64                       `json:"evacuated"` // Unix time; 0: not evacuated
	Balancer       loadbalancer.Snapshot         `json:"learnt"`
	Gearman        bool                          `json:"gearman"`           // the message carries the Gearman listening socket
	GearmanListen  string                        `json:"gearman_listen"`    // its address
	SendsMetrics   bool                          `json:"figures,omitempty"` // totals follow once the successor serves the clients
}

// hello is the successor's first message.
type hello struct {
	TakesMetrics bool `json:"figures"` // reports metrics, and so can take totals over
}

// upgrade is a process's part in an upgrade: first as the successor that replaces its predecessor, later as the
// predecessor of the next process. It owns the links to both.
//
// The steps: the successor connects to the predecessor's unix socket and says hello; the predecessor sends its state; once
// discovery has confirmed the membership, or discoveryTimeout is over, the successor opens its fronts on the shared listening
// socket and sends Takeover. From then on the clients are the successor's: the predecessor accepts none, passes idle
// sessions on, answers what it has accepted and ends when it is told to. A process whose successor is lost serves the
// clients again. Orders and callbacks that may concern the other process are forwarded as queries.
type upgrade struct {
	SessionsPassed, SessionsAdopted, CallbackQueries uint64

	server      *Server
	socketPath  string              // where a successor connects; empty: no upgrade is possible
	listener    *eventloop.Listener // at socketPath
	predecessor *handover.Link      // nil: none, or it has ended
	successor   *handover.Link      // nil: none, or it is lost
	deadline    *eventloop.Timer    // of the predecessor's state, then of discovery

	stateReceived     bool // from the predecessor
	gearmanFD         int  // listening socket received from the predecessor; 0: none
	clientsHandedOver bool // to the successor
	sessionsInTransit int  // passed to the successor, not acknowledged yet
	handsOverMetrics  bool // to the successor, when it takes the clients
}

// newUpgrade prepares upgrades. They need a listening socket that outlives the process: without an inherited one there are none.
func newUpgrade(s *Server) *upgrade {
	u := &upgrade{server: s}
	if s.config.inheritedFD > 0 {
		u.socketPath = s.config.tempPath(".upgrade")
	}
	s.front.ForwardCallback = func(body []byte, done func()) bool {
		if !u.queryCallback(body, nil, func(bool) { done() }) {
			return false
		}
		u.CallbackQueries++
		return true
	}
	return u
}

// bothRunning reports whether this process shares the deployment's limits with another.
func (u *upgrade) bothRunning() bool {
	return u.predecessor != nil && u.stateReceived || u.successor != nil
}

// successorServes reports whether the clients have been handed over to the successor.
func (u *upgrade) successorServes() bool { return u.clientsHandedOver }

// done reports whether nothing is owed to the other processes any more, so that this one may end.
func (u *upgrade) done() bool {
	if u.clientsHandedOver && !u.server.reporting.handedOver() {
		return false
	}
	linksIdle := (u.predecessor == nil || u.predecessor.Idle()) && (u.successor == nil || u.successor.Idle())
	sessionsPending := u.clientsHandedOver && (u.sessionsInTransit != 0 || u.server.front.SessionCount() != 0)
	return linksIdle && !sessionsPending
}

// HandleUp implements handover.Handler.
func (u *upgrade) HandleUp(link *handover.Link) {
	_ = link.Send(handover.Hello, hello{TakesMetrics: u.server.reporting.delivers()})
}

// HandleDown implements handover.Handler. Whichever process is left serves alone.
func (u *upgrade) HandleDown(link *handover.Link, err error) {
	switch link {
	case u.predecessor:
		u.predecessorDown(err)
	case u.successor:
		u.successorDown(err)
	default:
		return
	}
	u.server.applyLimits()
}

// predecessorDown goes on without the predecessor, from scratch if its state has not arrived.
func (u *upgrade) predecessorDown(err error) {
	s := u.server
	u.predecessor = nil
	s.log.Info("upgrade: connection to the previous process closed", zap.Bool("state_received", u.stateReceived), zap.Error(err))
	if u.stateReceived {
		s.reporting.predecessorLost()
		return
	}
	u.deadline.Stop()
	u.finishStart(s.startWithoutPredecessor())
}

// successorDown takes the clients back, if the successor had them.
func (u *upgrade) successorDown(err error) {
	s := u.server
	u.successor = nil
	if !u.clientsHandedOver {
		s.log.Warn("upgrade: lost the new process before the handover", zap.Error(err))
		return
	}
	s.log.Warn("upgrade: lost the new process after the handover, resuming service", zap.Error(err))
	u.clientsHandedOver = false
	u.sessionsInTransit = 0
	s.front.SetSuccessor(nil)
	s.listener.SetSuspended(false)
	s.reporting.resume()
	s.resumeCluster()
	if s.gearman != nil {
		s.gearman.SetRetired(false)
	}
	if s.stopping {
		s.loop.At(s.loop.Now()+lingerSeconds, s.drainClients)
	} else {
		u.listenForSuccessor()
	}
}

// HandleMessage implements handover.Handler.
func (u *upgrade) HandleMessage(link *handover.Link, kind handover.Kind, body []byte) error {
	switch {
	case link == u.successor && kind == handover.Hello:
		var greeting hello
		if err := json.Unmarshal(body, &greeting); err != nil {
			return fmt.Errorf("upgrade: hello: %w", err)
		}
		u.handsOverMetrics = greeting.TakesMetrics && u.server.reporting.delivers()
		return u.sendState()
	case link == u.predecessor && kind == handover.Metrics && u.stateReceived:
		return u.server.reporting.receiveMetrics(body)
	case link == u.successor && kind == handover.Takeover && !u.clientsHandedOver:
		u.handOverClients()
	case link == u.successor && kind == handover.SessionReceived && u.clientsHandedOver:
		u.sessionsInTransit--
		if u.sessionsInTransit <= maxSessionsInTransit/2 {
			u.server.front.OfferSessions()
		}
	case link == u.predecessor && kind == handover.State && !u.stateReceived:
		return u.receiveState(body)
	case link == u.predecessor && kind == handover.Session && u.stateReceived:
		return u.adoptSession(body)
	default:
		return fmt.Errorf("upgrade: frame of kind %d out of turn", kind)
	}
	return nil
}
