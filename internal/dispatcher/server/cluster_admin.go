package server

import (
	"encoding/json"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/admin"
)

// handleClusterStatus answers GET /api/fleet.
func (s *Server) handleClusterStatus(reply admin.Reply) {
	if s.cluster == nil {
		reply(404, "no [fleet] in the operator's file")
		return
	}
	text, err := json.Marshal(s.cluster.Status())
	if err != nil {
		reply(500, err.Error())
		return
	}
	reply(200, string(text))
}

// handleDeclareLeft answers PUT /api/fleet/gone: a dead member counts as one that has left.
func (s *Server) handleDeclareLeft(member string, reply admin.Reply) {
	if s.cluster == nil {
		reply(404, "no [fleet] in the operator's file")
		return
	}
	if err := s.cluster.DeclareLeft(member); err != nil {
		reply(409, err.Error())
		return
	}
	s.log.Info("admin: member declared permanently gone", zap.String("member", member))
	reply(200, "done")
}

// handleShutOut answers PUT /api/fleet/shut-out: the member is to take no new work.
func (s *Server) handleShutOut(member string, reply admin.Reply) {
	const out = true
	s.issueClusterOrder(member, out, reply)
}

// handleBringBack answers PUT /api/fleet/bring-back, which ends a shut-out.
func (s *Server) handleBringBack(member string, reply admin.Reply) {
	const out = false
	s.issueClusterOrder(member, out, reply)
}

// issueClusterOrder issues the order that a member is out, or is out no more. It reaches the member by gossip: the reply
// does not say that the member has carried it out.
func (s *Server) issueClusterOrder(member string, out bool, reply admin.Reply) {
	if s.cluster == nil {
		reply(404, "no [fleet] in the operator's file")
		return
	}
	if err := s.cluster.IssueOrder(member, out); err != nil {
		reply(409, err.Error())
		return
	}
	s.log.Info("admin: order issued to member", zap.String("member", member), zap.Bool("out", out))
	reply(200, "done")
}
