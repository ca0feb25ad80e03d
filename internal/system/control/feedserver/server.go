// Package following serves the feed: followers hold a call open and are answered with what changed since the positions
// that they name.
package feedserver

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"cinderroad/internal/system/feed"
	"cinderroad/internal/system/rpc"
)

// Bounds of a call.
const (
	MaxWait       = 10 * time.Second // that a call is held open
	MaxReplyBytes = 256 << 10        // bytes of items after which further partitions wait for the next call
	MaxFollowers  = 2000             // calls held open at once

	staleCheckMargin = 10 * time.Millisecond // beyond the end of a partition's freshness, for it to be over
)

// ErrTooManyFollowers says that no further call is taken; the follower should ask another control machine.
var ErrTooManyFollowers = errors.New("following: too many followers; ask another control machine")

// Source is a partition's state.
type Source interface {
	// Index is that of the newest change.
	Index() uint64
	// Since returns what changed after the index, or a snapshot, with the items' ages as of now; a delta of more than
	// maxBytes (0: no bound) ends earlier. The batch is empty if nothing changed, or if the caller is ahead.
	Since(index uint64, maxBytes int) feed.Batch
}

// Options are a server's.
type Options struct {
	Sources    []Source // by partition
	Notifier   *Notifier
	Now        func() time.Duration // steady
	ProxyCount func() int           // that may be serving; 0: not known

	// Age is how long ago a partition was last known to be up to date; feed.Never: it never was.
	Age func(feed.Partition) time.Duration

	// BulkBytesPerSecond is the pace of large answers, all followers together; 0: no bound.
	BulkBytesPerSecond float64
}

// Server answers followers.
type Server struct {
	options   Options
	caches    []deltaCache
	pacer     pacer
	openCalls atomic.Int64
	registry  followerRegistry
	stop      chan struct{}
	stopOnce  sync.Once
}

// New returns a server.
func New(options Options) *Server {
	s := &Server{options: options, caches: make([]deltaCache, len(options.Sources)), stop: make(chan struct{})}
	s.pacer.bytesPerSecond = options.BulkBytesPerSecond
	for i, source := range options.Sources {
		s.caches[i].source = source
		s.caches[i].maxBytes = MaxReplyBytes
	}
	s.caches[feed.ConfigurationPartition].maxBytes = 0
	return s
}

// Stop answers all open calls at once, and later ones without a wait.
func (s *Server) Stop() { s.stopOnce.Do(func() { close(s.stop) }) }

// FollowMethod is the call that followers make.
var FollowMethod = rpc.Declare[feed.FollowRequest, feed.FollowReply]("Feed.Follow")

// Follow answers as soon as anything changed since the request's positions, and after its wait at the latest, or once a
// partition is stale that the follower takes for up to date. A large answer waits for its turn; if that is far off, the answer says when to ask again.
func (s *Server) Follow(ctx context.Context, request *feed.FollowRequest) (*feed.FollowReply, error) {
	if s.openCalls.Add(1) > MaxFollowers {
		s.openCalls.Add(-1)
		return nil, ErrTooManyFollowers
	}
	defer s.openCalls.Add(-1)
	s.registry.recordCall(request, s.options.Now())
	query := followQuery{positions: s.positions(request), packed: request.Packed}
	batches := s.collect(query)
	if len(batches) == 0 && request.Wait > 0 {
		batches = s.await(ctx, query, min(request.Wait, MaxWait, s.untilStale(request.Current)))
	}
	wait, admitted := s.pacer.admit(s.options.Now(), totalSize(batches))
	if !admitted {
		return &feed.FollowReply{Busy: wait, Ages: s.ages(), Proxies: s.options.ProxyCount()}, nil
	}
	s.pause(ctx, wait)
	return &feed.FollowReply{Batches: batches, Ages: s.ages(), Proxies: s.options.ProxyCount()}, nil
}

// ages are those of the partitions, each by itself.
func (s *Server) ages() []time.Duration {
	ages := make([]time.Duration, len(s.caches))
	for partition := range ages {
		ages[partition] = s.options.Age(feed.Partition(partition))
	}
	return ages
}

