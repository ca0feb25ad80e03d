package server

import (
	"errors"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/admin"
	"cinderroad/internal/dispatcher/dispatch"
)

// adminCalls returns the calls that operators can make at the second address.
func (s *Server) adminCalls() map[string]admin.Call {
	return map[string]admin.Call{
		"/api/ready":            {Method: "GET", Handle: func(_ string, reply admin.Reply) { s.handleReady(reply) }},
		"/api/fleet":            {Method: "GET", Handle: func(_ string, reply admin.Reply) { s.handleClusterStatus(reply) }},
		"/api/fleet/gone":       {Method: "PUT", TakesMember: true, Handle: s.handleDeclareLeft},
		"/api/fleet/shut-out":   {Method: "PUT", TakesMember: true, Handle: s.handleShutOut},
		"/api/fleet/bring-back": {Method: "PUT", TakesMember: true, Handle: s.handleBringBack},
		"/api/exclude":          {Method: "PUT", TakesMember: true, Handle: s.handleExclude},
		"/api/include":          {Method: "PUT", TakesMember: true, Handle: s.handleInclude},
		"/api/evacuate":         {Method: "PUT", Handle: s.handleOrder(actionEvacuate)},
		"/api/rejoin":           {Method: "PUT", Handle: s.handleOrder(actionRejoin)},
	}
}

// handleReady answers whether this process is able to serve clients. One that an operator has evacuated is.
func (s *Server) handleReady(reply admin.Reply) {
	switch {
	case !s.serving:
		reply(503, "starting")
		return
	case s.stopping:
		reply(503, "stopping")
		return
	case s.upgrade.successorServes():
		reply(503, "the next process takes the clients")
		return
	}
	reply(200, "ready")
}

// setEvacuated evacuates the dispatcher, as of the Unix time since, or ends the evacuation.
func (s *Server) setEvacuated(on bool, since float64) {
	s.front.Evacuate(on, since)
	if s.gearman != nil {
		s.gearman.Evacuate(on)
	}
}

// The actions of an order, as they are forwarded and logged.
const (
	actionEvacuate = "evacuate"
	actionRejoin   = "rejoin"
	actionExclude  = "exclude"
	actionInclude  = "include"
)

// operatorOrder is an order of an operator, in the form in which it is forwarded to the dispatcher's other process.
type operatorOrder struct {
	Action    string             `json:"what"` // one of the constants above
	Member    string             `json:"member,omitempty"`
	Exclusion dispatch.Exclusion `json:"exclusion"`
}

// handleOrder returns the handler of an order that concerns the dispatcher itself.
func (s *Server) handleOrder(action string) func(member string, reply admin.Reply) {
	return func(_ string, reply admin.Reply) { s.executeOrder(operatorOrder{Action: action}, reply) }
}

// handleExclude answers PUT /api/exclude: the worker gets no new jobs.
func (s *Server) handleExclude(member string, reply admin.Reply) {
	s.changeExclusion(actionExclude, member, s.dispatcher.Exclude(member), reply)
}

// handleInclude answers PUT /api/include, which ends an exclusion.
func (s *Server) handleInclude(member string, reply admin.Reply) {
	s.changeExclusion(actionInclude, member, s.dispatcher.Include(member), reply)
}

// changeExclusion executes an order that excludes or includes a worker, unless the dispatcher finds it impossible.
func (s *Server) changeExclusion(action, member string, change dispatch.ExclusionChange, reply admin.Reply) {
	switch {
	case !change.Known && s.serving:
		reply(404, "nobody has member "+member)
	case change.LimitReached:
		reply(507, "too many members are out")
	default:
		s.executeOrder(operatorOrder{Action: action, Member: member, Exclusion: change.Exclusions[member]}, reply)
	}
}

// errOrderNotWritten is the error of an order that the disk has not taken in time. It is carried out once the disk has.
var errOrderNotWritten = errors.New("the disk has not taken it in time: send it again")

// executeOrder carries an order out here and has the other process carry it out. It replies once that has answered, or after
// orderTimeout: with 200 only if the order is in force in both.
func (s *Server) executeOrder(order operatorOrder, reply admin.Reply) {
	if !s.serving { // the orders that the predecessor was given are still being applied
		reply(503, "starting")
		return
	}
	waitsForDisk := true
	timeout := s.loop.At(s.loop.Now()+orderTimeout, func() {
		if waitsForDisk {
			reply(503, errOrderNotWritten.Error())
			reply = func(int, string) {} // the operator has an answer
		}
	})
	s.applyOrder(order, func(err error) {
		waitsForDisk = false
		timeout.Stop()
		if err != nil {
			s.log.Error("admin: failed to apply order", zap.String("action", order.Action), zap.Error(err))
			reply(500, err.Error())
			return
		}
		s.upgrade.forwardOrder(order, nil, func(err error) { replyToOrder(reply, err) })
	})
}

// replyToOrder replies to an order that is in force in this process; err says whether it is in the others.
func replyToOrder(reply admin.Reply, err error) {
	switch {
	case err == nil:
		reply(200, "done")
	case errors.Is(err, errOrderUnconfirmed):
		reply(503, err.Error())
	default:
		reply(500, err.Error())
	}
}

// applyOrder carries an order out in this process, and calls done once. Exclusions are saved before they are applied, since an
// order that was acknowledged must outlive the process.
func (s *Server) applyOrder(order operatorOrder, done func(error)) {
	s.log.Info("admin: applying order "+order.Action, zap.String("member", order.Member))
	switch order.Action {
	case actionEvacuate, actionRejoin:
		s.setEvacuated(order.Action == actionEvacuate, s.loop.Now())
		done(nil)
	default:
		s.exclusions.add(order, done)
	}
}
