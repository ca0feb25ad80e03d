// Package proxystatus derives what an agent announces of the proxy on its machine from the proxy's reports. It is a
// pure state machine: the caller passes in the time, and calls Tick when NextTick says so. It is not safe for
// concurrent use.
package proxystatus

import (
	"time"

	"cinderroad/internal/system/feed"
)

// State is what the agent announces of the proxy.
type State uint8

// The states of a proxy.
const (
	Starting State = iota // not ready, or no report for ReadyTimeout
	Serving               // reported ready less than ReadyTimeout ago
	Stopping              // reported that it is shutting down
	Ended                 // the machine's processes are shutting down; final
)

// States are all states, in order.
var States = [...]State{Starting, Serving, Stopping, Ended}

// String returns the name of the state, as logged and as the label of a metric.
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

// ReadyTimeout is how long a report that the proxy is ready is valid. The proxy reports every second, so that one report
// may be lost and another one late.
const ReadyTimeout = 2500 * time.Millisecond

// Tracker is the state of the proxy on the agent's machine. The zero value is a proxy that has not reported. Times are
// of any monotonic clock.
type Tracker struct {
	state    State
	front    string
	snapshot []byte
	readyAt  time.Duration // time of the last report that the proxy is ready
	reported bool
}

// State returns the current state.
func (t *Tracker) State() State { return t.state }

// Front returns the address at which clients reach the proxy, empty if it has not been reported.
func (t *Tracker) Front() string { return t.front }

// Reported reports whether the proxy has reported at all.
func (t *Tracker) Reported() bool { return t.reported }

// HandleReport records a report. The reply holds the snapshot that the proxy reported before it restarted, if the proxy
// is not ready and reports no snapshot itself.
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

// updateState sets the state by a report.
func (t *Tracker) updateState(now time.Duration, report *feed.ProxyReport) {
	switch {
	case t.state == Ended:
	case report.Stopping:
		t.state = Stopping
	case report.Ready:
		t.state = Serving
		t.readyAt = now
	default:
		t.state = Starting
	}
}

// MarkEnded records that all processes of the machine are shutting down.
func (t *Tracker) MarkEnded() { t.state = Ended }

// HandleDisconnect records that the proxy's process has ended.
func (t *Tracker) HandleDisconnect() {
	if t.state == Serving || t.state == Stopping {
		t.state = Starting
	}
}

// NextTick returns the time until Tick is due. due is false if no call is needed.
func (t *Tracker) NextTick(now time.Duration) (wait time.Duration, due bool) {
	if t.state != Serving {
		return 0, false
	}
	return max(0, t.readyAt+ReadyTimeout-now), true
}

// Tick expires the last report of a proxy that is ready.
func (t *Tracker) Tick(now time.Duration) {
	if t.state == Serving && now >= t.readyAt+ReadyTimeout {
		t.state = Starting
	}
}
