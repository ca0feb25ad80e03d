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

// keepVersions has what discovery tells kept for the fleet, from the list held now on.
func (p *Server) keepVersions() {
	if p.board != nil {
		return
	}
	b := versions.New(p.config.Name)
	p.board = b
	b.Log = func(line string) { p.log.Warn("versions: " + line) }
	b.OnChange = p.withhold
	b.OnEvent = p.noted
	b.OnOrder = func(o versions.Order) {
		p.record(auditlog.Entry{Kind: auditlog.OrderReceived, From: o.By, Member: o.Member, Out: o.Out})
		p.loop.Defer(func() {
			if p.fleet != nil {
				p.fleet.Update()
			}
		})
	}
	tell := func(addr netip.AddrPort, rev int64, cached bool, changed []httpfront.Entry) {
		entries := make([]versions.Entry, 0, len(changed))
		for _, t := range changed {
			entries = append(entries, versions.Entry{Worker: t.UID, State: states[t.State], Start: int64(max(t.StartedAtMs, 0))})
		}
		b.ApplyList(p.loop.Now(), p.source(addr), rev, cached, entries)
		if p.fleet != nil {
			p.fleet.GossipNow()
		}
	}
	if addr, list := p.director.List(); list.Revision > 0 {
		tell(addr, list.Revision, true, list.Entries)
	}
	p.director.OnVersion = tell
	p.director.OnContact = func() {
		b.HandleDiscoveryContact(p.loop.Now())
		p.looked()
	}
	b.OnPeerState = p.looked
}

// dropVersions has nothing withheld any more: the own list alone says.
func (p *Server) dropVersions() {
	p.board, p.director.OnVersion, p.director.OnContact = nil, nil, nil
	p.core.SetRestrictions(nil)
	p.wake()
	p.pause()
}

// states are the list's, for the fleet; what is not known there is not told as ready.
var states = map[string]versions.State{"ready": versions.Ready, "draining": versions.Draining, "gone": versions.Gone}

// source is what the fleet calls a discovery.
func (p *Server) source(addr netip.AddrPort) string {
	if f := p.config.Operator.Cluster; f != nil && f.DiscoveryID != "" {
		return f.DiscoveryID
	}
	return addr.String()
}

// withhold has the core take workers for what peers know of them.
func (p *Server) withhold() {
	held := map[string]dispatch.Restriction{}
	for worker, h := range p.board.Restrictions() {
		state := loadbalancer.Ready
		if h.State != versions.Ready {
			state = loadbalancer.Draining
		}
		held[worker] = dispatch.Restriction{State: state, StartedAt: float64(h.Start) / 1000}
		p.log.Info("versions: withheld on a peer's word", zap.String("worker", worker), zap.Stringer("state", h.State), zap.Int64("rev", h.Revision), zap.String("from", h.From))
	}
	if len(held) == 0 {
		p.log.Info("versions: nothing is withheld any more")
	}
	p.core.SetRestrictions(held)
}
