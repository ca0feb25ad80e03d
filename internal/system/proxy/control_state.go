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
	settleDelay        = time.Second // after the first configuration, for partitions that may have no runners to announce
)

// Agent receives the proxy's status and the snapshots of what it has learned.
type Agent interface {
	Report(feed.ProxyReport)
}

// controlState is the part of the control plane's state that the proxy keeps.
type controlState struct {
	agent        Agent
	zones        map[string]string // region by zone
	table        *routetable.Table
	version      uint64
	proxyCount   int // last announced number of proxies, this one included
	reportCount  int
	lastSnapshot []byte // last snapshot sent to the agent
}

// FollowAgent starts the periodic reports to the agent; zones maps each zone to its region. Updates from the agent
// arrive through ApplyUpdate.
func (p *Proxy) FollowAgent(agent Agent, zones map[string]string) {
	p.control = controlState{agent: agent, zones: zones, table: routetable.New()}
	p.reportPeriodically()
}

// ApplyUpdate puts a change of the control state into force. Only the loop's goroutine may call it.
func (p *Proxy) ApplyUpdate(update agentclient.Update) {
	for _, name := range update.RemovedRoutes {
		p.control.table.Remove(name)
		p.splitter.remove(name)
	}
	for _, route := range update.Routes {
		p.control.table.Upsert(route)
	}
	if len(update.Routes)+len(update.RemovedRoutes) > 0 {
		p.placer.UpdateRoutes(p.now(), update.Routes, update.RemovedRoutes)
	}
	if update.Limits != nil {
		p.SetLimits(*update.Limits)
	}
	if update.Services != nil {
		p.SetServices(*update.Services)
	}
	if update.EvacuatedZones != nil {
		p.SetEvacuated(*update.EvacuatedZones)
	}
	if update.Peers != nil {
		p.applyPeers(*update.Peers)
	} else {
		p.applyProxyCount(update.ProxyCount)
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
		p.log.Info("configuration applied", zap.Uint64("version", update.Version), zap.Int("routes", p.control.table.Len()))
	}
}

// applyProxyCount sets the number of proxies; 0: not known. It has no effect once a peer list, which implies the number,
// was received.
func (p *Proxy) applyProxyCount(count int) {
	if count <= 0 || count == p.control.proxyCount || p.peers.peersKnown {
		return
	}
	p.control.proxyCount = count
	p.SetProxies(count)
}

// markRunnersKnown records that the runners are known as completely as they will be, which the proxy's readiness
// depends on.
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

// placementRunner converts a runner of the feed; its times become those of the proxy's clock.
func (p *Proxy) placementRunner(now time.Duration, listed *agentclient.Runner) placement.Runner {
	known := placement.Runner{
		ID:       listed.ID,
		Service:  listed.Service,
		Address:  listed.Address,
		Zone:     listed.Zone,
		Region:   p.control.zones[listed.Zone],
		Capacity: listed.Capacity,
		Draining: listed.Draining,
	}
	if !listed.SlowStartUntil.IsZero() {
		known.SlowStartUntil = max(0, now+time.Until(listed.SlowStartUntil))
	}
	if !listed.TerminatesAt.IsZero() {
		known.TerminatesAt = max(1, now+time.Until(listed.TerminatesAt))
	}
	for i := range listed.Models {
		known.Models = append(known.Models, listed.Models[i].Name)
	}
	return known
}

// RestoreSnapshot loads what a previous incarnation of the proxy had learned.
func (p *Proxy) RestoreSnapshot(snapshot []byte) {
	if err := p.placer.Restore(p.now(), snapshot); err != nil {
		p.log.Warn("cannot decode placement snapshot, starting without it", zap.Error(err))
	}
}

// reportPeriodically sends the proxy's status to the agent every reportInterval, and every reportsPerSnapshot reports a
// snapshot if it has changed.
func (p *Proxy) reportPeriodically() {
	p.control.reportCount++
	var snapshot []byte
	if p.control.reportCount%reportsPerSnapshot == 0 {
		snapshot = p.changedSnapshot()
	}
	p.reportToAgent(snapshot)
	p.runAt(p.now()+reportInterval, p.reportPeriodically)
}

// changedSnapshot returns a snapshot of the placer, nil if it is the same as the last one.
func (p *Proxy) changedSnapshot() []byte {
	snapshot := p.placer.Snapshot()
	if bytes.Equal(snapshot, p.control.lastSnapshot) {
		return nil
	}
	p.control.lastSnapshot = snapshot
	return snapshot
}

// reportToAgent sends the proxy's status with a snapshot of the placer; an empty one leaves the agent's copy as it is.
func (p *Proxy) reportToAgent(snapshot []byte) {
	if p.control.agent == nil {
		return
	}
	report := feed.ProxyReport{
		Ready:    p.Ready(),
		Stopping: p.shutdown.active,
		Front:    p.options.FrontAddr.String(),
		Learnt:   snapshot,
	}
	p.control.agent.Report(report)
}
