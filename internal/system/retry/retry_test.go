package retry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"
)

func TestSleep(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	if !Sleep(ctx, time.Nanosecond) {
		t.Error("a complete sleep reports an ended context")
	}
	cancel()
	if Sleep(ctx, time.Hour) {
		t.Error("an interrupted sleep reports that the context goes on")
	}
}

func TestWhileAddressInUse(t *testing.T) {
	errInUse := errors.New("address in use")
	attempts := 0
	err := WhileAddressInUse(context.Background(), func() error {
		attempts++
		if attempts < 3 {
			return errInUse
		}
		return nil
	})
	if err != nil || attempts != 3 {
		t.Errorf("%v after %d attempts", err, attempts)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := WhileAddressInUse(ctx, func() error { return errInUse }); !errors.Is(err, errInUse) {
		t.Errorf("the last error is lost: %v", err)
	}
}

func TestListenAfterAddressIsReleased(t *testing.T) {
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
