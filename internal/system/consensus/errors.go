package consensus

import "fmt"

// NotLeaderError says that the replica does not lead; Leader is who does, 0 if that is not known.
type NotLeaderError struct{ Leader ReplicaID }

// Error says what happened.
func (e *NotLeaderError) Error() string { return "consensus: this replica does not lead its group" }

// InvalidMessageError says why a message, or a stored log, makes no sense.
type InvalidMessageError struct{ Reason string }

// Error says what happened.
func (e *InvalidMessageError) Error() string { return "consensus: " + e.Reason }

// InvalidMembershipError says that a change of membership is not allowed.
type InvalidMembershipError struct{ Reason string }

// Error says what happened.
func (e *InvalidMembershipError) Error() string {
	return "consensus: membership not changed: " + e.Reason
}

// LearnerBehindError says that a learner can't be made a voter yet: wait until its log has caught up.
type LearnerBehindError struct {
	ID            ReplicaID
	Match, Target uint64 // index that it surely holds, and one that it has to reach in time
}

// Error says what happened.
func (e *LearnerBehindError) Error() string {
	return fmt.Sprintf("consensus: replica %d holds the log up to %d and still has to catch up to %d; wait", e.ID, e.Match,
		e.Target)
}

// PendingMembershipChangeError says that a change of membership is under way.
type PendingMembershipChangeError struct{}

// Error says what happened.
func (e *PendingMembershipChangeError) Error() string {
	return "consensus: a change of membership is under way"
}

// DecodeError says that bytes are not what the package encodes. They come from another version or were spoilt.
type DecodeError struct {
	Field  string // was expected
	Offset int    // in bytes
}

// Error says what happened.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("consensus: no %s at byte %d; check that all replicas run versions that understand each other",
		e.Field, e.Offset)
}
