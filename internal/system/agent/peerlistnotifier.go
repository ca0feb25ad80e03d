package agent

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cinderroad/internal/system/control/feedserver"
	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/gossip"
)

// peerListNotifier ends the proxy's long poll as soon as the other proxies differ from those that the proxy last reported.
// Shares of common budgets depend on them, and the proxies send their load to each other.
type peerListNotifier struct {
	peers      func() []feed.Peer // in a fixed order; nil: not known
	sentDigest atomic.Uint64      // digest of the proxy's list, by its last request
	notifier   *feedserver.Notifier
}

func newPeerListNotifier(now func() time.Duration, peers func() []feed.Peer) *peerListNotifier {
	after := func(wait time.Duration, wake func()) { time.AfterFunc(wait, wake) }
	return &peerListNotifier{peers: peers, notifier: feedserver.NewNotifier(now, after)}
}

// wakeIfChanged ends the open calls if the proxy has an outdated list.
func (n *peerListNotifier) wakeIfChanged() {
	if n.outdated() {
		n.notifier.Notify()
	}
}

// outdated reports whether the proxy's list differs from the current one.
func (n *peerListNotifier) outdated() bool {
	digest := peersDigest(n.peers())
	return digest != 0 && digest != n.sentDigest.Load()
}

// handleFollow serves a request of the proxy by next, and adds the list of the other proxies if the request has another
// one. The call returns early when the list changes.
func (n *peerListNotifier) handleFollow(ctx context.Context, request *feed.FollowRequest,
	next func(context.Context, *feed.FollowRequest) (*feed.FollowReply, error)) (*feed.FollowReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	var watcher sync.WaitGroup
	defer watcher.Wait()
	defer cancel()
	n.sentDigest.Store(request.Peers)
	wake := n.notifier.Wakeup()
	if n.outdated() {
		cancel()
	}
	watcher.Go(func() {
		select {
		case <-wake:
			cancel()
		case <-ctx.Done():
		}
	})
	reply, err := next(ctx, request)
	if err != nil {
		return nil, err
	}
	peers := n.peers()
	if digest := peersDigest(peers); digest != 0 && digest != request.Peers {
		reply.Peers = peers
		reply.PeersDigest = digest
	}
	return reply, nil
}

// peersDigest returns a digest of a list of peers. It is 0 for nil only.
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

// peersFromMembers returns the members as the peers that the proxy receives.
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
