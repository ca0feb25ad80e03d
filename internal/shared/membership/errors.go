package membership

import (
	"errors"
	"fmt"
)

// Errors of Encode and Decode. ErrCorrupt is wrapped with its cause.
var (
	ErrOversized     = errors.New("membership: oversized")
	ErrCorrupt       = errors.New("membership: broken")
	ErrUnknownFormat = errors.New("membership: of another format")
	ErrOtherCluster  = errors.New("membership: of another fleet")
)

// UnknownMemberError says that no member has the name.
type UnknownMemberError struct{ Name string }

// Error names it.
func (e *UnknownMemberError) Error() string { return "membership: nobody has the name " + e.Name }

// NotDeadError says that a member cannot be declared to have left, since it is not dead.
type NotDeadError struct {
	Name  string
	State State
}

// Error names the member and its state.
func (e *NotDeadError) Error() string {
	return fmt.Sprintf("membership: %s is %s: only one that is dead can be declared gone", e.Name, e.State)
}

// InvalidError says why a message or a record is malformed: no member of this release can have sent it.
type InvalidError struct{ Reason string }

// Error names the reason.
func (e *InvalidError) Error() string { return "membership: " + e.Reason }
