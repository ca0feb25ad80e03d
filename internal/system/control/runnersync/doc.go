// Package runnersync keeps the runner partitions of the control state equal to the platform's list of runners.
//
// One control machine polls the list: the one that holds the leader lease of partition 0. While partition 0 has no leader,
// each runner partition is synchronized by the machine that leads it, so that no partition waits for another one's leader. Two
// machines may then write the same partition for a moment; each write names the state that it was computed from
// (state.WriteRunners.ExpectedRevision) and fails if that has changed.
//
// The platform prices calls and limits their rate. A Syncer polls often while the list changes and less often while it
// does not, never above its share of the rate, and never without a lease (see CheckLease).
//
// A list that fails changes nothing: what is known stays in force. A list that is implausible deletes runners only once
// the next list agrees.
package runnersync
