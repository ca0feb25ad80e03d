package agent

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/agent/proxystatus"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/gossip"
	"cinderroad/internal/system/rpc"
)

// reportMethod is the call with which a proxy reports its state to the agent of its machine, over loopback.
var reportMethod = rpc.Declare[feed.ProxyReport, feed.ProxyReportReply]("Proxy.Report")

// announcer announces the proxy's state to the other members.
type announcer interface {
	SetFront(front string)
	SetServing(serving gossip.Serving)
}

// proxyMonitor tracks the proxy of the agent's machine and announces its state to the other members.
type proxyMonitor struct {
	log         *zap.Logger
	now         func() time.Duration
	firstReport chan struct{} // closed by the first report

	mutex        sync.Mutex
	tracker      proxystatus.Tracker
	announcer    announcer         // nil until the agent is a member
	published    proxystatus.State // last announced
	timer        *time.Timer       // calls tick
	disconnected chan struct{}     // closed while the proxy has no connection
	connected    bool
}

func newProxyMonitor(log *zap.Logger, now func() time.Duration) *proxyMonitor {
	p := &proxyMonitor{
		log:          log,
		now:          now,
		firstReport:  make(chan struct{}),
		disconnected: make(chan struct{}),
	}
	close(p.disconnected)
	p.timer = time.AfterFunc(time.Hour, p.tick) // stopped at once: an AfterFunc timer cannot be created without being started
	p.timer.Stop()
	return p
}

// handleReport serves Proxy.Report.
func (p *proxyMonitor) handleReport(_ context.Context, report *feed.ProxyReport) (*feed.ProxyReportReply, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.tracker.Reported() {
		defer close(p.firstReport)
	}
	reply := p.tracker.HandleReport(p.now(), report)
	p.publish()
	return &reply, nil
}

// tick expires the last report; the timer calls it.
func (p *proxyMonitor) tick() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.tracker.Tick(p.now())
	p.publish()
}

// setConnections records the number of the proxy's connections.
func (p *proxyMonitor) setConnections(open int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	connected := open > 0
	if connected == p.connected {
		return
	}
	p.connected = connected
	if connected {
		p.disconnected = make(chan struct{})
		return
	}
	close(p.disconnected)
	p.tracker.HandleDisconnect()
	p.publish()
}

// disconnection returns a channel that is closed once the proxy has no connection.
func (p *proxyMonitor) disconnection() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.disconnected
}

// startAnnouncing sets the announcer, once the agent is a member.
func (p *proxyMonitor) startAnnouncing(announcer announcer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.announcer = announcer
	p.publish()
}

// markStopping records that all processes of the machine are shutting down.
func (p *proxyMonitor) markStopping() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.tracker.MarkEnded()
	p.publish()
}

// state returns the state that was last published.
func (p *proxyMonitor) state() proxystatus.State {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.published
}

// publish announces the proxy's state and schedules the next tick. The caller holds the mutex.
func (p *proxyMonitor) publish() {
	state := p.tracker.State()
	if state != p.published {
		p.published = state
		p.log.Info("proxy state changed", zap.Stringer("state", state))
	}
	if wait, due := p.tracker.NextTick(p.now()); due {
		p.timer.Reset(wait)
	} else {
		p.timer.Stop()
	}
	if p.announcer == nil {
		return
	}
	if front := p.tracker.Front(); front != "" {
		p.announcer.SetFront(front)
	}
	p.announcer.SetServing(gossipServing(state))
}

// gossipServing returns what the other members learn of a state.
func gossipServing(state proxystatus.State) gossip.Serving {
	switch state {
	case proxystatus.Serving:
		return gossip.ServingNow
	case proxystatus.Stopping, proxystatus.Ended:
		return gossip.Stopping
	}
	return gossip.Starting
}
