package consensus

import "time"

// leaseMarginDivisor makes a lease end a tenth of an election timeout early, for clocks of different rates.
const leaseMarginDivisor = 10

// inLease reports whether a leader may hold a lease that rests on this replica.
func (n *Node) inLease() bool { return n.role == Leader || n.now < n.refuseVotesUntil }

// roundStart returns a lower bound of the time at which a round's messages were sent, on this Node's clock; see
// startReadRound for why the number of a round is a time in nanoseconds.
func roundStart(round uint64) time.Duration { return time.Duration(round) }

// LeaseExpiry returns the time until which no other replica can be leader, provided that this is the Node's newest
// state; 0 if there is no such time. It rests on the followers: each one that replied to a round grants no vote to
// others within an election timeout after it received that round's message.
func (n *Node) LeaseExpiry() time.Duration {
	state := &n.leaderState
	if n.role != Leader || state.timeoutNowSent || state.confirmedRound == 0 {
		return 0
	}
	return roundStart(state.confirmedRound) + n.config.ElectionTimeout - n.config.ElectionTimeout/leaseMarginDivisor
}
