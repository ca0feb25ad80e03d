// Package shutdown schedules the end of the programs of an edge machine after the signal to stop, so that the agent
// outlives the proxy and both end before the platform kills them.
package shutdown

import "time"

// DefaultGracePeriod is the grace period if the settings name none.
const DefaultGracePeriod = 8 * time.Second

const (
	maxMargin     = 500 * time.Millisecond // greatest time left of the grace period after LastResponses
	marginDivisor = 12                     // the margin is at most the grace period divided by this
)

// GracePeriodOrDefault returns a grace period as the settings name it, or DefaultGracePeriod if it is 0 or less.
func GracePeriodOrDefault(configured time.Duration) time.Duration {
	if configured <= 0 {
		return DefaultGracePeriod
	}
	return configured
}

// Schedule holds the times at which the programs end, counted from the signal to stop. They are in ascending order.
type Schedule struct {
	LastResponses time.Duration // the proxy answers every request that is still pending
	ProxyEnd      time.Duration // the proxy ends, whatever is left
	AgentEnd      time.Duration // the agent ends, whether or not the proxy has ended
}

// Plan divides a grace period, which begins with the signal to stop and ends when the platform kills the processes. A
// grace period of 0 or less counts as DefaultGracePeriod. Of the margin at its end, the first quarter is for the last
// responses on their way to clients, the second for the agent to see the proxy's end; the other half is a reserve before the kill.
func Plan(grace time.Duration) Schedule {
	grace = GracePeriodOrDefault(grace)
	margin := min(maxMargin, grace/marginDivisor)
	return Schedule{
		LastResponses: grace - margin,
		ProxyEnd:      grace - margin*3/4,
		AgentEnd:      grace - margin/2,
	}
}
