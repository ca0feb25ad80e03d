package state

import (
	"bytes"
	"encoding/binary"
	"iter"
	"strings"
	"sync"
	"time"

	"cinderroad/internal/shared/codec"
	"cinderroad/internal/system/feed"
)

// maxPreallocatedItems limits the memory that is allocated for a count before its items are read: a malformed snapshot may
// claim any count.
const maxPreallocatedItems = 4096

// store is the table of a partition behind a lock. Both state machines embed it, and it is their source for the feed.
type store struct {
	now     func() time.Duration // monotonic
	changed func()               // called after each change, with the lock held

	mutex sync.Mutex // guards the table and the fields of the state machine
	table *feed.Table
}

// newStore returns the empty table of a partition.
func newStore(partition feed.Partition, now func() time.Duration, changed func()) store {
	return store{now: now, changed: changed, table: feed.NewTable(partition)}
}

// apply applies writes at a log index. The values are cloned since they share the memory of a longer command. The lock
// is held.
func (s *store) apply(index uint64, writes []Write) {
	now := s.now()
	for _, write := range writes {
		if write.Deleted {
			s.table.Delete(now, index, write.Key)
			continue
		}
		s.table.Put(now, index, write.Key, bytes.Clone(write.Value))
	}
	s.table.Advance(index)
	s.changed()
}

// replace replaces the items by those of a snapshot. The lock is held.
func (s *store) replace(batch feed.Batch) {
	batch.Partition = s.table.Partition()
	s.table.Apply(s.now(), batch)
	s.changed()
}

// has reports whether there is a key. The lock is held.
func (s *store) has(key string) bool {
	_, found := s.table.Get(key)
	return found
}

// Index returns the log index of the last change of a key.
func (s *store) Index() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.LastChangeIndex()
}

// Len returns the number of keys.
func (s *store) Len() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Len()
}

// Since returns the changes after a log index, or a snapshot, with the ages of the items. A delta of more than maxBytes
// (0: unlimited) ends earlier, between two changes. The batch is empty if nothing changed or the caller is ahead.
func (s *store) Since(index uint64, maxBytes int) feed.Batch {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.BatchSince(s.now(), index, maxBytes)
}

// appendItems appends the items with their log indexes. The lock is held.
func (s *store) appendItems(b []byte) []byte {
	batch := s.table.Snapshot(0)
	b = binary.AppendUvarint(b, batch.To)
	b = binary.AppendUvarint(b, uint64(len(batch.Items)))
	for i := range batch.Items {
		item := &batch.Items[i]
		b = codec.AppendBytes(b, item.Key)
		b = binary.AppendUvarint(b, item.Index)
		b = codec.AppendBytes(b, item.Value)
	}
	return b
}

// readItems reads what appendItems wrote. The values are copies. An item from after the snapshot is malformed.
func readItems(reader *codec.Reader) feed.Batch {
	batch := feed.Batch{Snapshot: true, To: reader.Uvarint("index")}
	count := reader.Count("items")
	batch.Items = make([]feed.Item, 0, min(count, maxPreallocatedItems))
	for range count {
		item := feed.Item{Key: reader.String("key"), Index: reader.Uvarint("item's index")}
		item.Value = append([]byte{}, reader.Bytes("value")...)
		if item.Index > batch.To {
			reader.Fail("item's index")
		}
		if _, failed := reader.Malformed(); failed {
			return feed.Batch{}
		}
		batch.Items = append(batch.Items, item)
	}
	return batch
}

// Values are the items of a partition at a moment, sorted by key. They are shared and must not be changed.
type Values []feed.Item

// WithPrefix returns the keys that begin with a prefix, and their values.
func (v Values) WithPrefix(prefix string) iter.Seq2[string, []byte] {
	return func(yield func(string, []byte) bool) {
		for i := range v {
			if strings.HasPrefix(v[i].Key, prefix) && !yield(v[i].Key, v[i].Value) {
				return
			}
		}
	}
}

// values returns the items whose keys begin with a prefix. The lock is held.
func (s *store) values(prefix string) Values {
	values := make(Values, 0, s.table.Len())
	for item := range s.table.Items(s.now(), prefix) {
		values = append(values, item)
	}
	return values
}
