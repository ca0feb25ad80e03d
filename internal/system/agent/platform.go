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

const listTimeout = 3 * time.Second // of a whole list

// lister asks the platform for its list.
type lister interface {
	List(ctx context.Context) ([]discovery.Runner, error)
	CallCount() uint64 // to the platform so far
	Close()
}

// platform asks the platform for its list while the agent is cut off from the control replicas' runners.
type platform struct {
	log     *zap.Logger
	now     func() time.Duration
	lister  lister
	store   *store
	pace    func() fallback.Pace
	changed chan struct{} // holds one token: the state changed

	mutex   sync.Mutex
	machine *fallback.Machine
}

func newPlatform(log *zap.Logger, now func() time.Duration, lister lister, store *store, pace func() fallback.Pace,
	random func() float64) *platform {
	return &platform{log: log, now: now, lister: lister, store: store, pace: pace,
		changed: make(chan struct{}, 1), machine: fallback.New(random)}
}

// update takes the partitions of runners from which the agent is cut off.
func (p *platform) update(cutOff feed.PartitionSet) {
	p.mutex.Lock()
	was := p.machine.State()
	drop := p.machine.Update(p.now(), cutOff, p.pace())
	is := p.machine.State()
	p.mutex.Unlock()
	if !drop.IsEmpty() {
		p.store.drop(drop)
	}
	if is == was {
		return
	}
	p.log.Info("platform's list", zap.Stringer("is", is), zap.Stringer("partitions", cutOff))
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// run asks whenever it is due, until the context ends.
func (p *platform) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait, asking := p.next()
		switch {
		case !asking:
			p.lister.Close()
			p.await(ctx, nil)
		case wait > 0:
			timer := time.NewTimer(wait)
			p.await(ctx, timer.C)
			timer.Stop()
		default:
			p.ask(ctx)
		}
	}
}

func (p *platform) next() (wait time.Duration, asking bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.machine.Next(p.now())
}

// await returns when the state changed, the timer fired, or the context ended.
func (p *platform) await(ctx context.Context, timer <-chan time.Time) {
	select {
	case <-p.changed:
	case <-timer:
	case <-ctx.Done():
	}
}

func (p *platform) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	before := p.lister.CallCount()
	runners, err := p.lister.List(ctx)
	calls := int(p.lister.CallCount() - before)
	if err != nil {
		p.failed(err)
		return
	}
	p.mutex.Lock()
	p.machine.Listed(p.now(), calls, p.pace())
	cutOff := p.machine.CutOff()
	p.mutex.Unlock()
	p.store.list(runners, cutOff)
}

func (p *platform) failed(err error) {
	var limited *discovery.RateLimitedError
	var retryAfter time.Duration
	if errors.As(err, &limited) {
		retryAfter = limited.RetryAfter
	}
	p.log.Debug("platform's list not answered", zap.Error(err))
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.machine.Failed(p.now(), retryAfter, p.pace())
}
