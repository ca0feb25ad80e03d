// Package httpwire parses and formats HTTP/1.1 messages (RFC 9112) in memory. It does no I/O: a parser that needs more
// input returns ErrIncomplete, and a message that violates HTTP or a limit is a SyntaxError with the status for the
// response.
//
// Whatever two recipients could frame differently is an error, so that no request can be smuggled inside another one.
// Returned heads are copies; parts of a body are slices of the input.
package httpwire
