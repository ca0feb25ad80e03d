package control

import (
	"context"
	"net"
	"testing"

	"go.uber.org/zap"
)

// TestStartWithoutAddressWaits: where the last listener cannot be opened, Start returns only after the goroutines of those
// that were opened before have ended, so that another process may have their addresses.
func TestStartWithoutAddressWaits(t *testing.T) {
	cluster := newTestCluster(t, 1)
	cluster.stop(0)
	settings := *cluster.settings[0]
	taken, err := net.Listen("tcp4", settings.ListenOn.Directory.String())
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no time to wait for the address
	process, err := Start(ctx, Options{Settings: &settings, Log: zap.NewNop()})
	if err == nil {
		t.Fatalf("started as %v without the directory's address", process)
	}
	control, err := net.Listen("tcp4", settings.ListenOn.Control.String())
	if err != nil {
		t.Fatalf("the control address is still in use: %v", err)
	}
	control.Close()
}
