package agent

import (
	"context"
	"sync/atomic"
	"time"

	"cinderroad/internal/control/following"
	"cinderroad/internal/feed"
)

// crowd has the proxy told at once when the number of proxies has changed: shares of common budgets hang on it.
type crowd struct {
	count   func() int
	told    atomic.Int64
	changed *following.Notifier
}

func newCrowd(now func() time.Duration, count func() int) *crowd {
	after := func(wait time.Duration, wake func()) { time.AfterFunc(wait, wake) }
	return &crowd{count: count, changed: following.NewNotifier(now, after)}
}

// look ends the open calls if the proxy was told another number.
func (c *crowd) look() {
	if c.other() {
		c.changed.Changed()
	}
}

func (c *crowd) other() bool { return int64(c.count()) != c.told.Load() }

// follow answers a follower; the call is not held open where the number has changed.
func (c *crowd) follow(ctx context.Context, request *feed.FollowRequest,
	answer func(context.Context, *feed.FollowRequest) (*feed.FollowReply, error)) (*feed.FollowReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wake := c.changed.Wait()
	if c.other() {
		cancel()
	}
	go func() {
		select {
		case <-wake:
			cancel()
		case <-ctx.Done():
		}
	}()
	reply, err := answer(ctx, request)
	if err == nil {
		c.told.Store(int64(reply.Proxies))
	}
	return reply, err
}