// untilStale is how long it takes until the first of the partitions, with which a follower takes this machine for up to
// date, is stale, if nothing is heard of it any more.
func (s *Server) untilStale(current feed.PartitionSet) time.Duration {
	until := MaxWait
	for partition, age := range s.ages() {
		if current.Contains(feed.Partition(partition)) {
			until = min(until, max(0, feed.StaleAfter-age)+staleCheckMargin)
		}
	}
	return until
}

// pause waits, unless the call or the server ends.
func (s *Server) pause(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-s.stop:
	}
}

// await looks again after each wake-up until there is something, or the time is over.
func (s *Server) await(ctx context.Context, query followQuery, wait time.Duration) []feed.Batch {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		wake := s.options.Notifier.Wakeup()
		if batches := s.collect(query); len(batches) > 0 {
			return batches
		}
		select {
		case <-wake:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return nil
		case <-s.stop:
			return nil
		}
	}
}

// followQuery is what a follower asks for: what changed since its positions, by partition.
type followQuery struct {
	positions []uint64
	packed    bool
}

// positions is the request's positions by partition.
func (s *Server) positions(request *feed.FollowRequest) []uint64 {
	positions := make([]uint64, len(s.caches))
	for _, position := range request.Positions {
		if int(position.Partition) < len(positions) {
			positions[position.Partition] = position.Index
		}
	}
	return positions
}

// collect returns the batches of the partitions that changed, until the bound is reached. A batch of the configuration is
// never cut: what is in force together travels together.
func (s *Server) collect(query followQuery) []feed.Batch {
	var batches []feed.Batch
	total := 0
	for partition, index := range query.positions {
		if total >= MaxReplyBytes {
			break
		}
		batch := s.caches[partition].since(index, s.options.Now(), query.packed)
		if batch.To <= index {
			continue
		}
		batches = append(batches, batch)
		total += batch.Size()
	}
	return batches
}

// totalSize is about how many bytes batches take on the way.
func totalSize(batches []feed.Batch) int {
	total := 0
	for i := range batches {
		total += batches[i].Size()
	}
	return total
}

// Bounds of a cache.
const (
	unpackedDeltaTTL = 20 * time.Millisecond // of an unpacked batch: ages of its items may be off by so much
	maxCachedDeltas  = 8
)

// deltaCache keeps a partition's latest deltas, since many followers stand at the same position. A large one is packed once
// for all of them.
type deltaCache struct {
	source   Source
	maxBytes int // of a delta

	mu     sync.Mutex
	index  uint64 // that the deltas lead to
	deltas []delta
}

type delta struct {
	fromIndex uint64
	packed    bool // the follower takes packed batches; a small one is not packed all the same
	createdAt time.Duration
	batch     feed.Batch
}

// isUsable says whether the delta may still be sent: the ages of a packed one count on by themselves.
func (d *delta) isUsable(from uint64, packed bool, now time.Duration) bool {
	if d.fromIndex != from || d.packed != packed {
		return false
	}
	return len(d.batch.Packed) > 0 || now-d.createdAt <= unpackedDeltaTTL
}

func (c *deltaCache) since(from uint64, now time.Duration, packed bool) feed.Batch {
	index := c.source.Index()
	if index <= from {
		return feed.Batch{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if index != c.index {
		c.index = index
		c.reset()
	}
	for i := range c.deltas {
		if d := &c.deltas[i]; d.isUsable(from, packed, now) {
			batch := d.batch
			batch.PackedAge = now - d.createdAt
			return batch
		}
	}
	batch := c.source.Since(from, c.maxBytes)
	if packed {
		batch = batch.Pack()
	}
	c.add(delta{fromIndex: from, packed: packed, createdAt: now, batch: batch})
	return batch
}

func (c *deltaCache) reset() {
	clear(c.deltas) // lets go of the values
	c.deltas = c.deltas[:0]
}

func (c *deltaCache) add(d delta) {
	if len(c.deltas) == maxCachedDeltas {
		c.reset()
	}
	c.deltas = append(c.deltas, d)
}
