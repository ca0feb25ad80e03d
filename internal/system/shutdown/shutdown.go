// Package shutdown says when the programs of an edge machine end after the signal to stop, so that the agent outlives the
// proxy and both end before the platform kills them.
package shutdown

import "time"

// DefaultGracePeriod is the grace period that counts where the settings name none.
const DefaultGracePeriod = 8 * time.Second

const (
	maxMargin     = 500 * time.Millisecond // of the grace period that is left when the proxy's answers end
	marginDivisor = 12                     // the margin is one part in so many of the grace period, at most
)

// Schedule are counted from the signal to stop.
type Schedule struct {
	LastResponses time.Duration // the proxy answers what has no answer yet
	ProxyEnd      time.Duration // the proxy ends, whatever it has left
	AgentEnd      time.Duration // the agent ends, whether the proxy has or not
}

// Plan divides a grace period, from the signal to stop until the platform kills the processes.
func Plan(grace time.Duration) Schedule {
	if grace <= 0 {
		grace = DefaultGracePeriod
	}
	margin := min(maxMargin, grace/marginDivisor)
	return Schedule{LastResponses: grace - margin, ProxyEnd: grace - margin*3/4, AgentEnd: grace - margin/2}
}
