package consensus

import "time"

// leaseMarginDivisor is the part of an election time by which a lease ends early, for clocks that differ in rate.
const leaseMarginDivisor = 10

// inLease tells whether there may be a leader whose lease rests on this replica.
func (n *Node) inLease() bool { return n.role == Leader || n.now < n.refuseVotesUntil }

// LeaseExpiry is until when no other replica can be leader, 0 if that is not sure; see Status.LeaseExpiry. Each follower that
// answered a round holds to this leader for an election time after it got that round's message.
func (n *Node) LeaseExpiry() time.Duration {
	state := &n.leaderState
	if n.role != Leader || state.timeoutNowSent || state.confirmedRound == 0 {
		return 0
	}
	return time.Duration(state.confirmedRound) + n.config.ElectionTimeout - n.config.ElectionTimeout/leaseMarginDivisor
}
