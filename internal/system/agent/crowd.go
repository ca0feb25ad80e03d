package agent

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/system/control/feedserver"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/gossip"
)

// crowd has the proxy told at once when the other proxies are not those that it knows: shares of common budgets hang on
// them, and they tell each other of what they send.
type crowd struct {
	peers   func() []feed.Peer // in a fixed order; none: not known
	told    atomic.Uint64      // digest of those that the proxy knows
	changed *feedserver.Notifier
}

func newCrowd(now func() time.Duration, peers func() []feed.Peer) *crowd {
	after := func(wait time.Duration, wake func()) { time.AfterFunc(wait, wake) }
	return &crowd{peers: peers, changed: feedserver.NewNotifier(now, after)}
}

// look ends the open calls if the proxy knows others.
func (c *crowd) look() {
	if c.other() {
		c.changed.Notify()
	}
}

func (c *crowd) other() bool {
	digest := digestOf(c.peers())
	return digest != 0 && digest != c.told.Load()
}

// follow answers a follower; the call is not held open where the other proxies have changed.
func (c *crowd) follow(ctx context.Context, request *feed.FollowRequest,
	answer func(context.Context, *feed.FollowRequest) (*feed.FollowReply, error)) (*feed.FollowReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.told.Store(request.Peers)
	wake := c.changed.Wakeup()
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
	if err != nil {
		return nil, err
	}
	peers := c.peers()
	if digest := digestOf(peers); digest != 0 && digest != request.Peers {
		reply.Peers, reply.PeersDigest = peers, digest
	}
	return reply, nil
}

// digestOf tells lists of peers apart; 0: there is no list. That of a proxy without peers is not 0.
func digestOf(peers []feed.Peer) uint64 {
	if peers == nil {
		return 0
	}
	var text strings.Builder
	for i := range peers {
		text.WriteString(peers[i].Node + "\x00" + peers[i].Address.String() + "\x00" + peers[i].Zone + "\x00")
	}
	return max(xxhash.Sum64String(text.String()), 1)
}

// peersOf are what a proxy is told of members.
func peersOf(members []gossip.Member) []feed.Peer {
	if members == nil {
		return nil
	}
	peers := make([]feed.Peer, 0, len(members))
	for i := range members {
		peers = append(peers, feed.Peer{Node: members[i].Node, Address: members[i].Address, Zone: members[i].Zone})
	}
	return peers
}
