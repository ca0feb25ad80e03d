package server

import (
	"cinderroad/internal/dispatcher/cluster"
	"cinderroad/internal/dispatcher/cluster/auditlog"
	"cinderroad/internal/dispatcher/cluster/quota"
	"cinderroad/internal/shared/eventloop"
)

// fleetChange is what a reload would change of the fleet.
type fleetChange struct {
	options *cluster.Options
	socket  *eventloop.UDPSocket // a new address'
	book    *auditlog.Log        // a new ledger
}

// prepareFleet checks what a reload says of the fleet and opens an address that is new; nothing changes before takeFleet.
func (p *Server) prepareFleet(next *Config) (*fleetChange, error) {
	running := *next
	running.Name, running.brain = p.config.Name, p.config.brain // what needs a restart
	o, err := running.fleetOptions()
	if err != nil || o == nil {
		return &fleetChange{}, err
	}
	r := &fleetChange{options: o}
	if r.book, err = p.openLedger(next.Operator); err != nil {
		return nil, err
	}
	if p.fleet == nil || !p.fleet.SameBind(o) {
		if r.socket, err = cluster.Bind(p.loop, o.Bind); err != nil {
			r.drop()
			return nil, err
		}
	}
	return r, nil
}

// drop closes what was opened for a reload that is refused.
func (r *fleetChange) drop() {
	if r != nil && r.socket != nil {
		r.socket.Close()
	}
	if r != nil && r.book != nil {
		r.book.Close()
	}
}

// takeFleet carries a reload's change out: the fleet is joined, left, or joined anew.
func (p *Server) takeFleet(r *fleetChange) {
	o := r.options
	switch {
	case p.upgrade.left(): // the name is the next process's, which reads the files itself
		r.drop()
	case o == nil && p.fleet == nil:
	case o == nil:
		p.leaveFleet()
		p.closeLedger(true)
		p.dropVersions()
		p.setPlace(quota.Share{Instances: p.config.brain.Instances, Index: p.config.brain.Instance, Fraction: 1})
		p.log.Info("program: fleet switched off; places are as configured")
	case p.fleet == nil:
		p.joinFleet(o, r.socket, r.book)
	case p.fleet.SameIdentity(o):
		p.fleet.UpdateOptions(*o)
		other := o.Metadata.SettingsHash != p.facts.SettingsHash || o.Metadata.OperatorHash != p.facts.OperatorHash
		o.Metadata.ExcludedHash, o.Metadata.ExcludedAt = p.facts.ExcludedHash, p.facts.ExcludedAt
		if o.Metadata.OperatorAt = uint32(p.loop.Now()); o.Metadata.OperatorHash == p.facts.OperatorHash {
			o.Metadata.OperatorAt = p.facts.OperatorAt
		}
		p.facts = o.Metadata
		p.keepLedger(r.book, p.config.Operator)
		if other {
			p.record(auditlog.Entry{Kind: auditlog.SettingsChanged, Settings: o.Metadata.SettingsHash, Operator: o.Metadata.OperatorHash})
		}
	default:
		socket := p.fleet.Release()
		if !p.fleet.SameBind(o) {
			if socket != nil {
				socket.Close()
			}
			socket = r.socket
		}
		p.joinFleet(o, socket, r.book)
	}
}
