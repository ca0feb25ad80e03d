package gossip

import (
	"fmt"
	"net/netip"
)

// ListenError is returned if the socket cannot be opened, in most cases because another process has the address.
type ListenError struct {
	Address netip.AddrPort
	Err     error
}

// Error returns the cause and what to check.
func (e *ListenError) Error() string {
	return fmt.Sprintf("gossip: cannot listen on UDP %s, check that no other process has the address: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }
