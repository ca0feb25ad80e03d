package proxy

import (
	"bytes"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/placement"
	"cinderroad/internal/system/proxy/agentclient"
	"cinderroad/internal/system/routetable"
)

const (
	reportInterval     = time.Second
	reportsPerSnapshot = 5           // reports
	settleDelay        = time.Second // after the configuration is known, for partitions that may have nothing to tell
)

// Agent is told what the proxy is and has learnt.
type Agent interface {
	Report(feed.ProxyReport)
}

// controlState is what the proxy holds of the control plane.
type controlState struct {
	agent        Agent
	zones        map[string]string // region of each zone
	table        *routetable.Table
	version      uint64
	proxies      int // as told last
	reportCount  int
	lastSnapshot []byte // what the agent was last told to be learnt
}

// FollowAgent has the proxy report to the agent; zones names the region of each zone. What the agent says comes by Take.
func (p *Proxy) FollowAgent(agent Agent, zones map[string]string) {
	p.control = controlState{agent: agent, zones: zones, table: routetable.New()}
	p.reportPeriodically()
}

// ApplyUpdate puts what changed in the control state in force. It belongs to the loop's goroutine.
func (p *Proxy) ApplyUpdate(update agentclient.Update) {
	for _, name := range update.Removed {
		p.control.table.Remove(name)
		p.splitter.remove(name)
	}
	for _, route := range update.Routes {
		p.control.table.Upsert(route)
	}
	if update.Limits != nil {
		p.SetLimits(*update.Limits)
	}
	if update.Services != nil {
		p.SetServices(*update.Services)
	}
	if update.Evacuated != nil {
		p.SetEvacuated(*update.Evacuated)
	}
	switch {
	case update.Peers != nil:
		p.applyPeers(*update.Peers)
	case update.Proxies > 0 && update.Proxies != p.control.proxies && !p.peers.peersKnown: // the names say the number, too
		p.control.proxies = update.Proxies
		p.SetProxies(update.Proxies)
	}
	if update.Runners != nil {
		p.applyRunners(*update.Runners)
	}
	if update.Version > 0 {
		p.SetRoutes(p.control.table)
	}
	if update.Version > 0 && p.control.version == 0 {
		p.runAt(p.now()+settleDelay, func() { p.markRunnersKnown(true) })
	}
	p.markRunnersKnown(update.Complete)
	if update.Version != p.control.version {
		p.control.version = update.Version
		p.log.Info("configuration in force", zap.Uint64("version", update.Version), zap.Int("routes", p.control.table.Len()))
	}
}

// markRunnersKnown takes it that the runners are known, as far as they ever are.
func (p *Proxy) markRunnersKnown(known bool) {
	if known && !p.runnersKnown {
		p.runnersKnown = true
		p.reportToAgent(nil)
	}
}

// applyRunners replaces the set of runners.
func (p *Proxy) applyRunners(listed []agentclient.Runner) {
	now := p.now()
	runners := make([]placement.Runner, 0, len(listed))
	for i := range listed {
		runners = append(runners, p.placementRunner(now, &listed[i]))
	}
	p.setRunners(runners)
}

func (p *Proxy) placementRunner(now time.Duration, listed *agentclient.Runner) placement.Runner {
	known := placement.Runner{ID: listed.ID, Service: listed.Service, Address: listed.Address, Zone: listed.Zone,
		Region:   p.control.zones[listed.Zone],
		Capacity: listed.Capacity, Draining: listed.Draining}
	if !listed.ColdUntil.IsZero() {
		known.SlowStartUntil = max(0, now+time.Until(listed.ColdUntil))
	}
	if !listed.GoneAt.IsZero() {
		known.TerminatesAt = max(1, now+time.Until(listed.GoneAt))
	}
	for i := range listed.Models {
		known.Models = append(known.Models, listed.Models[i].Name)
	}
	return known
}

// RestoreSnapshot takes what an earlier life of the proxy had learnt.
func (p *Proxy) RestoreSnapshot(learnt []byte) {
	if err := p.placer.Restore(p.now(), learnt); err != nil {
		p.log.Warn("what the proxy had learnt cannot be read", zap.Error(err))
	}
}

// reportPeriodically tells the agent what the proxy is, now and again, and now and then what it has learnt.
func (p *Proxy) reportPeriodically() {
	var learnt []byte
	if p.control.reportCount++; p.control.reportCount%reportsPerSnapshot == 0 {
		if learnt = p.placer.Snapshot(); bytes.Equal(learnt, p.control.lastSnapshot) {
			learnt = nil
		} else {
			p.control.lastSnapshot = learnt
		}
	}
	p.reportToAgent(learnt)
	p.runAt(p.now()+reportInterval, p.reportPeriodically)
}

// reportToAgent tells the agent what the proxy is.
func (p *Proxy) reportToAgent(learnt []byte) {
	if p.control.agent == nil {
		return
	}
	report := feed.ProxyReport{Ready: p.Ready(), Stopping: p.shutdown.active, Front: p.options.FrontAddr.String(), Learnt: learnt}
	p.control.agent.Report(report)
}
