package jobreplica

import "fmt"

// NoMajority is that no majority of the copies is in reach, as far as this one can tell.
type NoMajority struct {
	Heard, Copies int   // copies heard of lately, this one among them; of so many
	SilentMS      int64 // since this one last knew of a leader
	RetryMS       int64
}

func (e *NoMajority) Error() string {
	return fmt.Sprintf("copies: no majority in reach: %d of %d heard, none has led for %d ms", e.Heard, e.Copies, e.SilentMS)
}

// Code is "no_majority".
func (e *NoMajority) Code() string { return "no_majority" }

// Remedy says what helps.
func (e *NoMajority) Remedy() string {
	return "Come back after the wait. If it lasts, bring back the machines that hold copies or the network between them."
}

// NotACopy is that this member holds no copy, and has to ask one that does.
type NotACopy struct{}

func (e *NotACopy) Error() string { return "copies: this member holds no copy" }

// Code is "not_a_copy".
func (e *NotACopy) Code() string { return "not_a_copy" }

// Remedy says what helps.
func (e *NotACopy) Remedy() string { return "Nothing: the member passes on what it is asked." }

// Stopped is that this copy found something that it cannot go on from. It votes and answers no more until it begins another life.
type Stopped struct {
	Why   string
	Cause error
}

func (e *Stopped) Error() string {
	return fmt.Sprintf("copies: this copy has stopped: %s: %v", e.Why, e.Cause)
}

// Unwrap is the cause.
func (e *Stopped) Unwrap() error { return e.Cause }

// Code is "copy_stopped".
func (e *Stopped) Code() string { return "copy_stopped" }

// Remedy says what helps.
func (e *Stopped) Remedy() string {
	return "Restart this dispatcher: it comes back as a new copy. If it stops again, keep its log and bring all to one version."
}

// TooFar is a command longer than a page of the log holds.
type TooFar struct{ Bytes, Most int }

func (e *TooFar) Error() string {
	return fmt.Sprintf("copies: a command of %d bytes; %d at most", e.Bytes, e.Most)
}

// Code is "command_too_long".
func (e *TooFar) Code() string { return "command_too_long" }

// Remedy says what helps.
func (e *TooFar) Remedy() string {
	return "Send less data with the job, or a reference to where it lies."
}

// Replaced is that another life holds the copy that this one held: what it knew is old.
type Replaced struct {
	ID    uint64
	Index uint64 // of the log, at whoever told it
}

func (e *Replaced) Error() string {
	return fmt.Sprintf("copies: life %d is no copy any more as of %d", e.ID, e.Index)
}

// Code is "replaced".
func (e *Replaced) Code() string { return "replaced" }

// Remedy says what helps.
func (e *Replaced) Remedy() string {
	return "Nothing: the member goes on without a copy and may be chosen again under a new life."
}
