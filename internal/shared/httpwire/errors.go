package httpwire

import "errors"

// ErrIncomplete means that a parser needs more input.
var ErrIncomplete = errors.New("httpwire: message not whole")

// SyntaxError is a message that violates HTTP or a limit. Status is the response status for it.
type SyntaxError struct {
	Status int
	Reason string
}

// Error names what is wrong.
func (e *SyntaxError) Error() string { return "httpwire: " + e.Reason }

// NewSyntaxError creates a SyntaxError.
func NewSyntaxError(status int, reason string) error {
	return &SyntaxError{Status: status, Reason: reason}
}
