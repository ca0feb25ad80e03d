package jobstate

import "fmt"

// CodedError is an error for operators and clients: docs/promises.md lists the codes and remedies.
type CodedError interface {
	error
	Code() string   // stable, part of the interface to clients
	Remedy() string // what an operator or a client can do
}

// StateFullError is returned for a job that does not fit beside those held, in total or of its tenant.
type StateFullError struct {
	UsedBytes, LimitBytes int    // of the tenant, if there is one
	Tenant                string // "": the total limit is reached
	RetryMS               int64  // time until space is expected to be free
}

// Error names whose limit is reached, the usage and the limit.
func (e *StateFullError) Error() string {
	if e.Tenant != "" {
		return fmt.Sprintf("job state: tenant %q uses %d bytes of its limit of %d", e.Tenant, e.UsedBytes, e.LimitBytes)
	}
	return fmt.Sprintf("job state: %d bytes of the limit of %d are used", e.UsedBytes, e.LimitBytes)
}

// Code returns "full".
func (e *StateFullError) Code() string { return "full" }

// Remedy says what an operator or a client can do.
func (e *StateFullError) Remedy() string {
	return "Come back after the wait, when results have been fetched or forgotten; or raise most_bytes."
}

// JobTooLargeError is returned for a job that exceeds Limits.JobBytes by itself.
type JobTooLargeError struct{ Bytes, LimitBytes int }

// Error names the size and the limit.
func (e *JobTooLargeError) Error() string {
	return fmt.Sprintf("job state: a job of %d bytes exceeds the limit of %d", e.Bytes, e.LimitBytes)
}

// Code returns "too_large".
func (e *JobTooLargeError) Code() string { return "too_large" }

// Remedy says what an operator or a client can do.
func (e *JobTooLargeError) Remedy() string {
	return "Send less data with the job, or a reference to where it lies."
}

// JobNotFoundError is returned for an ID that was never assigned, or whose result has expired.
type JobNotFoundError struct{ ID uint64 }

// Error names the job.
func (e *JobNotFoundError) Error() string {
	return fmt.Sprintf("job state: no job with ID %d", e.ID)
}

// Code returns "not_held".
func (e *JobNotFoundError) Code() string { return "not_held" }

// Remedy says what an operator or a client can do.
func (e *JobNotFoundError) Remedy() string {
	return "Look the number up in the answer to the job; results are kept for result_s only."
}

// FencedError is returned if another dispatcher has sent the job since the proposer read its fencing token. The proposer
// must not send the job.
type FencedError struct {
	ID                          uint64
	ExpectedToken, CurrentToken uint64 // of the command, of the job
	Owner                       string // of the job; "": it waits
}

// Error names the job and both fencing tokens.
func (e *FencedError) Error() string {
	return fmt.Sprintf("job state: job %d has fencing token %d of %s, not %d", e.ID, e.CurrentToken, e.Owner, e.ExpectedToken)
}

// Code returns "fenced".
func (e *FencedError) Code() string { return "fenced" }

// Remedy says what an operator or a client can do.
func (e *FencedError) Remedy() string {
	return "Nothing: another dispatcher has the job now, and this one lets it go."
}

// JobEndedError is returned for a command that concerns a job in a final state.
type JobEndedError struct {
	ID    uint64
	State JobState
}

// Error names the job and how it ended.
func (e *JobEndedError) Error() string {
	return fmt.Sprintf("job state: job %d has ended: %s", e.ID, e.State)
}

// Code returns "ended".
func (e *JobEndedError) Code() string { return "ended" }

// Remedy says what an operator or a client can do.
func (e *JobEndedError) Remedy() string {
	return "Ask for the job's state: it has its one answer already."
}

// MayHaveRunError is returned if the job may have run and its effect forbids another send.
type MayHaveRunError struct {
	ID     uint64
	Class  string
	Reason string
}

// Error names the job and why it is not sent again.
func (e *MayHaveRunError) Error() string {
	return fmt.Sprintf("job state: job %d of class %q may have run and is not sent again: %s", e.ID, e.Class, e.Reason)
}

// Code returns "may_have_run".
func (e *MayHaveRunError) Code() string { return "may_have_run" }

// Remedy says what an operator or a client can do.
func (e *MayHaveRunError) Remedy() string {
	return "Look at the worker's own books whether it ran; if it did not, hand the job in again under another key."
}

// KeyConflictError is returned if the tenant has used the key for a different job.
type KeyConflictError struct {
	Tenant, Key string
	ID          uint64
}

// Error names the key and the job that has it.
func (e *KeyConflictError) Error() string {
	return fmt.Sprintf("job state: key %q of tenant %q names a different job, %d", e.Key, e.Tenant, e.ID)
}

// Code returns "other_job".
func (e *KeyConflictError) Code() string { return "other_job" }

// Remedy says what an operator or a client can do.
func (e *KeyConflictError) Remedy() string {
	return "Use a new key for each job; the same one only to ask again for the same job."
}

// DecodeError is returned for a command or a snapshot that this program cannot read.
type DecodeError struct {
	What          string // "command" or "snapshot"
	FormatVersion uint8
	Cause         error
}

// Error names what could not be decoded, and its version.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("job state: unreadable %s of version %d: %v", e.What, e.FormatVersion, e.Cause)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Code returns "unreadable".
func (e *DecodeError) Code() string { return "unreadable" }

// Remedy says what an operator or a client can do.
func (e *DecodeError) Remedy() string {
	return "Bring this dispatcher to the program version of the others; until then it holds no copy."
}
