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

// proxy is what the agent holds of the proxy, and passes on to the membership.
type proxy struct {
	log   *zap.Logger
	now   func() time.Duration
	first chan struct{} // closed with the first report

	mutex     sync.Mutex
	machine   proxystatus.Machine
	announcer announcer // nil until the agent is a member
	told      proxystatus.State
	timer     *time.Timer
	gone      chan struct{} // closed when the last connection of the proxy ended
	connected bool
}

func newProxy(log *zap.Logger, now func() time.Duration) *proxy {
	p := &proxy{log: log, now: now, first: make(chan struct{}), gone: make(chan struct{})}
	close(p.gone)
	p.timer = time.AfterFunc(time.Hour, p.tick)
	p.timer.Stop()
	return p
}

// report answers Proxy.Report.
func (p *proxy) report(_ context.Context, report *feed.ProxyReport) (*feed.ProxyReportReply, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.machine.Reported() {
		defer close(p.first)
	}
	reply := p.machine.Report(p.now(), report)
	p.publish()
	return &reply, nil
}

func (p *proxy) tick() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.machine.Tick(p.now())
	p.publish()
}

// connections takes how many connections the proxy has.
func (p *proxy) connections(open int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	connected := open > 0
	if connected == p.connected {
		return
	}
	p.connected = connected
	if connected {
		p.gone = make(chan struct{})
		return
	}
	close(p.gone)
	p.machine.Gone()
	p.publish()
}

// left is closed once the proxy has no connection.
func (p *proxy) left() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.gone
}

// join has the announcer told from now on.
func (p *proxy) join(announcer announcer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.announcer = announcer
	p.publish()
}

// end takes it that this machine's processes stop.
func (p *proxy) end() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.machine.End()
	p.publish()
}

// state is what the members are told of the proxy.
func (p *proxy) state() proxystatus.State {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.told
}

// publish tells the members how the proxy is, and has the timer look again when a report is overdue.
func (p *proxy) publish() {
	state := p.machine.State()
	if state != p.told {
		p.told = state
		p.log.Info("proxy", zap.Stringer("is", state))
	}
	if wait, due := p.machine.Next(p.now()); due {
		p.timer.Reset(wait)
	} else {
		p.timer.Stop()
	}
	if p.announcer == nil {
		return
	}
	if front := p.machine.Front(); front != "" {
		p.announcer.SetFront(front)
	}
	p.announcer.SetServing(servingOf(state))
}

func servingOf(state proxystatus.State) gossip.Serving {
	switch state {
	case proxystatus.Serving:
		return gossip.ServingNow
	case proxystatus.Stopping, proxystatus.Ended:
		return gossip.Stopping
	}
	return gossip.Starting
}
