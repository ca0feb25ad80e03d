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

// ReadyTimeout is how long a report that the proxy is ready counts.
const ReadyTimeout = 2500 * time.Millisecond

// Tracker is what the agent holds of its proxy. Times are of any steady clock.
type Tracker struct {
	state    State
	front    string
	snapshot []byte
	readyAt  time.Duration // of the last report that the proxy is ready
	reported bool
}

// State is the current state.
func (t *Tracker) State() State { return t.state }

// Front is the address that the proxy said clients use; empty: it has not.
func (t *Tracker) Front() string { return t.front }

// Reported says whether any report came.
func (t *Tracker) Reported() bool { return t.reported }

// HandleReport takes a report and returns what the proxy is told: what its earlier life learnt, where it is not ready and sends
// nothing of that kind.
func (t *Tracker) HandleReport(now time.Duration, report *feed.ProxyReport) feed.ProxyReportReply {
	t.reported = true
	if report.Front != "" {
		t.front = report.Front
	}
	t.updateState(now, report)
	if len(report.Learnt) > 0 {
		t.snapshot = report.Learnt
	}
	if report.Ready || len(report.Learnt) > 0 {
		return feed.ProxyReportReply{}
	}
	return feed.ProxyReportReply{Learnt: t.snapshot}
}

func (t *Tracker) updateState(now time.Duration, report *feed.ProxyReport) {
	switch {
	case t.state == Ended:
	case report.Stopping:
		t.stop()
	case report.Ready:
		t.serve(now)
	default:
		t.start()
	}
}

// serve takes it that the proxy is ready.
func (t *Tracker) serve(now time.Duration) {
	t.state = Serving
	t.readyAt = now
}

// start takes it that the proxy is not ready, or not there.
func (t *Tracker) start() { t.state = Starting }

// stop takes it that the proxy stops.
func (t *Tracker) stop() { t.state = Stopping }

// MarkEnded takes it that all of this machine's processes stop.
func (t *Tracker) MarkEnded() { t.state = Ended }

// HandleDisconnect takes it that the proxy's process has ended.
func (t *Tracker) HandleDisconnect() {
	if t.state == Serving || t.state == Stopping {
		t.start()
	}
}

// NextTick is how long until Tick is due; due is false where it need not be called.
func (t *Tracker) NextTick(now time.Duration) (wait time.Duration, due bool) {
	if t.state != Serving {
		return 0, false
	}
	return max(0, t.readyAt+ReadyTimeout-now), true
}

// Tick takes it that a proxy that said nothing for long is not ready.
func (t *Tracker) Tick(now time.Duration) {
	if t.state == Serving && now >= t.readyAt+ReadyTimeout {
		t.start()
	}
}
