package control

import (
	"context"
	"time"

	"go.uber.org/multierr"
	"go.uber.org/zap"

	"cinderroad/internal/system/gossip"
	"cinderroad/internal/system/retry"
)

const (
	announceTime    = 1500 * time.Millisecond // after SIGTERM, while others are told
	announceDivisor = 4                       // of the grace period, one part in so many, at most
	exitMargin      = time.Second             // before the end of the grace period
	drainDivisor    = 2                       // of what is left then, one part in so many, for calls under way; the rest to hand over
	abortTimeout    = time.Second             // for calls under way when the process can't go on
)

// stopPlan says how long a process that was told to stop takes for what, one after the other.
type stopPlan struct {
	announce time.Duration // it goes on taking calls, while the others are told
	drain    time.Duration // calls under way end; less if there are none
	total    time.Duration // all of it, with handing over leadership and votes
}

// newStopPlan divides the grace period, from the signal to stop until the process is killed.
func newStopPlan(grace time.Duration) stopPlan {
	within := max(0, grace-exitMargin)
	serveOn := min(announceTime, within/announceDivisor)
	return stopPlan{announce: serveOn, drain: (within - serveOn) / drainDivisor, total: within}
}

// Run returns nil once the context has ended and the process has handed over what it does, or an error if the process
// can't go on.
func (p *Process) Run(ctx context.Context) error {
	plan := newStopPlan(p.settings.Load().Timing.GracePeriod)
	select {
	case err := <-p.failures:
		p.stop(stopPlan{drain: abortTimeout, total: plan.total})
		return err
	case <-ctx.Done():
	}
	p.log.Info("stopping")
	p.stop(plan)
	p.log.Info("stopped")
	return nil
}

// stop tells the others, serves on for a while, ends what is under way and hands leadership and votes over, all within a
// time, also where the disk hangs.
func (p *Process) stop(plan stopPlan) {
	ctx, cancel := context.WithTimeout(context.Background(), plan.total)
	defer cancel()
	p.stopping.Store(true)
	p.gossip.SetServing(gossip.Stopping)
	p.feedServer.Stop()
	p.host.Leave()
	retry.Sleep(ctx, plan.announce)
	if err := p.closeServers(plan.drain); err != nil {
		p.log.Warn("calls were broken off", zap.Error(err))
	}
	p.host.Stop(ctx)
	p.cancel()
	p.leave()
	p.goroutines.Wait()
}

// leave has the other members know, if this one has joined.
func (p *Process) leave() {
	if p.gossip != nil {
		p.gossip.Leave()
	}
}

// closeServers ends the HTTP servers; calls under way have a while to end.
func (p *Process) closeServers(within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	var err error
	for _, server := range p.servers {
		err = multierr.Append(err, server.Shutdown(ctx))
	}
	return err
}
