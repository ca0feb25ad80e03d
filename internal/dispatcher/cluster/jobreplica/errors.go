package jobreplica

import "fmt"

// NoMajorityError is returned if no majority of the voters is in reach, as far as this replica can tell, or if too much
// waits for one.
type NoMajorityError struct {
	Reachable int   // voters in contact within the ElectionTimeout, this one included
	Voters    int   // all voters
	SilentMS  int64 // since this replica last knew a leader
	RetryMS   int64 // when to try again
}

// Error names the voters in contact, and for how long there has been no leader.
func (e *NoMajorityError) Error() string {
	return fmt.Sprintf("job replica: no majority in reach: %d of %d voters in contact, no leader for %d ms",
		e.Reachable, e.Voters, e.SilentMS)
}

// Code returns "no_majority".
func (e *NoMajorityError) Code() string { return "no_majority" }

// Remedy says what an operator or a client can do.
func (e *NoMajorityError) Remedy() string {
	return "Come back after the wait. If it lasts, bring back the machines that hold copies or the network between them."
}

// NotReplicaError is returned at a member that holds no replica, and for messages of one. The member's code, which calls
// Propose, must pass the command on to a member that holds one; this package does not.
type NotReplicaError struct{}

// Error says that this member holds no replica.
func (e *NotReplicaError) Error() string { return "job replica: this member holds no replica" }

// Code returns "not_a_copy".
func (e *NotReplicaError) Code() string { return "not_a_copy" }

// Remedy says what an operator or a client can do.
func (e *NotReplicaError) Remedy() string { return "Nothing: the member passes on what it is asked." }

// StoppedError is returned by a replica that cannot go on. It neither votes nor answers until the member starts another
// incarnation.
type StoppedError struct {
	Reason string
	Cause  error
}

// Error names the reason and its cause.
func (e *StoppedError) Error() string {
	return fmt.Sprintf("job replica: this replica has stopped: %s: %v", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *StoppedError) Unwrap() error { return e.Cause }

// Code returns "copy_stopped".
func (e *StoppedError) Code() string { return "copy_stopped" }

// Remedy says what an operator or a client can do.
func (e *StoppedError) Remedy() string {
	return "Restart this dispatcher: it comes back as a new copy. If it stops again, keep its log and bring all to one version."
}

// CommandTooLongError is returned for a command longer than Options.MaxCommandBytes.
type CommandTooLongError struct{ Bytes, LimitBytes int }

// Error names the size and the limit.
func (e *CommandTooLongError) Error() string {
	return fmt.Sprintf("job replica: a command of %d bytes exceeds the limit of %d", e.Bytes, e.LimitBytes)
}

// Code returns "command_too_long".
func (e *CommandTooLongError) Code() string { return "command_too_long" }

// Remedy says what an operator or a client can do.
func (e *CommandTooLongError) Remedy() string {
	return "Send less data with the job, or a reference to where it lies."
}

// ReplacedError is the cause of a StoppedError after another member has replaced this incarnation: its state is outdated.
type ReplacedError struct {
	ID           uint64
	AppliedIndex uint64 // of the member that reported the replacement
}

// Error names the incarnation and since which index it is no replica.
func (e *ReplacedError) Error() string {
	return fmt.Sprintf("job replica: incarnation %d is no longer a replica as of index %d", e.ID, e.AppliedIndex)
}

// Code returns "replaced".
func (e *ReplacedError) Code() string { return "replaced" }

// Remedy says what an operator or a client can do.
func (e *ReplacedError) Remedy() string {
	return "Nothing: the member goes on without a copy and may be chosen again under a new life."
}
