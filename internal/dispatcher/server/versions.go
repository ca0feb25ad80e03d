package server

import (
	"net/netip"

	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/cluster/auditlog"
	"cinderroad/internal/dispatcher/cluster/versions"
	"cinderroad/internal/dispatcher/dispatch"
	"cinderroad/internal/dispatcher/httpfront"
	"cinderroad/loadbalancer"
)

// startVersionTable starts to exchange versions of the membership with other members, beginning with the list in force.
func (s *Server) startVersionTable() {
	if s.versionTable != nil {
		return
	}
	table := versions.New(s.config.Name)
	s.versionTable = table
	table.Log = func(line string) { s.log.Warn("versions: " + line) }
	table.OnChange = s.applyRestrictions
	table.OnEvent = s.handleVersionEvent
	table.OnOrder = func(order versions.Order) {
		s.recordAudit(auditlog.Entry{Kind: auditlog.OrderReceived, From: order.By, Member: order.Member, Out: order.Out})
		s.loop.Defer(func() {
			if s.cluster != nil {
				s.cluster.Update()
			}
		})
	}
	apply := func(addr netip.AddrPort, revision int64, cached bool, changed []httpfront.Entry) {
		entries := make([]versions.Entry, 0, len(changed))
		for _, entry := range changed {
			entries = append(entries, versions.Entry{
				Worker: entry.UID,
				State:  versionStates[entry.State],
				Start:  int64(max(entry.StartedAtMs, 0)),
			})
		}
		table.ApplyList(s.loop.Now(), s.discoverySource(addr), revision, cached, entries)
		if s.cluster != nil {
			s.cluster.GossipNow()
		}
	}
	if addr, list := s.discovery.List(); list.Revision > 0 {
		apply(addr, list.Revision, true, list.Entries)
	}
	s.discovery.OnVersion = apply
	s.discovery.OnContact = func() {
		table.HandleDiscoveryContact(s.loop.Now())
		s.handleContact()
	}
	table.OnPeerState = s.handleContact
}

// stopVersionTable lifts all restrictions: the own list alone counts without a cluster.
func (s *Server) stopVersionTable() {
	s.versionTable = nil
	s.discovery.OnVersion = nil
	s.discovery.OnContact = nil
	s.dispatcher.SetRestrictions(nil)
	s.resumeSending()
	s.updateAdmission()
}

// versionStates translates the states of a list's entries, which have been validated: an unknown state would count as Ready.
var versionStates = map[string]versions.State{"ready": versions.Ready, "draining": versions.Draining, "gone": versions.Gone}

// discoverySource is the name under which members compare versions of one discovery service.
func (s *Server) discoverySource(addr netip.AddrPort) string {
	if section := s.config.Operator.Cluster; section != nil && section.DiscoveryID != "" {
		return section.DiscoveryID
	}
	return addr.String()
}

// applyRestrictions restricts workers of which a peer knows a newer state than the own list.
func (s *Server) applyRestrictions() {
	restrictions := map[string]dispatch.Restriction{}
	for worker, restriction := range s.versionTable.Restrictions() {
		state := loadbalancer.Ready
		if restriction.State != versions.Ready {
			state = loadbalancer.Draining
		}
		restrictions[worker] = dispatch.Restriction{State: state, StartedAt: float64(restriction.Start) / 1000}
		s.log.Info("versions: worker restricted by a peer's update",
			zap.String("worker", worker),
			zap.Stringer("state", restriction.State),
			zap.Int64("rev", restriction.Revision),
			zap.String("from", restriction.From),
		)
	}
	if len(restrictions) == 0 {
		s.log.Info("versions: all restrictions lifted")
	}
	s.dispatcher.SetRestrictions(restrictions)
}
