// Package reports decides what the other machines are told of the proxy beside an agent, by the proxy's reports. It is
// pure.
package proxystatus

import (
	"time"

	"cinderroad/internal/system/feed"
)

// State is what is told of the proxy.
type State uint8

// The states.
const (
	Starting State = iota // it is not ready, or has not reported for long
	Serving               // it said a short while ago that it is ready
	Stopping              // it said that it stops
	Ended                 // this machine's processes stop: nothing changes any more
)

// States are all of them.
var States = [...]State{Starting, Serving, Stopping, Ended}

// String names the state.
func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Serving:
		return "serving"
	case Stopping:
		return "stopping"
	case Ended:
		return "ended"
	}
	return "unknown"
}

// ReadyFor is how long a report that the proxy is ready counts.
const ReadyFor = 2500 * time.Millisecond

// Machine is what the agent holds of its proxy. Times are of any steady clock.
type Machine struct {
	state    State
	front    string
	learnt   []byte
	readyAt  time.Duration // of the last report that the proxy is ready
	reported bool
}

// State is the current state.
func (m *Machine) State() State { return m.state }

// Front is the address that the proxy said clients use; empty: it has not.
func (m *Machine) Front() string { return m.front }

// Reported says whether any report came.
func (m *Machine) Reported() bool { return m.reported }

// Report takes a report and returns what the proxy is told: what its earlier life learnt, where it is not ready and sends
// nothing of that kind.
func (m *Machine) Report(now time.Duration, report *feed.ProxyReport) feed.ProxyReportReply {
	m.reported = true
	if report.Front != "" {
		m.front = report.Front
	}
	m.take(now, report)
	if len(report.Learnt) > 0 {
		m.learnt = report.Learnt
	}
	if report.Ready || len(report.Learnt) > 0 {
		return feed.ProxyReportReply{}
	}
	return feed.ProxyReportReply{Learnt: m.learnt}
}

func (m *Machine) take(now time.Duration, report *feed.ProxyReport) {
	switch {
	case m.state == Ended:
	case report.Stopping:
		m.stop()
	case report.Ready:
		m.serve(now)
	default:
		m.start()
	}
}

// serve takes it that the proxy is ready.
func (m *Machine) serve(now time.Duration) {
	m.state = Serving
	m.readyAt = now
}

// start takes it that the proxy is not ready, or not there.
func (m *Machine) start() { m.state = Starting }

// stop takes it that the proxy stops.
func (m *Machine) stop() { m.state = Stopping }

// End takes it that all of this machine's processes stop.
func (m *Machine) End() { m.state = Ended }

// Gone takes it that the proxy's process has ended.
func (m *Machine) Gone() {
	if m.state == Serving || m.state == Stopping {
		m.start()
	}
}

// Next is how long until Tick is due; due is false where it need not be called.
func (m *Machine) Next(now time.Duration) (wait time.Duration, due bool) {
	if m.state != Serving {
		return 0, false
	}
	return max(0, m.readyAt+ReadyFor-now), true
}

// Tick takes it that a proxy that said nothing for long is not ready.
func (m *Machine) Tick(now time.Duration) {
	if m.state == Serving && now >= m.readyAt+ReadyFor {
		m.start()
	}
}
