package server

import (
	"encoding/json"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/admin"
)

// showFleet answers GET /api/fleet.
func (p *Server) showFleet(reply admin.Reply) {
	if p.fleet == nil {
		reply(404, "no [fleet] in the operator's file")
		return
	}
	text, err := json.Marshal(p.fleet.Status())
	if err != nil {
		reply(500, err.Error())
		return
	}
	reply(200, string(text))
}

// goneFromFleet has a member that is dead count as one that has left.
func (p *Server) goneFromFleet(member string, reply admin.Reply) {
	if p.fleet == nil {
		reply(404, "no [fleet] in the operator's file")
		return
	}
	if err := p.fleet.DeclareLeft(member); err != nil {
		reply(409, err.Error())
		return
	}
	p.log.Info("program: a member was declared gone", zap.String("member", member))
	reply(200, "done")
}

// orderFleet shuts a member out, or brings it back, wherever it is.
func (p *Server) orderFleet(out bool) func(member string, reply admin.Reply) {
	return func(member string, reply admin.Reply) {
		if p.fleet == nil {
			reply(404, "no [fleet] in the operator's file")
			return
		}
		if err := p.fleet.IssueOrder(member, out); err != nil {
			reply(409, err.Error())
			return
		}
		p.log.Info("program: order", zap.String("member", member), zap.Bool("out", out))
		reply(200, "done")
	}
}
