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

// ReportCall is the call by which a proxy reports to the agent of its machine, over loopback.
var ReportCall = rpc.Declare[feed.ProxyReport, feed.ProxyReportReply]("Proxy.Report")

// announcer tells the other machines of the proxy.
type announcer interface {
	SetFront(front string)
	SetServing(serving gossip.Serving)
}

// proxyMonitor is what the agent holds of the proxy, and passes on to the membership.
type proxyMonitor struct {
	log         *zap.Logger
	now         func() time.Duration
	firstReport chan struct{} // closed with the first report

	mutex        sync.Mutex
	tracker      proxystatus.Tracker
	announcer    announcer // nil until the agent is a member
	published    proxystatus.State
	timer        *time.Timer
	disconnected chan struct{} // closed when the last connection of the proxy ended
	connected    bool
}

func newProxyMonitor(log *zap.Logger, now func() time.Duration) *proxyMonitor {
	p := &proxyMonitor{log: log, now: now, firstReport: make(chan struct{}), disconnected: make(chan struct{})}
	close(p.disconnected)
	p.timer = time.AfterFunc(time.Hour, p.tick)
	p.timer.Stop()
	return p
}

// handleReport answers Proxy.Report.
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

func (p *proxyMonitor) tick() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.tracker.Tick(p.now())
	p.publish()
}

// setConnections takes how many connections the proxy has.
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

// disconnection is closed once the proxy has no connection.
func (p *proxyMonitor) disconnection() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.disconnected
}

// startAnnouncing has the announcer told from now on.
func (p *proxyMonitor) startAnnouncing(announcer announcer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.announcer = announcer
	p.publish()
}

// markStopping takes it that this machine's processes stop.
func (p *proxyMonitor) markStopping() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.tracker.MarkEnded()
	p.publish()
}

// state is what the members are told of the proxy.
func (p *proxyMonitor) state() proxystatus.State {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.published
}

// publish tells the members how the proxy is, and has the timer look again when a report is overdue.
func (p *proxyMonitor) publish() {
	state := p.tracker.State()
	if state != p.published {
		p.published = state
		p.log.Info("proxy", zap.Stringer("is", state))
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

func gossipServing(state proxystatus.State) gossip.Serving {
	switch state {
	case proxystatus.Serving:
		return gossip.ServingNow
	case proxystatus.Stopping, proxystatus.Ended:
		return gossip.Stopping
	}
	return gossip.Starting
}
