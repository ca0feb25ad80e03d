package eventloop

import (
	"errors"
	"fmt"
)

var errNotListening = errors.New("it does not listen")

// SystemError is the failure of an operation on a socket. Err is the system's, such as unix.ECONNREFUSED.
type SystemError struct {
	Operation string // such as connect
	Target    string // address, path or descriptor; empty: the connection's own
	Err       error
}

// Error names the operation and its target.
func (e *SystemError) Error() string {
	if e.Target == "" {
		return "eventloop: " + e.Operation + ": " + e.Err.Error()
	}
	return "eventloop: " + e.Operation + " " + e.Target + ": " + e.Err.Error()
}

// Unwrap returns the system's error.
func (e *SystemError) Unwrap() error { return e.Err }

// systemError returns a *SystemError of an operation on a connection's own socket.
func systemError(operation string, err error) error {
	return &SystemError{Operation: operation, Err: err}
}

// systemErrorAt returns a *SystemError of an operation on a target.
func systemErrorAt(operation string, target any, err error) error {
	return &SystemError{Operation: operation, Target: fmt.Sprint(target), Err: err}
}
