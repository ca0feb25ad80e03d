// Package retry has a sleep that ends with a context, and repeats the opening of addresses that a process which is about
// to end may still hold. It has no backoff: packages that call a peer implement their own.
package retry

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// A restarted process may find its address still in use by its predecessor, which is about to end.
const (
	AddressInUseTimeout  = 5 * time.Second        // how long WhileAddressInUse tries
	AddressInUseInterval = 100 * time.Millisecond // between two attempts
)

// Sleep waits for a duration or until the context ends, and reports whether the context has not ended.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// WhileAddressInUse calls open, which binds an address, until it succeeds, AddressInUseTimeout has passed or the
// context ends, and returns its last error. It calls open at least once, and repeats it after any error.
func WhileAddressInUse(ctx context.Context, open func() error) error {
	ctx, cancel := context.WithTimeout(ctx, AddressInUseTimeout)
	defer cancel()
	for {
		err := open()
		if err == nil || !Sleep(ctx, AddressInUseInterval) {
			return err
		}
	}
}

// Listen opens a TCP listener at an IPv4 address that may still be in use by a process which is about to end.
func Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var listener net.Listener
	err := WhileAddressInUse(ctx, func() (err error) {
		listener, err = net.Listen("tcp4", address.String())
		return err
	})
	return listener, err
}
