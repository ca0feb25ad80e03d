package exposition

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// freeAddress returns a loopback address that is not in use.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func TestServe(t *testing.T) {
	address := freeAddress(t)
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	Serve(ctx, &goroutines, zap.NewNop(), address, func(p *Page) { p.Metric(Gauge, "up", "Whether it runs.", 1) })
	answer, err := http.Get("http://" + address.String() + Path)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if body, _ := io.ReadAll(answer.Body); string(body) != "# HELP up Whether it runs.\n# TYPE up gauge\nup 1\n" {
		t.Errorf("got %q", body)
	}
	cancel()
	goroutines.Wait()
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		t.Fatalf("the address is still in use: %v", err)
	}
	listener.Close()
}

// A port that is in use is logged, and the process goes on; without an address nothing is opened.
func TestServeWithoutAPort(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	core, logs := observer.New(zapcore.WarnLevel)
	var goroutines sync.WaitGroup
	Serve(t.Context(), &goroutines, zap.New(core), listener.Addr().(*net.TCPAddr).AddrPort(), func(*Page) {})
	if logs.Len() != 1 {
		t.Errorf("%d lines were logged", logs.Len())
	}
	Serve(t.Context(), &goroutines, zap.New(core), netip.AddrPort{}, func(*Page) {})
	if logs.Len() != 1 {
		t.Error("a page without an address was missed")
	}
}
