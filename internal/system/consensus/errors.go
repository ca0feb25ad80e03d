package consensus

import (
	"errors"
	"fmt"
)

// NotLeaderError reports that the replica is not the leader, or is transferring its leadership.
type NotLeaderError struct {
	Leader ReplicaID // the leader as far as known; 0: unknown
}

// Error implements error.
func (e *NotLeaderError) Error() string { return "consensus: this replica does not lead its group" }

// InvalidMessageError reports a message, or a persisted log, that no replica can have written.
type InvalidMessageError struct{ Reason string }

// Error implements error.
func (e *InvalidMessageError) Error() string { return "consensus: " + e.Reason }

// InvalidMembershipError reports a membership that is malformed, or that the present one must not be changed to.
type InvalidMembershipError struct{ Reason string }

// Error implements error.
func (e *InvalidMembershipError) Error() string {
	return "consensus: membership not changed: " + e.Reason
}

// LearnerBehindError reports that a learner can't become a voter yet. The change may be tried again once the learner's log
// has caught up.
type LearnerBehindError struct {
	ID     ReplicaID
	Match  uint64 // index up to which the learner is known to hold the log
	Target uint64 // index that it has to reach within an election timeout
}

// Error implements error.
func (e *LearnerBehindError) Error() string {
	return fmt.Sprintf("consensus: replica %s holds the log up to %d and still has to catch up to %d; wait", e.ID.Hex(), e.Match,
		e.Target)
}

// ErrMembershipChangePending is returned by ChangeMembership until the preceding change is committed, and while leadership
// is being transferred. The change may be tried again later.
var ErrMembershipChangePending = errors.New("consensus: a change of membership is under way")

// DecodeError reports bytes that are not an encoding of this package: they come from another version or are corrupt.
type DecodeError struct {
	Field  string // the first malformed one
	Offset int    // of Field in bytes
}

// Error implements error.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("consensus: malformed %s at byte %d; check that all replicas run compatible versions", e.Field, e.Offset)
}
