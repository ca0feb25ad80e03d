package feedserver

import (
	"sync"
	"time"

	"cinderroad/internal/system/feed"
)

const (
	// unpackedDeltaTTL bounds the error of the item ages in an unpacked batch that is sent from the cache.
	unpackedDeltaTTL = 20 * time.Millisecond
	// maxCachedDeltas is the number of deltas of a partition that are cached.
	maxCachedDeltas = 8
)

// deltaCache holds the latest deltas of a partition: many followers hold the same index. A large delta is packed once for
// all of them.
type deltaCache struct {
	source   Source
	maxBytes int // of a delta; 0: no limit

	mutex  sync.Mutex
	index  uint64 // that the deltas lead to
	deltas []delta
}

// delta is the batch of changes since an index.
type delta struct {
	fromIndex uint64
	packed    bool          // the follower accepts packed batches; a small one is left unpacked all the same
	createdAt time.Duration // by Options.Now
	batch     feed.Batch
}

// isUsable reports whether the delta may still be sent. A packed batch carries its own age, so that it stays usable.
func (d *delta) isUsable(from uint64, packed bool, now time.Duration) bool {
	if d.fromIndex != from || d.packed != packed {
		return false
	}
	return len(d.batch.Packed) > 0 || now-d.createdAt <= unpackedDeltaTTL
}

// since returns the changes after an index; the batch is empty if there are none.
func (c *deltaCache) since(from uint64, now time.Duration, packed bool) feed.Batch {
	index := c.source.Index()
	if index <= from {
		return feed.Batch{}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
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
	clear(c.deltas) // frees the batches
	c.deltas = c.deltas[:0]
}

func (c *deltaCache) add(d delta) {
	if len(c.deltas) == maxCachedDeltas {
		c.reset()
	}
	c.deltas = append(c.deltas, d)
}
