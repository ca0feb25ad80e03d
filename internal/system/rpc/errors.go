package rpc

import (
	"fmt"
	"net/netip"
)

// UnreachableError says that no connection to a process could be had: the call was not sent.
type UnreachableError struct {
	Address netip.AddrPort
	Cause   error
}

// Error says what happened and what to do.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("rpc: %v is not reached: %v; check that its process runs and the network between", e.Address,
		e.Cause)
}

// Unwrap is the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// NoReplyError says that a call got no answer: it may have been carried out or not.
type NoReplyError struct {
	Address netip.AddrPort
	Call    string
	Cause   error
}

// Error says what happened.
func (e *NoReplyError) Error() string {
	return fmt.Sprintf("rpc: %s at %v got no answer: %v", e.Call, e.Address, e.Cause)
}

// Unwrap is the cause; it is the context's error where the call ran out of time.
func (e *NoReplyError) Unwrap() error { return e.Cause }

// RemoteError is the error that a handler returned, or the server for it.
type RemoteError struct {
	Address netip.AddrPort
	Call    string
	Message string
}

// Error says what the handler said.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("rpc: %s at %v: %s", e.Call, e.Address, e.Message)
}

// MessageTooLargeError says that a message exceeds the bound of its receiver, which ends the connection.
type MessageTooLargeError struct{ Limit int64 }

// Error says what happened.
func (e *MessageTooLargeError) Error() string {
	return fmt.Sprintf("rpc: a message of more than %d bytes came", e.Limit)
}

// closedError says that the client was closed.
type closedError struct{}

func (closedError) Error() string { return "the client is closed" }
