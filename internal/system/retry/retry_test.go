package retry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"
)

func TestPause(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	if !Sleep(ctx, time.Nanosecond) {
		t.Error("a pause that is over says that the context has ended")
	}
	cancel()
	if Sleep(ctx, time.Hour) {
		t.Error("a context that has ended goes on")
	}
}

func TestWhileHeld(t *testing.T) {
	errHeld := errors.New("held")
	tries := 0
	err := WhileAddressInUse(context.Background(), func() error {
		if tries++; tries < 3 {
			return errHeld
		}
		return nil
	})
	if err != nil || tries != 3 {
		t.Errorf("%v after %d tries", err, tries)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := WhileAddressInUse(ctx, func() error { return errHeld }); !errors.Is(err, errHeld) {
		t.Errorf("the last error is lost: %v", err)
	}
}

func TestListenOnceTheAddressIsFree(t *testing.T) {
	first, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(first.Addr().String())
	time.AfterFunc(AddressInUseInterval/2, func() { first.Close() })
	second, err := Listen(context.Background(), address)
	if err != nil {
		t.Fatal(err)
	}
	second.Close()
}
