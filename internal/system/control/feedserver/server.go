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

// Limits of calls.
const (
	// MaxWait is how long a call is held open.
	MaxWait = 10 * time.Second
	// MaxReplyBytes is the size of the items in a reply from which further partitions wait for the next call.
	MaxReplyBytes = 256 << 10
	// MaxFollowers is the number of calls that are held open at once.
	MaxFollowers = 2000

	// staleCheckMargin is added to the time until a partition turns stale, so that it surely is stale then.
	staleCheckMargin = 10 * time.Millisecond
)

// ErrTooManyFollowers means that MaxFollowers calls are open; the follower should call another machine.
var ErrTooManyFollowers = errors.New("feedserver: too many followers; ask another control machine")

// Source is the state of a partition. It is safe for concurrent use.
type Source interface {
	// Index returns the index of the newest change.
	Index() uint64
	// Since returns the changes after the index, or a snapshot, with the ages of the items as of now. A delta of more
	// than maxBytes (0: no limit) ends earlier. The batch is empty if nothing changed, or if the caller is ahead.
	Since(index uint64, maxBytes int) feed.Batch
}

// Options configure a Server.
type Options struct {
	// Sources are the partitions, by number; the first one is the configuration.
	Sources []Source
	// Notifier is notified of changes of the sources.
	Notifier *Notifier
	// Now is a monotonic clock.
	Now func() time.Duration
	// ProxyCount is the number of proxies that may be serving; 0: unknown.
	ProxyCount func() int
	// Age is the time since a partition was last known to be current; feed.AgeNever: it never was.
	Age func(feed.Partition) time.Duration
	// BulkBytesPerSecond bounds the rate of large replies, all followers together; 0: no limit. Replication shares the
	// link, and a higher rate delays it.
	BulkBytesPerSecond float64
}

// Server serves followers.
type Server struct {
	options   Options
	caches    []deltaCache // by partition
	pacer     pacer
	openCalls atomic.Int64
	registry  followerRegistry
	stop      chan struct{} // closed by Stop
	stopOnce  sync.Once
}

// New returns a Server.
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

// Stop ends all open calls, and has later ones return at once. It may be called more than once.
func (s *Server) Stop() { s.stopOnce.Do(func() { close(s.stop) }) }

// FollowMethod is the RPC method of followers.
var FollowMethod = rpc.Declare[feed.FollowRequest, feed.FollowReply]("Feed.Follow")

// Follow handles a call of FollowMethod. It returns as soon as something has changed since the request's positions, a
// partition turns stale that the follower takes for current, or the request's wait is over. A large reply waits for its
// turn; if that is far off, the reply is empty and says when to call again. The error is ErrTooManyFollowers.
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

// ages returns the age of each partition.
func (s *Server) ages() []time.Duration {
	ages := make([]time.Duration, len(s.caches))
	for partition := range ages {
		ages[partition] = s.options.Age(feed.Partition(partition))
	}
	return ages
}

// untilStale returns the time until the first of the partitions, which the follower takes for current, turns stale if
// its age is not renewed.
func (s *Server) untilStale(current feed.PartitionSet) time.Duration {
	until := MaxWait
	for partition, age := range s.ages() {
		if current.Contains(feed.Partition(partition)) {
			until = min(until, max(0, feed.StaleAfter-age)+staleCheckMargin)
		}
	}
	return until
}

// pause sleeps, unless the call or the server ends.
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

// await collects after each wake-up until something has changed, or the time is over.
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

// followQuery is what a follower asks for: the changes since its positions.
type followQuery struct {
	positions []uint64 // by partition
	packed    bool     // the follower accepts packed batches
}

// positions returns the request's positions by partition. Partitions that the server does not have are ignored.
func (s *Server) positions(request *feed.FollowRequest) []uint64 {
	positions := make([]uint64, len(s.caches))
	for _, position := range request.Positions {
		if int(position.Partition) < len(positions) {
			positions[position.Partition] = position.Index
		}
	}
	return positions
}

// collect returns the batches of the partitions that have changed, up to MaxReplyBytes. A batch of the configuration is
// never truncated.
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

// totalSize is the approximate encoded size of batches, in bytes.
func totalSize(batches []feed.Batch) int {
	total := 0
	for i := range batches {
		total += batches[i].Size()
	}
	return total
}
