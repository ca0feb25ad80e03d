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

// peerNotifier has the proxy told at once when the other proxies are not those that it knows: shares of common budgets hang on
// them, and they tell each other of what they send.
type peerNotifier struct {
	peers      func() []feed.Peer // in a fixed order; none: not known
	sentDigest atomic.Uint64      // digest of those that the proxy knows
	notifier   *feedserver.Notifier
}

func newPeerNotifier(now func() time.Duration, peers func() []feed.Peer) *peerNotifier {
	after := func(wait time.Duration, wake func()) { time.AfterFunc(wait, wake) }
	return &peerNotifier{peers: peers, notifier: feedserver.NewNotifier(now, after)}
}

// wakeIfChanged ends the open calls if the proxy knows others.
func (n *peerNotifier) wakeIfChanged() {
	if n.outdated() {
		n.notifier.Notify()
	}
}

func (n *peerNotifier) outdated() bool {
	digest := peersDigest(n.peers())
	return digest != 0 && digest != n.sentDigest.Load()
}

// handleFollow answers a follower; the call is not held open where the other proxies have changed.
func (n *peerNotifier) handleFollow(ctx context.Context, request *feed.FollowRequest,
	next func(context.Context, *feed.FollowRequest) (*feed.FollowReply, error)) (*feed.FollowReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.sentDigest.Store(request.Peers)
	wake := n.notifier.Wakeup()
	if n.outdated() {
		cancel()
	}
	go func() {
		select {
		case <-wake:
			cancel()
		case <-ctx.Done():
		}
	}()
	reply, err := next(ctx, request)
	if err != nil {
		return nil, err
	}
	peers := n.peers()
	if digest := peersDigest(peers); digest != 0 && digest != request.Peers {
		reply.Peers, reply.PeersDigest = peers, digest
	}
	return reply, nil
}

// peersDigest tells lists of peers apart; 0: there is no list. That of a proxy without peers is not 0.
func peersDigest(peers []feed.Peer) uint64 {
	if peers == nil {
		return 0
	}
	var text strings.Builder
	for i := range peers {
		text.WriteString(peers[i].Node + "\x00" + peers[i].Address.String() + "\x00" + peers[i].Zone + "\x00")
	}
	return max(xxhash.Sum64String(text.String()), 1)
}

// peersFromMembers are what a proxy is told of members.
func peersFromMembers(members []gossip.Member) []feed.Peer {
	if members == nil {
		return nil
	}
	peers := make([]feed.Peer, 0, len(members))
	for i := range members {
		peers = append(peers, feed.Peer{Node: members[i].Node, Address: members[i].Address, Zone: members[i].Zone})
	}
	return peers
}
