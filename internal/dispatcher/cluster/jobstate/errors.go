package jobstate

import "fmt"

// CodedError is an error that tells an operator what it is, by a code that lasts, and what to do about it.
type CodedError interface {
	error
	Code() string
	Remedy() string
}

// StateFullError is that there is no room for another promise.
type StateFullError struct {
	UsedBytes, LimitBytes int // bytes
	Tenant                string
	RetryMS               int64
}

func (e *StateFullError) Error() string {
	if e.Tenant != "" {
		return fmt.Sprintf("promises: tenant %q holds %d bytes of its %d", e.Tenant, e.UsedBytes, e.LimitBytes)
	}
	return fmt.Sprintf("promises: %d bytes of %d are held", e.UsedBytes, e.LimitBytes)
}

// Code is "full".
func (e *StateFullError) Code() string { return "full" }

// Remedy says what helps.
func (e *StateFullError) Remedy() string {
	return "Come back after the wait, when results have been fetched or forgotten; or raise most_bytes."
}

// JobTooLargeError is a promise that could never be held.
type JobTooLargeError struct{ Bytes, LimitBytes int }

func (e *JobTooLargeError) Error() string {
	return fmt.Sprintf("promises: %d bytes in one job; %d at most", e.Bytes, e.LimitBytes)
}

// Code is "too_large".
func (e *JobTooLargeError) Code() string { return "too_large" }

// Remedy says what helps.
func (e *JobTooLargeError) Remedy() string {
	return "Send less data with the job, or a reference to where it lies."
}

// JobNotFoundError is that nothing is known under this number: it never was, or its end was told for as long as results are kept.
type JobNotFoundError struct{ ID uint64 }

func (e *JobNotFoundError) Error() string {
	return fmt.Sprintf("promises: nothing is held under %d", e.ID)
}

// Code is "not_held".
func (e *JobNotFoundError) Code() string { return "not_held" }

// Remedy says what helps.
func (e *JobNotFoundError) Remedy() string {
	return "Look the number up in the answer to the job; results are kept for result_s only."
}

// FencedError is that somebody else has sent the job since: whoever meets it sends nothing.
type FencedError struct {
	ID                          uint64
	ExpectedToken, CurrentToken uint64 // fences
	Owner                       string // who holds it
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("promises: job %d is at fence %d of %s, not at %d", e.ID, e.CurrentToken, e.Owner, e.ExpectedToken)
}

// Code is "fenced".
func (e *FencedError) Code() string { return "fenced" }

// Remedy says what helps.
func (e *FencedError) Remedy() string {
	return "Nothing: another dispatcher has the job now, and this one lets it go."
}

// JobEndedError is that the job has its one end.
type JobEndedError struct {
	ID    uint64
	State JobState
}

func (e *JobEndedError) Error() string {
	return fmt.Sprintf("promises: job %d has ended: %s", e.ID, e.State)
}

// Code is "ended".
func (e *JobEndedError) Code() string { return "ended" }

// Remedy says what helps.
func (e *JobEndedError) Remedy() string {
	return "Ask for the job's state: it has its one answer already."
}

// MayHaveRunError is that the job's class forbids another send: it may have run.
type MayHaveRunError struct {
	ID     uint64
	Class  string
	Reason string
}

func (e *MayHaveRunError) Error() string {
	return fmt.Sprintf("promises: job %d of class %q may have run and is not sent again: %s", e.ID, e.Class, e.Reason)
}

// Code is "may_have_run".
func (e *MayHaveRunError) Code() string { return "may_have_run" }

// Remedy says what helps.
func (e *MayHaveRunError) Remedy() string {
	return "Look at the worker's own books whether it ran; if it did not, hand the job in again under another key."
}

// KeyConflictError is that a key was used before, for something else.
type KeyConflictError struct {
	Tenant, Key string
	ID          uint64
}

func (e *KeyConflictError) Error() string {
	return fmt.Sprintf("promises: key %q of tenant %q stands for another job, %d", e.Key, e.Tenant, e.ID)
}

// Code is "other_job".
func (e *KeyConflictError) Code() string { return "other_job" }

// Remedy says what helps.
func (e *KeyConflictError) Remedy() string {
	return "Use a new key for each job; the same one only to ask again for the same job."
}

// DecodeError is a command or a snapshot that this program cannot read.
type DecodeError struct {
	What          string
	FormatVersion uint8
	Cause         error
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("promises: unreadable %s of form %d: %v", e.What, e.FormatVersion, e.Cause)
}

// Unwrap is the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Code is "unreadable".
func (e *DecodeError) Code() string { return "unreadable" }

// Remedy says what helps.
func (e *DecodeError) Remedy() string {
	return "Bring this dispatcher to the program version of the others; until then it holds no copy."
}
