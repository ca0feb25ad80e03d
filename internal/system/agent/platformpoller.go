package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"cinderroad/internal/system/agent/fallback"
	"cinderroad/internal/system/discovery"
	"cinderroad/internal/system/feed"
)

const listTimeout = 3 * time.Second // for all pages of a list

// lister reads the platform's list of runners.
type lister interface {
	List(ctx context.Context) ([]discovery.Runner, error)
	CallCount() uint64 // number of calls made to the platform so far
	Close()
}

// platformPoller polls the platform's list while the agent is cut off from a partition of runners, and applies it to
// the store.
type platformPoller struct {
	log     *zap.Logger
	now     func() time.Duration
	lister  lister
	store   *store
	pace    func() fallback.Pace
	changed chan struct{} // wakes run; holds a token if the state changed

	mutex  sync.Mutex
	poller *fallback.Poller
}

func newPlatformPoller(log *zap.Logger, now func() time.Duration, lister lister, store *store, pace func() fallback.Pace,
	random func() float64) *platformPoller {
	return &platformPoller{
		log:     log,
		now:     now,
		lister:  lister,
		store:   store,
		pace:    pace,
		changed: make(chan struct{}, 1),
		poller:  fallback.New(random),
	}
}

// update sets the partitions of runners from which the agent is cut off.
func (p *platformPoller) update(cutOff feed.PartitionSet) {
	p.mutex.Lock()
	before := p.poller.State()
	drop := p.poller.Update(p.now(), cutOff, p.pace())
	after := p.poller.State()
	p.mutex.Unlock()
	if !drop.IsEmpty() {
		p.store.dropList(drop)
	}
	if after == before {
		return
	}
	p.log.Info("runner list polling changed", zap.Stringer("state", after), zap.Stringer("partitions", cutOff))
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// run polls when a poll is due, until ctx ends.
func (p *platformPoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait, due := p.next()
		switch {
		case !due:
			p.lister.Close()
			p.wait(ctx, nil)
		case wait > 0:
			timer := time.NewTimer(wait)
			p.wait(ctx, timer.C)
			timer.Stop()
		default:
			p.fetchList(ctx)
		}
	}
}

// next returns the time until the next poll; due is false if there is none.
func (p *platformPoller) next() (wait time.Duration, due bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.poller.Next(p.now())
}

// wait returns when the state has changed, the timer has fired, or ctx has ended.
func (p *platformPoller) wait(ctx context.Context, timer <-chan time.Time) {
	select {
	case <-p.changed:
	case <-timer:
	case <-ctx.Done():
	}
}

// fetchList fetches the list once and applies it to the partitions from which the agent is cut off.
func (p *platformPoller) fetchList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	before := p.lister.CallCount()
	runners, err := p.lister.List(ctx)
	calls := int(p.lister.CallCount() - before)
	if err != nil {
		p.handleFailure(err)
		return
	}
	p.mutex.Lock()
	p.poller.HandleList(p.now(), calls, p.pace())
	cutOff := p.poller.CutOff()
	p.mutex.Unlock()
	p.store.applyList(runners, cutOff)
}

// handleFailure records a failed poll, with the delay that the platform asked for.
func (p *platformPoller) handleFailure(err error) {
	var limited *discovery.RateLimitedError
	var retryAfter time.Duration
	if errors.As(err, &limited) {
		retryAfter = limited.RetryAfter
	}
	p.log.Debug("runner list request failed", zap.Error(err))
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.poller.HandleFailure(p.now(), retryAfter, p.pace())
}
