// Command cinderroad-proxy is the data plane of an edge machine: it serves clients and forwards their requests to
// runners. Routes, services and runners come from the agent of its machine over loopback.
package main

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"net/netip"
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cinderroad/internal/shared/eventloop"
	"cinderroad/internal/shared/release"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/placement"
	"cinderroad/internal/system/processconfig"
	"cinderroad/internal/system/proxy"
	"cinderroad/internal/system/proxy/agentclient"
	"cinderroad/internal/system/retry"
	"cinderroad/internal/system/startup"
)

const (
	reservedDescriptors = 200 + 56 // of the limit for open files, for all but the loop's sockets
	minSockets          = 64       // limit of the loop's sockets at least, however low the limit for open files is
	lateWakeupSeconds   = 0.5      // by which an iteration of the loop must be late to be logged as a stall of the process
)

func main() {
	program := startup.Program{
		Name:        "cinderroad-proxy",
		Description: "Proxy of an edge machine: serves clients. " + processconfig.PathVariable + " names the settings file.",
		Version:     release.Name(),
		LogLevel:    zapcore.InfoLevel,
		GCPercent:   40, // peak memory costs more than collecting so small a heap
	}
	if err := run(&program, program.Init()); err != nil {
		fmt.Fprintln(os.Stderr, "cinderroad-proxy:", err)
		os.Exit(1)
	}
}

func run(program *startup.Program, log *zap.Logger) error {
	startup.IgnoreReload() // before anything else, since the signal would otherwise end the process
	settings, err := processconfig.Load()
	if err != nil {
		return err
	}
	if !settings.ListenOn.Front.IsValid() {
		return errNoFrontAddress
	}
	loop, err := eventloop.NewLoop(max(minSockets, settings.Limits.OpenFiles-reservedDescriptors))
	if err != nil {
		return err
	}
	loop.ZeroCopyReads = true
	loop.LateWakeupSeconds = lateWakeupSeconds
	loop.OnLateWakeup = func(late float64) { log.Info("process was paused", zap.Float64("late_s", late)) }
	dataPlane, err := newProxy(loop, log, settings, program.MetricsAddress(settings.IP))
	if err != nil {
		return err
	}
	if err := listen(dataPlane); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	followAgent(ctx, loop, log, dataPlane, settings)
	shutDownOnSignal(loop, dataPlane)
	return loop.Run()
}

// errNoFrontAddress means that the settings give no address for clients.
var errNoFrontAddress = errors.New("the settings name no listen_on.front; does the deploy file give this role " +
	`serves = ["edge"]?`)

// newProxy returns the proxy that the settings describe; metrics is where it serves its metrics, the zero value: nowhere.
func newProxy(loop *eventloop.Loop, log *zap.Logger, settings *processconfig.Settings,
	metrics netip.AddrPort) (*proxy.Proxy, error) {
	seed := maphash.Bytes(maphash.MakeSeed(), []byte(settings.Node))
	timing := &settings.Timing
	placer, err := placement.New(placement.Options{
		Zone:               settings.Zone,
		Region:             settings.Region,
		Zones:              settings.Zones,
		RetryRatio:         timing.RetryRatio,
		RetryWindow:        timing.RetryWindow,
		RetryAllowance:     timing.RetryAllowance,
		SlowStartFactor:    timing.SlowStartFactor,
		SlowStartAllowance: timing.SlowStartAllowance,
	}, seed)
	if err != nil {
		return nil, err
	}
	return proxy.New(loop, log, placer, proxy.Options{
		FrontAddr:          settings.ListenOn.Front,
		ReadyAddr:          settings.ListenOn.Ready,
		MetricsAddr:        metrics,
		NoticeAddr:         netip.AddrPortFrom(settings.IP, settings.Port(processconfig.ProxyPort)),
		Node:               settings.Node,
		Zone:               settings.Zone,
		LinkBytesPerSecond: settings.Limits.LinkBytesPerSecond(),
		MemoryBytes:        settings.Limits.RAMMB << 20,
		GracePeriod:        timing.GracePeriod,
		Seed:               seed,
	}), nil
}

// listen starts serving. The previous instance may still hold the addresses while it exits.
func listen(dataPlane *proxy.Proxy) error {
	if err := retry.WhileAddressInUse(context.Background(), dataPlane.Listen); err != nil {
		return fmt.Errorf("cannot serve clients; does another process hold the address? %w", err)
	}
	return nil
}

// followAgent connects the proxy to the agent of its machine. The client is not waited for: the proxy's exit must not
// depend on the agent.
func followAgent(ctx context.Context, loop *eventloop.Loop, log *zap.Logger, dataPlane *proxy.Proxy,
	settings *processconfig.Settings) {
	client := agentclient.New(log, agentclient.Options{
		AgentAddr:        settings.AgentFeedAddress(),
		Node:             settings.Node,
		RunnerPartitions: feed.RunnerPartitionCount,
		OnUpdate:         func(update agentclient.Update) { loop.Post(func() { dataPlane.ApplyUpdate(update) }) },
		OnSnapshot:       func(snapshot []byte) { loop.Post(func() { dataPlane.RestoreSnapshot(snapshot) }) },
	})
	dataPlane.FollowAgent(client, settings.Zones)
	go client.Run(ctx)
}

// shutDownOnSignal starts the proxy's shutdown on a stop signal. Its goroutine lasts as long as the process.
func shutDownOnSignal(loop *eventloop.Loop, dataPlane *proxy.Proxy) {
	stops := startup.NotifyStop()
	go func() {
		for range stops {
			loop.Post(dataPlane.Stop)
		}
	}()
}
