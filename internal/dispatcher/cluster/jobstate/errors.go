package jobstate

import "fmt"

// Problem is an error that tells an operator what it is, by a code that lasts, and what to do about it.
type Problem interface {
	error
	Code() string
	Do() string
}

// Full is that there is no room for another promise.
type Full struct {
	Held, Most int // bytes
	Tenant     string
	RetryMS    int64
}

func (e *Full) Error() string {
	if e.Tenant != "" {
		return fmt.Sprintf("promises: tenant %q holds %d bytes of its %d", e.Tenant, e.Held, e.Most)
	}
	return fmt.Sprintf("promises: %d bytes of %d are held", e.Held, e.Most)
}

// Code is "full".
func (e *Full) Code() string { return "full" }

// Do says what helps.
func (e *Full) Do() string {
	return "Come back after the wait, when results have been fetched or forgotten; or raise most_bytes."
}

// TooLarge is a promise that could never be held.
type TooLarge struct{ Bytes, Most int }

func (e *TooLarge) Error() string {
	return fmt.Sprintf("promises: %d bytes in one job; %d at most", e.Bytes, e.Most)
}

// Code is "too_large".
func (e *TooLarge) Code() string { return "too_large" }

// Do says what helps.
func (e *TooLarge) Do() string {
	return "Send less data with the job, or a reference to where it lies."
}

// NotHeld is that nothing is known under this number: it never was, or its end was told for as long as results are kept.
type NotHeld struct{ ID uint64 }

func (e *NotHeld) Error() string { return fmt.Sprintf("promises: nothing is held under %d", e.ID) }

// Code is "not_held".
func (e *NotHeld) Code() string { return "not_held" }

// Do says what helps.
func (e *NotHeld) Do() string {
	return "Look the number up in the answer to the job; results are kept for result_s only."
}

// Fenced is that somebody else has sent the job since: whoever meets it sends nothing.
type Fenced struct {
	ID            uint64
	Expected, Now uint64 // fences
	By            string // who holds it
}

func (e *Fenced) Error() string {
	return fmt.Sprintf("promises: job %d is at fence %d of %s, not at %d", e.ID, e.Now, e.By, e.Expected)
}

// Code is "fenced".
func (e *Fenced) Code() string { return "fenced" }

// Do says what helps.
func (e *Fenced) Do() string {
	return "Nothing: another dispatcher has the job now, and this one lets it go."
}

// Ended is that the job has its one end.
type Ended struct {
	ID    uint64
	State JobState
}

func (e *Ended) Error() string { return fmt.Sprintf("promises: job %d has ended: %s", e.ID, e.State) }

// Code is "ended".
func (e *Ended) Code() string { return "ended" }

// Do says what helps.
func (e *Ended) Do() string { return "Ask for the job's state: it has its one answer already." }

// MayHaveRun is that the job's class forbids another send: it may have run.
type MayHaveRun struct {
	ID    uint64
	Class string
	Why   string
}

func (e *MayHaveRun) Error() string {
	return fmt.Sprintf("promises: job %d of class %q may have run and is not sent again: %s", e.ID, e.Class, e.Why)
}

// Code is "may_have_run".
func (e *MayHaveRun) Code() string { return "may_have_run" }

// Do says what helps.
func (e *MayHaveRun) Do() string {
	return "Look at the worker's own books whether it ran; if it did not, hand the job in again under another key."
}

// OtherJob is that a key was used before, for something else.
type OtherJob struct {
	Tenant, Key string
	ID          uint64
}

func (e *OtherJob) Error() string {
	return fmt.Sprintf("promises: key %q of tenant %q stands for another job, %d", e.Key, e.Tenant, e.ID)
}

// Code is "other_job".
func (e *OtherJob) Code() string { return "other_job" }

// Do says what helps.
func (e *OtherJob) Do() string {
	return "Use a new key for each job; the same one only to ask again for the same job."
}

// Unreadable is a command or a snapshot that this program cannot read.
type Unreadable struct {
	What  string
	Form  uint8
	Cause error
}

func (e *Unreadable) Error() string {
	return fmt.Sprintf("promises: unreadable %s of form %d: %v", e.What, e.Form, e.Cause)
}

// Unwrap is the cause.
func (e *Unreadable) Unwrap() error { return e.Cause }

// Code is "unreadable".
func (e *Unreadable) Code() string { return "unreadable" }

// Do says what helps.
func (e *Unreadable) Do() string {
	return "Bring this dispatcher to the program version of the others; until then it holds no copy."
}
