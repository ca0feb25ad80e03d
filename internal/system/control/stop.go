package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/gossip"
	"cinderroad/internal/system/retry"
)

const (
	// announceTime is how long the process serves on after the signal while the other members learn of the shutdown; at
	// most one announceDivisor-th of the grace period.
	announceTime    = 1500 * time.Millisecond
	announceDivisor = 4
	// exitMargin is left of the grace period when the process exits.
	exitMargin = time.Second
	// drainDivisor divides the rest of the grace period: one part of so many is for calls in flight, the others are for
	// handing over.
	drainDivisor = 2
	// abortTimeout is for calls in flight when the process can't go on.
	abortTimeout = time.Second
)

// stopPlan is how long the steps of a shutdown take, one after the other.
type stopPlan struct {
	announce time.Duration // calls are still accepted while the other members learn of the shutdown
	drain    time.Duration // calls in flight end; less if there are none
	total    time.Duration // all steps, with handing leadership and votes over
}

// newStopPlan divides the grace period: the time from the signal until the platform kills the process.
func newStopPlan(grace time.Duration) stopPlan {
	total := max(0, grace-exitMargin)
	announce := min(announceTime, total/announceDivisor)
	return stopPlan{announce: announce, drain: (total - announce) / drainDivisor, total: total}
}

// Run returns nil once the context has ended and the process has shut down gracefully, or an error if the process can't
// go on.
func (p *Process) Run(ctx context.Context) error {
	plan := newStopPlan(p.settings.Load().Timing.GracePeriod)
	select {
	case err := <-p.failures:
		p.stop(stopPlan{drain: abortTimeout, total: plan.total})
		return err
	case <-ctx.Done():
	}
	p.log.Info("received stop signal, shutting down")
	p.stop(plan)
	p.log.Info("stopped")
	return nil
}

// stop announces the shutdown, serves on for a while, drains calls and hands leadership and votes over, all within
// plan.total, even if the disk hangs. The RPC server, which p.cancel ends, serves until the host has stopped: the other
// replicas have to reach this one while it hands over.
func (p *Process) stop(plan stopPlan) {
	ctx, cancel := context.WithTimeout(context.Background(), plan.total)
	defer cancel()
	p.stopping.Store(true)
	p.gossip.SetServing(gossip.Stopping)
	p.feedServer.Stop()
	p.host.Leave()
	retry.Sleep(ctx, plan.announce)
	if err := p.closeServers(plan.drain); err != nil {
		p.log.Warn("open API requests aborted at shutdown", zap.Error(err))
	}
	p.stopReplicas(ctx)
	p.cancel()
	p.leave()
	p.goroutines.Wait()
}

// leave announces the departure to the other members, if this process has joined.
func (p *Process) leave() {
	if p.gossip != nil {
		p.gossip.Leave()
	}
}
