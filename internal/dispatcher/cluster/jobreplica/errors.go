package jobreplica

import "fmt"

// NoMajorityError is that no majority of the copies is in reach, as far as this one can tell.
type NoMajorityError struct {
	Reachable, Voters int   // copies heard of lately, this one among them; of so many
	SilentMS          int64 // since this one last knew of a leader
	RetryMS           int64
}

func (e *NoMajorityError) Error() string {
	return fmt.Sprintf("copies: no majority in reach: %d of %d heard, none has led for %d ms", e.Reachable, e.Voters, e.SilentMS)
}

// Code is "no_majority".
func (e *NoMajorityError) Code() string { return "no_majority" }

// Remedy says what helps.
func (e *NoMajorityError) Remedy() string {
	return "Come back after the wait. If it lasts, bring back the machines that hold copies or the network between them."
}

// NotReplicaError is that this member holds no copy, and has to ask one that does.
type NotReplicaError struct{}

func (e *NotReplicaError) Error() string { return "copies: this member holds no copy" }

// Code is "not_a_copy".
func (e *NotReplicaError) Code() string { return "not_a_copy" }

// Remedy says what helps.
func (e *NotReplicaError) Remedy() string { return "Nothing: the member passes on what it is asked." }

// StoppedError is that this copy found something that it cannot go on from. It votes and answers no more until it begins another life.
type StoppedError struct {
	Reason string
	Cause  error
}

func (e *StoppedError) Error() string {
	return fmt.Sprintf("copies: this copy has stopped: %s: %v", e.Reason, e.Cause)
}

// Unwrap is the cause.
func (e *StoppedError) Unwrap() error { return e.Cause }

// Code is "copy_stopped".
func (e *StoppedError) Code() string { return "copy_stopped" }

// Remedy says what helps.
func (e *StoppedError) Remedy() string {
	return "Restart this dispatcher: it comes back as a new copy. If it stops again, keep its log and bring all to one version."
}

// CommandTooLongError is a command longer than a page of the log holds.
type CommandTooLongError struct{ Bytes, LimitBytes int }

func (e *CommandTooLongError) Error() string {
	return fmt.Sprintf("copies: a command of %d bytes; %d at most", e.Bytes, e.LimitBytes)
}

// Code is "command_too_long".
func (e *CommandTooLongError) Code() string { return "command_too_long" }

// Remedy says what helps.
func (e *CommandTooLongError) Remedy() string {
	return "Send less data with the job, or a reference to where it lies."
}

// ReplacedError is that another life holds the copy that this one held: what it knew is old.
type ReplacedError struct {
	ID           uint64
	AppliedIndex uint64 // of the log, at whoever told it
}

func (e *ReplacedError) Error() string {
	return fmt.Sprintf("copies: life %d is no copy any more as of %d", e.ID, e.AppliedIndex)
}

// Code is "replaced".
func (e *ReplacedError) Code() string { return "replaced" }

// Remedy says what helps.
func (e *ReplacedError) Remedy() string {
	return "Nothing: the member goes on without a copy and may be chosen again under a new life."
}
