// Package following serves the feed: followers hold a call open and are answered with what changed since the positions
// that they name.
package following

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"cinderroad/internal/feed"
	"cinderroad/internal/rpc"
)

// Bounds of a call.
const (
	LongestWait   = 10 * time.Second // that a call is held open
	MostReplyData = 256 << 10        // bytes of items after which further partitions wait for the next call
	MostFollowers = 2000             // calls held open at once
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
	Sources  []Source // by partition
	Notifier *Notifier
	Now      func() time.Duration // steady
	Fresh    func() time.Duration // how long ago the replicas were last known to be up to date
	Proxies  func() int           // that may be serving; 0: not known
}

// Server answers followers.
type Server struct {
	options   Options
	caches    []cache
	followers atomic.Int64
	roll      roll
	stop      chan struct{}
	stopOnce  sync.Once
}

// New returns a server.
func New(options Options) *Server {
	s := &Server{options: options, caches: make([]cache, len(options.Sources)), stop: make(chan struct{})}
	for i, source := range options.Sources {
		s.caches[i].source = source
		s.caches[i].maxBytes = MostReplyData
	}
	s.caches[feed.ConfigurationPartition].maxBytes = 0
	return s
}

// Stop answers all open calls at once, and later ones without a wait.
func (s *Server) Stop() { s.stopOnce.Do(func() { close(s.stop) }) }

// Call is the call that followers make.
var Call = rpc.Declare[feed.FollowRequest, feed.FollowReply]("Feed.Follow")

// Follow answers as soon as anything changed since the request's positions, and after its wait at the latest.
func (s *Server) Follow(ctx context.Context, request *feed.FollowRequest) (*feed.FollowReply, error) {
	if s.followers.Add(1) > MostFollowers {
		s.followers.Add(-1)
		return nil, ErrTooManyFollowers
	}
	defer s.followers.Add(-1)
	s.roll.note(request, s.options.Now())
	positions := s.positions(request)
	batches := s.collect(positions)
	if len(batches) == 0 && request.Wait > 0 {
		batches = s.await(ctx, positions, min(request.Wait, LongestWait))
	}
	return &feed.FollowReply{Batches: batches, Fresh: s.options.Fresh(), Proxies: s.options.Proxies()}, nil
}

// await looks again after each wake-up until there is something, or the time is over.
func (s *Server) await(ctx context.Context, positions []uint64, wait time.Duration) []feed.Batch {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		wake := s.options.Notifier.Wait()
		if batches := s.collect(positions); len(batches) > 0 {
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
func (s *Server) collect(positions []uint64) []feed.Batch {
	var batches []feed.Batch
	size := 0
	for partition, index := range positions {
		if size >= MostReplyData {
			break
		}
		batch := s.caches[partition].since(index, s.options.Now())
		if batch.To <= index {
			continue
		}
		batches = append(batches, batch)
		size += batchSize(batch)
	}
	return batches
}

func batchSize(batch feed.Batch) int {
	size := 0
	for i := range batch.Items {
		size += len(batch.Items[i].Key) + len(batch.Items[i].Value)
	}
	return size
}

// Bounds of a cache.
const (
	cachedFor    = 20 * time.Millisecond // ages of items may be off by so much
	cachedDeltas = 8
)

// cache keeps a partition's latest deltas, since many followers stand at the same position.
type cache struct {
	source   Source
	maxBytes int // of a delta

	mu     sync.Mutex
	index  uint64 // that the deltas lead to
	deltas []delta
}

type delta struct {
	from  uint64
	at    time.Duration
	batch feed.Batch
}

func (c *cache) since(from uint64, now time.Duration) feed.Batch {
	index := c.source.Index()
	if index <= from {
		return feed.Batch{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if index != c.index {
		c.index = index
		c.forget()
	}
	for i := range c.deltas {
		if d := &c.deltas[i]; d.from == from && now-d.at <= cachedFor {
			return d.batch
		}
	}
	batch := c.source.Since(from, c.maxBytes)
	c.keep(delta{from: from, at: now, batch: batch})
	return batch
}

func (c *cache) forget() {
	clear(c.deltas) // lets go of the values
	c.deltas = c.deltas[:0]
}

func (c *cache) keep(d delta) {
	if len(c.deltas) == cachedDeltas {
		c.forget()
	}
	c.deltas = append(c.deltas, d)
}
