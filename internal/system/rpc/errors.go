package rpc

import (
	"errors"
	"fmt"
	"net/netip"
)

// UnreachableError reports that no connection to a process was possible: the call was not sent.
type UnreachableError struct {
	Address netip.AddrPort
	Cause   error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("rpc: %v is unreachable: %v; check that its process runs and the network between", e.Address,
		e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// NoReplyError reports that a call was sent, or may have been, and got no reply: the handler may have run or not.
type NoReplyError struct {
	Address netip.AddrPort
	Call    string
	Cause   error
}

// Error implements error.
func (e *NoReplyError) Error() string {
	return fmt.Sprintf("rpc: %s at %v got no reply: %v", e.Call, e.Address, e.Cause)
}

// Unwrap returns the cause, which is the context's error if the call timed out.
func (e *NoReplyError) Unwrap() error { return e.Cause }

// RemoteError reports the error that the handler returned, or the server in its place.
type RemoteError struct {
	Address netip.AddrPort
	Call    string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("rpc: %s at %v: %s", e.Call, e.Address, e.Message)
}

// MessageTooLargeError reports that a message exceeds the limit of its receiver, which closes the connection.
type MessageTooLargeError struct {
	Limit int64 // in bytes
}

// Error implements error.
func (e *MessageTooLargeError) Error() string {
	return fmt.Sprintf("rpc: received a message of more than %d bytes", e.Limit)
}

// errClosed is the cause of the errors of a closed client.
var errClosed = errors.New("the client is closed")
