// Package retry waits, and tries again what may succeed a little later.
package retry

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// An address may still be held by an earlier life of the process, which is about to end.
const (
	AddressInUseTimeout  = 5 * time.Second // for which an address is tried
	AddressInUseInterval = 100 * time.Millisecond
)

// Sleep waits, or until the context ends, and says whether the context goes on.
func Sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// WhileAddressInUse calls open until it succeeds, AddressInUseTimeout has passed or the context ends, and returns its last error.
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

// Listen opens a TCP listener at an address that may still be held.
func Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var listener net.Listener
	err := WhileAddressInUse(ctx, func() (err error) {
		listener, err = net.Listen("tcp4", address.String())
		return err
	})
	return listener, err
}
