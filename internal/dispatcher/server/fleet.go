package server

import (
	"encoding/json"
	"fmt"
	"runtime/debug"
	"sync"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"cinderroad/internal/dispatcher/cluster"
	"cinderroad/internal/dispatcher/cluster/auditlog"
	"cinderroad/internal/dispatcher/cluster/quota"
	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/membership"
	"cinderroad/loadbalancer"
)

// factsEvery is how often what is told of this dispatcher is looked at, in seconds.
const factsEvery = 0.1

// version is the program's, short: what the fleet shows of each member.
var version = sync.OnceValue(func() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= 12 {
			version = s.Value[:12]
		}
	}
	return version[:min(len(version), 40)]
})

// fleetOptions are what the files say of the fleet; nil is none.
func (c *Config) fleetOptions() (*cluster.Options, error) {
	f := c.Operator.Cluster
	if f == nil {
		return nil, nil
	}
	if c.Name == "" || len(c.Name) > membership.MaxNameLength {
		return nil, fmt.Errorf("config: name: %q: a member of a fleet needs one of 1 to %d bytes", c.Name, membership.MaxNameLength)
	}
	zone := ""
	if z := c.brain.Zone; z < len(c.names.FailureDomains) {
		zone = c.names.FailureDomains[z]
	}
	return &cluster.Options{Cluster: f.Name, Name: c.Name, Bind: f.ParsedBind, Advertise: f.ParsedAdvertise, Seeds: f.ParsedSeeds,
		ProbeInterval: f.ProbeIntervalSeconds, DeadTTL: f.RetentionSeconds, LeaseTerm: f.LeaseSeconds, RandomSeed: c.seed, Metadata: membership.Metadata{Zone: zone[:min(len(zone), 48)], Version: version(), Console: c.Console,
			SettingsHash: hash(common(c.Settings)), OperatorHash: hash([]byte(c.Operator.Common()))},
		Quota: quota.Config{Instances: c.brain.Instances, Index: c.brain.Instance, ProbeInterval: f.ProbeIntervalSeconds, LoadDecay: c.brain.OverloadWindow, AllMembers: *f.Complete}}, nil
}

// startFleet has this dispatcher be a member, where the operator's file says so.
func (p *Server) startFleet() error {
	o, err := p.config.fleetOptions()
	if err != nil || o == nil {
		return err
	}
	socket, err := cluster.Bind(p.loop, o.Bind)
	if err != nil {
		return err
	}
	book, err := p.openLedger(p.config.Operator)
	if err != nil {
		return err
	}
	p.joinFleet(o, socket, book)
	return nil
}

func (p *Server) joinFleet(o *cluster.Options, socket *eventloop.UDPSocket, book *auditlog.Log) {
	p.keepVersions()
	o.Versions, o.OnPause, o.OnLease, o.OnConverged = p.board, p.slept, p.leased, p.settled
	o.Metadata.Serving, o.Metadata.OperatorAt = p.standing(), uint32(p.loop.Now())
	p.facts = o.Metadata
	p.keepLedger(book, p.config.Operator)
	p.fleet = cluster.Start(p.loop, p.log, *o, socket, p.setPlace)
	if !p.factsOn {
		p.factsOn = true
		p.tellFacts()
	}
}

// common is what settings say but for the member's own place, so that members that are set alike show it.
func common(settings json.RawMessage) []byte {
	var all map[string]json.RawMessage
	if json.Unmarshal(settings, &all) != nil {
		return settings
	}
	delete(all, "me")
	delete(all, "zone")
	out, err := json.Marshal(all)
	if err != nil {
		return settings
	}
	return canonical(out)
}

// hash is a short mark of a text.
func hash(text []byte) string { return fmt.Sprintf("%08x", uint32(xxhash.Sum64(text))) }

// setPlace has all who count the dispatchers know their number.
func (p *Server) setPlace(place quota.Share) {
	if err := p.core.SetInstanceShare(loadbalancer.InstanceShare{Instances: place.Instances, Instance: place.Index, BudgetShare: place.Fraction, InstanceKeys: place.Keys}); err != nil {
		p.log.Error("program: place not taken", zap.Error(err))
		return
	}
	p.director.Instances = place.Instances
}

// standing is how this dispatcher serves, for the others to see.
func (p *Server) standing() string {
	switch {
	case p.stopping || p.upgrade != nil && p.upgrade.left():
		return "stopping"
	case !p.serving:
		return "starting"
	case p.front.EvacuatedSince() > 0:
		return "evacuated"
	case p.unleased():
		return "out of lease"
	}
	return "serving"
}

// tellFacts has the fleet know how this dispatcher serves. One that is evacuated leaves once it has nothing out any more,
// and joins again when it is called back.
func (p *Server) tellFacts() {
	if p.fleet == nil {
		p.factsOn = false
		return
	}
	p.facts.Serving = p.standing()
	if out := p.excluded(); out != p.facts.ExcludedHash {
		p.facts.ExcludedHash, p.facts.ExcludedAt = out, uint32(p.loop.Now())
		p.record(auditlog.Entry{Kind: auditlog.ExclusionsChanged, Digest: out, Members: len(p.core.Exclusions())})
	}
	p.fleet.SetMetadata(p.facts)
	p.tendLedger()
	if out := p.core.Counts(); p.front.EvacuatedSince() > 0 && out.OpenRequests == 0 && out.OpenAttempts == 0 {
		if !p.fleetLeft {
			p.fleetLeft = true
			p.fleet.Leave()
		}
	} else if p.fleetLeft && p.front.EvacuatedSince() == 0 {
		p.fleetLeft = false
		p.fleet.Rejoin()
	}
	p.loop.At(p.loop.Now()+factsEvery, p.tellFacts)
}

// leaveFleet says that this dispatcher has stopped: it is called when nothing is out any more.
func (p *Server) leaveFleet() {
	if p.fleet != nil {
		p.fleet.Close()
		p.fleet = nil
	}
}

// yieldFleet leaves the name to the process that takes this one's place; resumeFleet takes it back.
func (p *Server) yieldFleet() {
	if p.fleet != nil {
		p.fleet.Yield()
	}
}

func (p *Server) resumeFleet() {
	if p.fleet != nil {
		p.fleet.Resume()
	}
}
